#pragma once

#include "fleet.pb.h"
#include "state/index_set.hpp"
#include "state/job_holder.hpp"
#include "state/step_state.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

struct occurrence_state
{
    std::vector<step_state> steps;
    bool done = false;
};

struct job_state
{
    accepted_job job;
    std::uint64_t order = 0; // Position in the order of acceptance.
    std::size_t cost = 0;    // As `job_cost` returns it.
    bool cancelled = false;
    bool failed = false;
    bool complete = false;
    bool started = false;
    std::int64_t finished_ms = 0;
    std::string failure_reason; // Why the job was given up.
    std::uint32_t done_occurrences = 0;
    // Occurrences that are done and of which no run is present.
    index_set ended_occurrences;
    // The other occurrences of which a subtask has been placed.
    std::map<std::uint32_t, occurrence_state> occurrences;

    bool ended() const { return cancelled || failed || complete; }
};

/// The effect of applying one command.
enum class apply_result
{
    changed,
    // The command is a repetition or is outdated; it is acknowledged like the
    // first one.
    unchanged,
    refused
};

/// Data centres that may be evacuated at the same time.
constexpr std::size_t max_evacuations = 64;

/// The replicated state of the fleet: the document, the workers, the evacuated
/// data centres, and the jobs with the runs that may be present on workers. The
/// state depends only on the sequence of commands, never on a clock. Not
/// thread-safe.
class fleet_state
{
public:
    apply_result apply(const fleet_command& command);

    /// Returns the serialized state.
    std::string snapshot() const;

    /// Replaces the state by a snapshot. Returns false and changes nothing when
    /// `data` is not a snapshot.
    bool restore(const std::string& data);

    const stored_document& document() const { return document_; }
    const std::map<std::string, job_state>& jobs() const { return jobs_; }
    const std::map<std::string, worker_record>& workers() const
    {
        return workers_;
    }

    /// Returns the names of the evacuated data centres, on whose workers
    /// nothing is started.
    const std::set<std::string>& evacuated() const { return evacuated_; }
    bool is_evacuated(const std::string& data_centre) const
    {
        return evacuated_.count(data_centre) > 0;
    }

    /// Returns true when the incarnation, or a later one of the same worker,
    /// is known to have left or ended: its reports are obsolete. Incarnations
    /// without a start time are never known to be gone.
    bool is_gone(const worker_incarnation& incarnation) const;

    /// Returns the cost of all jobs, and of those of one holder, in bytes.
    std::size_t jobs_cost() const { return jobs_cost_; }
    std::size_t jobs_cost(const job_holder& holder) const;

    /// Returns the cost of all workers, in bytes as `worker_cost` counts them.
    std::size_t workers_cost() const { return workers_cost_; }

    const job_state* find_job(const std::string& id) const;
    const step_state* find_step(const run_ref& run) const;

    /// Returns the subtask's state; nothing if it was never placed, or if it is
    /// done and no run of it is present.
    const subtask_state* find_subtask(const run_ref& run) const;

    /// Returns true when the run's subtask is done.
    bool is_subtask_done(const run_ref& run) const;

    /// Returns true when the run may be present on that incarnation of a
    /// worker.
    bool is_active(const run_ref& run,
                   const worker_incarnation& incarnation) const;

private:
    apply_result put_document(const stored_document& document);
    apply_result accept(const accepted_job& job);
    apply_result forget(const std::string& id);
    void add_job(job_state& state, accepted_job job);
    void load_job(job_snapshot& saved);
    apply_result cancel(const std::string& id);
    apply_result place(const placement& placed);
    apply_result end(const ended_run& ended);
    apply_result put_worker(const worker_record& worker);
    apply_result remove_worker(const worker_ref& worker);
    void remember_gone(const worker_incarnation& incarnation);
    apply_result set_evacuated(const evacuation& change);
    apply_result fail(const finished_job& job);
    apply_result finish(const finished_job& job);
    apply_result record_crashes(const worker_crash& crash);
    apply_result record_survival(const run_ref& run);
    step_state* mutable_step(const run_ref& run);
    static occurrence_state& occurrence(job_state& job, std::uint32_t number);
    static void record_occurrence_end(job_state& job, std::uint32_t number);

    stored_document document_;
    std::map<std::string, job_state> jobs_;
    std::size_t jobs_cost_ = 0;
    std::map<job_holder, std::size_t> cost_by_holder_;
    std::map<std::string, worker_record> workers_;
    std::size_t workers_cost_ = 0;
    std::deque<worker_incarnation> gone_workers_; // Oldest first.
    // Start times of the incarnations in `gone_workers_`, by worker.
    std::map<std::string, std::int64_t> gone_born_ms_;
    std::set<std::string> evacuated_;
    std::uint64_t next_order_ = 1;
};

/// Returns whose share of the room for accepted jobs the job takes.
job_holder holder_of(const accepted_job& job);

/// Returns the number of occurrences of a job, at least 1.
std::uint32_t occurrence_count(const job_spec& spec);

} // namespace limpetstack::fleet
