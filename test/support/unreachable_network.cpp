#include "support/unreachable_network.hpp"

#include "peer.pb.h"

namespace limpetstack
{
namespace
{

absl::Status unreachable()
{
    return absl::UnavailableError("unreachable");
}

} // namespace

void unreachable_network::deliver(const std::string& /*address*/,
                                  const wire::consensus_message& /*message*/)
{
}

void unreachable_network::push(const std::string& /*host*/,
                               const wire::soft_state_delta& /*delta*/)
{
}

absl::StatusOr<wire::soft_state_delta>
unreachable_network::exchange(const std::string& /*host*/,
                              const wire::soft_state_digest& /*digest*/,
                              milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::command_outcome>
unreachable_network::propose(const std::string& /*address*/,
                             const wire::control_command& /*command*/,
                             milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::config_response>
unreachable_network::read_config(const std::string& /*host*/,
                                 const wire::config_request& /*request*/,
                                 milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::audit_response>
unreachable_network::read_audit(const std::string& /*host*/,
                                const wire::audit_request& /*request*/,
                                milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::members_response>
unreachable_network::read_members(const std::string& /*host*/,
                                  milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::journal_append_response>
unreachable_network::append(const std::string& /*host*/,
                            const wire::journal_append& /*request*/,
                            milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::transition_response>
unreachable_network::transition(const std::string& /*host*/,
                                const wire::request_transition& /*request*/,
                                milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::forwarded_answer>
unreachable_network::dispatch(const std::string& /*host*/,
                              const wire::forwarded_request& /*request*/,
                              milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::job_answer>
unreachable_network::submit_job(const std::string& /*host*/,
                                const wire::job_submission& /*request*/,
                                milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::job_list>
unreachable_network::list_jobs(const std::string& /*host*/,
                               const wire::job_query& /*request*/,
                               milliseconds /*timeout*/)
{
    return unreachable();
}

absl::StatusOr<wire::job_answer>
unreachable_network::cancel_job(const std::string& /*host*/,
                                const wire::job_cancel& /*request*/,
                                milliseconds /*timeout*/)
{
    return unreachable();
}

} // namespace limpetstack
