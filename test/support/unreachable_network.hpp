#pragma once

#include "coordination/peer_network.hpp"

namespace limpetstack
{

/// Peer network on which every call fails. Fakes override the calls that they
/// carry out.
class unreachable_network : public peer_network
{
public:
    void deliver(const std::string& address,
                 const wire::consensus_message& message) override;
    void push(const std::string& host,
              const wire::soft_state_delta& delta) override;
    absl::StatusOr<wire::soft_state_delta>
    exchange(const std::string& host, const wire::soft_state_digest& digest,
             milliseconds timeout) override;
    absl::StatusOr<wire::command_outcome>
    propose(const std::string& address, const wire::control_command& command,
            milliseconds timeout) override;
    absl::StatusOr<wire::config_response>
    read_config(const std::string& host, const wire::config_request& request,
                milliseconds timeout) override;
    absl::StatusOr<wire::audit_response>
    read_audit(const std::string& host, const wire::audit_request& request,
               milliseconds timeout) override;
    absl::StatusOr<wire::members_response>
    read_members(const std::string& host, milliseconds timeout) override;
    absl::StatusOr<wire::journal_append_response>
    append(const std::string& host, const wire::journal_append& request,
           milliseconds timeout) override;
    absl::StatusOr<wire::transition_response>
    transition(const std::string& host, const wire::request_transition& request,
               milliseconds timeout) override;
    absl::StatusOr<wire::forwarded_answer>
    dispatch(const std::string& host, const wire::forwarded_request& request,
             milliseconds timeout) override;
    absl::StatusOr<wire::job_answer>
    submit_job(const std::string& host, const wire::job_submission& request,
               milliseconds timeout) override;
    absl::StatusOr<wire::job_list> list_jobs(const std::string& host,
                                             const wire::job_query& request,
                                             milliseconds timeout) override;
    absl::StatusOr<wire::job_answer> cancel_job(const std::string& host,
                                                const wire::job_cancel& request,
                                                milliseconds timeout) override;
};

} // namespace limpetstack
