#pragma once

#include "coordination/peer_network.hpp"
#include "peer.pb.h"

#include <absl/status/status.h>

#include <functional>

namespace limpetstack
{

/// Peer network whose journal messages go to a function; it has no other
/// calls.
class fake_peer_network : public peer_network
{
public:
    using append_function =
        std::function<absl::StatusOr<wire::journal_append_response>(
            const std::string&, const wire::journal_append&, milliseconds)>;

    explicit fake_peer_network(append_function append)
        : append_(std::move(append))
    {
    }

    absl::StatusOr<wire::journal_append_response>
    append(const std::string& host, const wire::journal_append& request,
           milliseconds timeout) override
    {
        return append_(host, request, timeout);
    }

    void deliver(const std::string& /*address*/,
                 const wire::consensus_message& /*message*/) override
    {
    }
    void push(const std::string& /*host*/,
              const wire::soft_state_delta& /*delta*/) override
    {
    }
    absl::StatusOr<wire::soft_state_delta>
    exchange(const std::string& /*host*/,
             const wire::soft_state_digest& /*digest*/,
             milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::command_outcome>
    propose(const std::string& /*address*/,
            const wire::control_command& /*command*/,
            milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::config_response>
    read_config(const std::string& /*host*/,
                const wire::config_request& /*request*/,
                milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::audit_response>
    read_audit(const std::string& /*host*/,
               const wire::audit_request& /*request*/,
               milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::members_response>
    read_members(const std::string& /*host*/, milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::transition_response>
    transition(const std::string& /*host*/,
               const wire::request_transition& /*request*/,
               milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::forwarded_answer>
    dispatch(const std::string& /*host*/,
             const wire::forwarded_request& /*request*/,
             milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::job_answer>
    submit_job(const std::string& /*host*/,
               const wire::job_submission& /*request*/,
               milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::job_list> list_jobs(const std::string& /*host*/,
                                             const wire::job_query& /*request*/,
                                             milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }
    absl::StatusOr<wire::job_answer>
    cancel_job(const std::string& /*host*/, const wire::job_cancel& /*request*/,
               milliseconds /*timeout*/) override
    {
        return absl::UnimplementedError("fake");
    }

private:
    append_function append_;
};

} // namespace limpetstack
