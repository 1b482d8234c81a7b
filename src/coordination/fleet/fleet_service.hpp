#pragma once

#include "coordination/fleet/consensus_runner.hpp"
#include "protocol/external_protocol.hpp"
#include "state/fleet_state.hpp"

#include <functional>
#include <memory>
#include <string>

namespace limpetstack::fleet
{

/// What the leader's interfaces need of the rest of the leader.
struct fleet_service_parts
{
    std::function<void(fleet_command, consensus_runner::outcome_handler)>
        propose;
    std::function<void(std::function<void(bool)>)> read;
    std::function<void(const worker_report&)> note_report;
    // Returns the document in force; null before the first.
    std::function<const fleet_document*()> document;
    std::function<std::int64_t()> wall_ms;
    std::string report_address; // Where workers may report from now on.
};

using answer_handler = std::function<void(const forwarded_answer&)>;

/// Answers calls of callers, workers and operators on the leader. An answer is
/// given only after what it says is committed, or confirmed by a majority.
class fleet_service
{
public:
    fleet_service(const external_protocol& protocol, const fleet_state& state,
                  fleet_service_parts parts);

    void handle(const forwarded_call& call, const answer_handler& done);

private:
    struct selected_queue
    {
        const queue_config* queue = nullptr;
        std::string rest; // What follows the prefix.
    };

    void handle_caller(const forwarded_call& call, const answer_handler& done);
    void submit(const forwarded_call& call, const queue_config& queue,
                const std::string& account, const std::string& id,
                const answer_handler& done);
    void cancel(const std::string& id, const answer_handler& done);
    void refuse(const forwarded_call& call, const answer_handler& done);
    void answer_current(const forwarded_call& call, const answer_handler& done);
    forwarded_answer describe(const forwarded_call& call) const;
    forwarded_answer count_pending(const std::string& queue) const;
    selected_queue select(const std::string& host,
                          const std::string& target) const;
    /// Returns false when the key belongs to no account.
    bool authorize(const forwarded_call& call, const queue_config& queue,
                   std::string& account) const;

    void handle_control(const forwarded_call& call, const answer_handler& done);
    void report(const forwarded_call& call, const std::string& id,
                const answer_handler& done);
    void remove(const forwarded_call& call, const std::string& id,
                const answer_handler& done);
    void put_document(const forwarded_call& call, const answer_handler& done);
    void propose(fleet_command command, const answer_handler& done,
                 std::function<forwarded_answer(apply_result)> answer);

    const external_protocol& protocol_;
    const fleet_state& state_;
    fleet_service_parts parts_;
};

/// Returns what a caller is told about the job.
job_phase phase_of(const job_state& job);

} // namespace limpetstack::fleet
