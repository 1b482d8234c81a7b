#pragma once

#include <functional>

namespace limpetstack::wire
{
class audit_request;
class audit_response;
class command_outcome;
class config_request;
class config_response;
class consensus_message;
class control_command;
class forwarded_answer;
class forwarded_request;
class job_answer;
class job_cancel;
class job_list;
class job_query;
class job_submission;
class journal_append;
class journal_append_response;
class members_response;
class request_transition;
class soft_state_delta;
class soft_state_digest;
class transition_response;
} // namespace limpetstack::wire

namespace limpetstack
{

/// What a daemon does on a call of another daemon. Calls come from several
/// threads; each may block.
struct peer_handlers
{
    std::function<void(const wire::consensus_message&)> deliver;
    std::function<wire::command_outcome(const wire::control_command&)> propose;
    std::function<wire::config_response(const wire::config_request&)>
        read_config;
    std::function<wire::audit_response(const wire::audit_request&)> read_audit;
    std::function<wire::members_response()> read_members;
    std::function<void(const wire::soft_state_delta&)> push;
    std::function<wire::soft_state_delta(const wire::soft_state_digest&)>
        exchange;
    std::function<wire::journal_append_response(const wire::journal_append&)>
        append;
    std::function<wire::transition_response(const wire::request_transition&)>
        transition;
    std::function<wire::forwarded_answer(const wire::forwarded_request&)>
        dispatch;
    std::function<wire::job_answer(const wire::job_submission&)> submit_job;
    std::function<wire::job_list(const wire::job_query&)> list_jobs;
    std::function<wire::job_answer(const wire::job_cancel&)> cancel_job;
};

} // namespace limpetstack
