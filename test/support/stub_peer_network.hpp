#pragma once

#include "coordination/peer_network.hpp"
#include "peer.pb.h"

namespace limpetstack
{

/// Network on which every call fails as not sent. Fakes override the calls that
/// they need.
class stub_peer_network : public peer_network
{
public:
    void deliver(const std::string&, const wire::consensus_message&) override {}
    void push(const std::string&, const wire::soft_state_delta&) override {}
    absl::StatusOr<wire::soft_state_delta>
    exchange(const std::string&, const wire::soft_state_digest&,
             milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::command_outcome> propose(const std::string&,
                                                  const wire::control_command&,
                                                  milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::config_response>
    read_config(const std::string&, const wire::config_request&,
                milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::audit_response> read_audit(const std::string&,
                                                    const wire::audit_request&,
                                                    milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::members_response> read_members(const std::string&,
                                                        milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::journal_append_response>
    append(const std::string&, const wire::journal_append&,
           milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::transition_response>
    transition(const std::string&, const wire::request_transition&,
               milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::forwarded_answer>
    dispatch(const std::string&, const wire::forwarded_request&,
             milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::job_answer> submit_job(const std::string&,
                                                const wire::job_submission&,
                                                milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::job_list>
    list_jobs(const std::string&, const wire::job_query&, milliseconds) override
    {
        return not_sent();
    }
    absl::StatusOr<wire::job_answer> cancel_job(const std::string&,
                                                const wire::job_cancel&,
                                                milliseconds) override
    {
        return not_sent();
    }

protected:
    static absl::Status not_sent()
    {
        return absl::FailedPreconditionError("not sent");
    }
};

} // namespace limpetstack
