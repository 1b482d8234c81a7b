#pragma once

#include "coordination/fleet/worker_port.hpp"
#include "support/fleet_fixture.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Probabilities of the faults of an order, in percent.
struct order_faults
{
    unsigned lost_answer = 0; // It is carried out at once, without an answer.
    unsigned late = 0; // It is carried out 2 to 12 s later, without an answer.
    unsigned refused = 0; // A start is answered as unhealthy, without effect.
    unsigned failed = 0;  // A run fails at a random time.
};

/// Simulates workers that carry out the orders of a fixture's port, with
/// faults. Records a violation for two runs of a subtask at once, for a start
/// after a recorded end, and for more load than a worker's capacity.
class model_workers
{
public:
    model_workers(fleet_fixture& fixture, unsigned seed);

    void add(const std::string& id, const std::string& rack,
             const std::string& label = "");

    /// Advances to the fixture's time and processes the orders that were sent.
    void advance();

    /// Disconnects or reconnects a worker. Orders to a disconnected worker, and
    /// its answers, are lost.
    void set_disconnected(const std::string& id, bool disconnected);

    /// Crashes the worker. It is back after some seconds, under another id and
    /// with nothing on it.
    void crash(const std::string& id);

    /// Lets the worker report that it leaves, call for its departure after some
    /// seconds, and end: at the acknowledgement, or some seconds later when
    /// that is lost. Another worker joins after that.
    void depart(const std::string& id);

    /// Crashes the worker. It is back after 0.05 to 2 s, under the same id and
    /// with nothing on it. Its first report arrives 0 to 2 s later; until then
    /// it takes orders that were meant for the earlier process.
    void restart(const std::string& id);

    /// Crashes the worker. Another one is at its address after 0.05 to 2 s,
    /// whose start time comes from a clock that differs by up to 3 s.
    void replace(const std::string& id);

    /// Disconnects the worker for the time.
    void disconnect_for(const std::string& id, milliseconds duration);

    /// Reconnects all workers.
    void reconnect_all();

    /// Delivers a report of the worker if it is up and its first report has
    /// arrived.
    void report(const std::string& id);

    /// Delivers the reports of all workers that are up.
    void report_all();

    /// Returns a worker that is up, or any one if all are down.
    std::string random_worker();

    /// Makes all runs that end on the worker fail, or lets them succeed again.
    void set_failing(const std::string& id, bool failing);

    /// Returns the sum of the needs of the runs that are on the worker.
    resource_amounts used(const std::string& id) const;

    /// Returns true when a run of the job is on any worker.
    bool has_run_of(const std::string& job) const;

    /// Returns true when a run of the subtask, as JOB.STEP.INDEX, is on any
    /// worker.
    bool has_run_of_subtask(const std::string& subtask) const;

    /// Returns true when the worker has neither crashed nor left.
    bool is_up(const std::string& id) const;

    /// Returns the ids of all workers that are up.
    std::vector<std::string> all_up() const;

    order_faults faults;
    std::vector<std::string> violations;
    std::size_t starts = 0;
    std::set<std::string> started;        // Subtasks, as JOB.STEP.INDEX.
    std::set<std::string> crashing;       // Subtasks that crash their workers.
    std::map<std::string, int> starts_of; // By subtask.
    std::size_t crashes = 0;
    std::size_t departures = 0;
    bool reports_progress = false; // Otherwise runs are listed at 10%.
    milliseconds stop_time{300};   // Time that a worker takes to stop a run.

private:
    struct model_run
    {
        run_ref run;
        resource_amounts need;
        milliseconds duration{0};  // Run time until the run ends.
        milliseconds remaining{0}; // Part of the duration that is left.
        time_point stopping_until;
        bool stopping = false;
        bool gang = false;
        run_end end = run_done; // How the run ends if it is not stopped.
    };
    struct model_worker
    {
        worker_record record;      // What it reports, with its own start time.
        time_point clock_start;    // When its clock was 0.
        std::uint64_t process = 0; // Number of the process under its id.
        bool reporting = true;     // Its first report has arrived.
        std::int64_t clock_difference_ms = 0;  // Of its start times.
        std::map<std::string, model_run> runs; // By the key of the run.
        std::vector<listed_end> ended;
        // The highest run number that ended or was stopped, by subtask.
        std::map<std::string, std::uint32_t> highest_ended;
        std::uint64_t next_end = 1; // The number of the next end.
        // Ends up to this number happened before the last expiry of the
        // worker's lease. They do not count as recorded, because the leader
        // may have ended these runs as lapsed.
        std::uint64_t expired_ends = 0;
        std::uint64_t epoch = 0;
        // Epoch of the leader with an open connection for orders; 0: none.
        std::uint64_t connected_epoch = 0;
        std::int64_t lease_until = 0; // In ms, on the worker's clock.
        bool disconnected = false;
        bool crashed = false; // It crashed or left.
        bool departing = false;
        bool failing = false;
    };
    struct delayed_action
    {
        time_point at;
        std::function<void()> run;
    };

    bool chance(unsigned percent) { return random_() % 100 < percent; }
    bool has_run(const std::function<bool(const run_ref&)>& matches) const;
    static std::string subtask_of(const run_ref& run);
    order_result start(const std::string& id, const start_order& order);
    order_result stop(const std::string& id, const run_ref& run,
                      std::uint64_t epoch);
    hold_answer hold(const std::string& id, const hold_order& order);
    void finish(model_worker& worker, const std::string& key, run_end end);
    void deliver(const std::string& id, const std::function<void()>& carry_out,
                 const std::function<void()>& answer);
    bool connect(const std::string& id);
    void take_order(const std::string& id,
                    const std::function<order_result()>& carry_out,
                    milliseconds timeout,
                    const fake_worker_port::order_callback& done);
    void take_orders();
    void advance_time();
    void begin_successor(const std::string& id);
    void call_departure(const std::string& id, std::uint64_t process,
                        time_point ends_at, bool answered);
    void leave(const std::string& id, std::uint64_t process);
    void end_gang(const run_ref& run, run_end end, const std::string& except);
    std::int64_t clock_of(const model_worker& worker) const;
    bool end_process(const std::string& id);
    void begin_process(const std::string& id, const worker_record& record,
                       time_point clock_start);
    void begin_process_later(const worker_record& record,
                             std::int64_t clock_difference_ms);

    fleet_fixture& fixture_;
    std::mt19937 random_;
    std::map<std::string, model_worker> workers_;
    std::vector<delayed_action> delayed_;
    std::set<std::string> recorded_done_; // Subtasks with an acknowledged end.
    time_point last_time_;
};

} // namespace limpetstack::fleet
