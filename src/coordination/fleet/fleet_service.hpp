#pragma once

#include "coordination/fleet/call_fence.hpp"
#include "coordination/fleet/consensus_runner.hpp"
#include "coordination/fleet/job_room.hpp"
#include "coordination/fleet/proposed_jobs.hpp"
#include "protocol/external_protocol.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace limpetstack::fleet
{

/// The functions and settings of the leader that `fleet_service` uses.
struct fleet_service_dependencies
{
    std::function<void(fleet_command, consensus_runner::outcome_handler)>
        propose;
    // Calls its argument with true once a majority has confirmed that the state
    // is current, with false when this host does not lead.
    std::function<void(std::function<void(bool)>)> read;
    // Prepares the departure of a draining worker. Calls its handler with true
    // when the worker may be removed from the state, with false when this host
    // does not lead any more.
    std::function<void(const worker_incarnation&, std::function<void(bool)>)>
        begin_departure;
    // Is called with each valid report of a worker's current incarnation.
    std::function<void(const worker_report&)> record_report;
    // Returns the document in force, or null before the first document.
    std::function<const fleet_document*()> document;
    // Returns false while a connected host of the group is known to be of a
    // version that drops evacuations from its state.
    std::function<bool()> group_applies_evacuations;
    std::function<std::uint64_t()> term;   // Of this host's leadership.
    std::function<std::int64_t()> wall_ms; // Wall clock in milliseconds.
    // Returns what accepted jobs may cost together, in bytes as `job_cost`
    // counts them.
    std::function<std::size_t()> job_room_limit;
    // Returns what workers may cost together, in bytes as `worker_cost` counts
    // them.
    std::function<std::size_t()> worker_room_limit;
    // Time for which an ended job is kept.
    milliseconds ended_job_retention{130000};
    std::string report_address; // Address that workers report to from now on.
};

/// Refusals for lack of room are logged at most this often, so that clients can
/// not fill the log.
constexpr milliseconds refusal_log_interval{1000};

using answer_handler = std::function<void(const forwarded_answer&)>;

/// Answers calls of callers, workers and operators on the leader. It answers
/// only after the state that the answer depends on is committed or confirmed by
/// a majority.
class fleet_service
{
public:
    fleet_service(const external_protocol& protocol, const fleet_state& state,
                  fleet_service_dependencies dependencies);

    /// Handles one call; `done` is called once with the answer, possibly after
    /// this function has returned.
    void handle(const forwarded_call& call, const answer_handler& done);

    /// Returns the number of callers' calls that came too late to be carried
    /// out, because a later sending may have been answered.
    std::uint64_t superseded_calls() const { return superseded_calls_; }

    /// Returns the number of jobs that were refused for lack of room.
    std::uint64_t jobs_without_room() const { return jobs_without_room_; }

    /// Returns the number of reports that were refused for lack of room.
    std::uint64_t workers_without_room() const { return workers_without_room_; }

private:
    struct selected_queue
    {
        const queue_config* queue = nullptr;
        std::string path_suffix; // Part of the path after the queue's prefix.
    };

    void handle_caller(const forwarded_call& call, const answer_handler& done);
    void handle_repeated(const forwarded_call& call,
                         const answer_handler& done);
    void confirm_refusal(const forwarded_call& call,
                         const forwarded_answer& refusal,
                         const answer_handler& done);
    forwarded_answer
    answer_for_all_sendings(const forwarded_call& call,
                            const forwarded_answer& refusal) const;
    const job_state* find_named_job(const std::string& target) const;
    void submit(const forwarded_call& call, const queue_config& queue,
                const std::string& account, const std::string& id,
                const answer_handler& done);
    job_room room_for(const job_holder& holder) const;
    forwarded_answer refuse_job(const accepted_job& job, std::size_t cost);
    milliseconds time_until_room(const job_holder& holder);
    void cancel(const std::string& id, const answer_handler& done);
    void refuse(const forwarded_call& call, const answer_handler& done);
    void answer_confirmed(const forwarded_call& call,
                          const answer_handler& done);
    forwarded_answer answer_from_state(const forwarded_call& call) const;
    forwarded_answer count_pending(const std::string& queue) const;
    /// Returns the queue of the host with the longest prefix of the path, or a
    /// null queue when none matches.
    selected_queue select_queue(const std::string& host,
                                const std::string& target) const;
    /// Returns true when the call may use the queue. Sets `account` when the
    /// call's key belongs to an account; without one only public queues may be
    /// used.
    bool authorize(const forwarded_call& call, const queue_config& queue,
                   std::string& account) const;

    void handle_control(const forwarded_call& call, const answer_handler& done);
    void report_worker(const forwarded_call& call, const std::string& id,
                       const answer_handler& done);
    void log_worker_refusal(const worker_record& worker, std::size_t cost);
    void remove_worker(const forwarded_call& call, const std::string& id,
                       const answer_handler& done);
    void propose_removal(const worker_incarnation& worker,
                         const answer_handler& done);
    void put_document(const forwarded_call& call, const answer_handler& done);
    void set_evacuated(const std::string& data_centre, bool active,
                       const answer_handler& done);
    void propose(fleet_command command, const answer_handler& done,
                 std::function<forwarded_answer(apply_result)> answer);

    const external_protocol& protocol_;
    const fleet_state& state_;
    fleet_service_dependencies dependencies_;
    call_fence fence_;
    std::uint64_t superseded_calls_ = 0;
    proposed_jobs proposed_;
    std::uint64_t jobs_without_room_ = 0;
    // When the next ended job of a holder is forgotten, by holder, and when
    // this was computed, in milliseconds of the wall clock.
    struct expected_room
    {
        std::int64_t computed_ms = 0;
        std::int64_t at_ms = 0;
    };
    std::map<job_holder, expected_room> expected_room_;
    std::int64_t refusal_logged_ms_ = 0;
    std::size_t proposed_workers_cost_ = 0;
    std::uint64_t workers_without_room_ = 0;
    std::int64_t worker_refusal_logged_ms_ = 0;
};

/// Returns the phase of the job that callers are shown.
job_phase phase_of(const job_state& job);

} // namespace limpetstack::fleet
