#pragma once

#include "base/clock.hpp"

#include <absl/status/statusor.h>

#include <string>

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

/// Calls to other daemons. The network may lose, delay or repeat a call. An
/// error says nothing about whether the peer carried the call out, except
/// `kFailedPrecondition`: the call was not sent. `host` is a name from the
/// settings, which say at which address this daemon reaches it.
class peer_network
{
public:
    virtual ~peer_network() = default;

    /// Sends a message without waiting for the result.
    virtual void deliver(const std::string& host,
                         const wire::consensus_message& message) = 0;
    virtual void push(const std::string& host,
                      const wire::soft_state_delta& delta) = 0;

    virtual absl::StatusOr<wire::soft_state_delta>
    exchange(const std::string& host, const wire::soft_state_digest& digest,
             milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::command_outcome>
    propose(const std::string& host, const wire::control_command& command,
            milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::config_response>
    read_config(const std::string& host, const wire::config_request& request,
                milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::audit_response>
    read_audit(const std::string& host, const wire::audit_request& request,
               milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::members_response>
    read_members(const std::string& host, milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::journal_append_response>
    append(const std::string& host, const wire::journal_append& request,
           milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::transition_response>
    transition(const std::string& host, const wire::request_transition& request,
               milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::forwarded_answer>
    dispatch(const std::string& host, const wire::forwarded_request& request,
             milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::job_answer>
    submit_job(const std::string& host, const wire::job_submission& request,
               milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::job_list>
    list_jobs(const std::string& host, const wire::job_query& request,
              milliseconds timeout) = 0;
    virtual absl::StatusOr<wire::job_answer>
    cancel_job(const std::string& host, const wire::job_cancel& request,
               milliseconds timeout) = 0;
};

} // namespace limpetstack
