#pragma once

#include "coordination/fleet/fleet_scheduler.hpp"
#include "coordination/fleet/worker_fleet.hpp"
#include "fake_policy_port.hpp"
#include "fake_worker_port.hpp"
#include "state/fleet_state.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace limpetstack::fleet
{

/// Test fixture that runs a fleet leader on a manual clock. Proposals are
/// committed only when the test calls for it.
class fleet_fixture
{
public:
    fleet_fixture();

    /// Starts a new leader under the next epoch, on the current state.
    void start_leader();

    /// Applies proposals until none remains.
    void commit();

    /// Advances both clocks and commits.
    void advance(milliseconds time);

    /// Applies a command to the state and informs the leader's components.
    void apply(const fleet_command& command);

    /// Adds a worker of 32 cores, 128 GB and 8 accelerators. Its data centre is
    /// named after its rack: "dc-" and the rack.
    void add_worker(const std::string& id, const std::string& rack,
                    std::int64_t born_ms = 1,
                    const std::string& service = "service",
                    const std::string& label = "");

    /// Adds a worker that a crashed one comes back as: at the same address,
    /// under another id.
    void replace_worker(const std::string& id, const std::string& successor);

    /// Applies the start or the end of the evacuation of a data centre.
    void set_evacuated(const std::string& data_centre, bool active);

    /// Applies a report that the worker is about to leave.
    void drain(const std::string& id);

    /// Delivers the departure call of a draining worker, as `fleet_service`
    /// handles it. Calls `done` with its answer; a change of the leader loses
    /// it.
    void depart(const std::string& id, std::function<void()> done);

    /// Delivers a report of the worker to the leader.
    void report(const std::string& id);

    /// Applies the acceptance of a job with one step.
    void submit(const std::string& id, const step_spec& step,
                const std::string& queue = "normal",
                const std::string& account = "account");

    /// Applies the acceptance of a job of any number of steps.
    void submit_job(const std::string& id, const job_spec& spec,
                    const std::string& queue = "normal",
                    const std::string& account = "account");

    /// Runs one scheduling round and commits its proposals.
    void schedule();

    std::int64_t worker_clock() const { return now.time_since_epoch().count(); }

    fleet_state state;
    fake_worker_port port;
    fake_policy_port policy;
    std::deque<fleet_command> proposals;
    time_point now{milliseconds(1000000)};
    std::int64_t wall_ms = 1700000000000;
    fleet_document document;
    metrics counters;
    fleet_scheduler_options scheduler_options; // Of the next leader.
    std::unique_ptr<worker_fleet> workers;
    std::unique_ptr<fleet_scheduler> scheduler;
    std::uint64_t epoch = 0;

private:
    void propose_removal(const worker_incarnation& worker,
                         std::function<void()> done);

    // Answers to departure calls whose removal is proposed, by worker id.
    std::multimap<std::string, std::function<void()>> departures_;
};

/// Answers all open holds with empty lists, which confirms the workers to the
/// leader.
void confirm_workers(fleet_fixture& fixture);

/// Answers all open holds with the runs that the workers have, each with
/// progress.
void list_runs(fleet_fixture& fixture);

/// Adds a worker that has answered the leader, so that it can get runs.
void add_ready_worker(fleet_fixture& fixture, const std::string& id,
                      const std::string& rack);

/// Accepts every start that was sent.
void accept_starts(fleet_fixture& fixture);

/// Applies the end of a run, as if its worker had listed it.
void end_run(fleet_fixture& fixture, const run_ref& run, run_end end);

/// Returns the number of accelerators in use on all workers.
std::int64_t used_accelerators(const fleet_fixture& fixture);

/// Returns a step of `count` subtasks that need `accelerators` each.
step_spec make_step(std::uint32_t count, std::int64_t accelerators,
                    bool gang = false);

/// Returns a reference to a run of the first step and occurrence of `job`.
run_ref make_run(const std::string& job, std::uint32_t index,
                 std::uint32_t run);

} // namespace limpetstack::fleet
