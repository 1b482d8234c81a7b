#pragma once

#include "base/clock.hpp"
#include "base/metrics.hpp"
#include "coordination/fleet/lease_clock.hpp"
#include "coordination/fleet/worker_port.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Times of the worker protocol, from the deployment's settings.
struct worker_fleet_options
{
    milliseconds max_lease{6000};
    milliseconds report_interval{1500};
    double clock_slowness = 0.02;
    milliseconds max_hold_wait{2000};
    milliseconds stop_time{900};      // Longest time that a stop takes.
    milliseconds forget_after{60000}; // Of a silent worker without runs.
};

/// What is needed of one worker, or free on it.
struct resource_amounts
{
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
};

resource_amounts operator+(const resource_amounts& a,
                           const resource_amounts& b);
resource_amounts operator-(const resource_amounts& a,
                           const resource_amounts& b);
resource_amounts to_amounts(const resources& value);

/// Returns what one subtask of the step is counted with against a worker.
resource_amounts counted_need(const step_spec& step);

/// Names a subtask within the fleet.
std::string subtask_key(const run_ref& run);

/// Returns true when `need` fits into `room`.
bool fits(const resource_amounts& need, const resource_amounts& room);

enum class run_phase
{
    proposed,  // The placement is not committed yet.
    committed, // Committed; the start has not been sent.
    starting,  // The start was sent and not answered.
    present,   // The worker took the start or listed the run.
    adopted    // Placed by an earlier leader; not confirmed yet.
};

/// A run that is or may be present on a worker, as the leader sees it.
struct live_run
{
    run_ref ref;
    worker_incarnation incarnation;
    resource_amounts need;
    std::int64_t priority = 0;
    bool gang = false;
    bool checkpointable = false;
    bool lasting = false;
    bool filler = false;
    bool serves_users = false;
    run_phase phase = run_phase::proposed;
    bool stop_requested = false;
    bool stop_sent = false;
    bool stop_acknowledged = false;
    bool end_proposed = false;
    std::string ticket;     // Of the queue's policy.
    bool displaced = false; // Its worker was born again meanwhile.
    int start_attempts = 0;
    time_point since;      // Of the phase.
    time_point looked_at;  // When the lists were asked for after its stop.
    time_point started_at; // When it became present.
    std::string checkpoint;
    std::int64_t estimate_ms = 0; // Of the whole subtask; often far off.
    int percent = 0;
    time_point listed_at;     // When the worker last listed it.
    time_point progressed_at; // Last rise of `percent` or new checkpoint.
};

/// A worker's session with the leader.
struct worker_session
{
    explicit worker_session(lease_clock leases)
        : clock(leases)
    {
    }

    worker_record record;
    resource_amounts capacity;
    resource_amounts used; // By all live runs.
    lease_clock clock;
    std::set<std::string> runs;   // Keys of the live runs.
    std::size_t filler_runs = 0;  // Live runs that take what others leave.
    std::size_t serving_runs = 0; // Live runs with a tail latency to keep.
    std::uint64_t last_sequence = 0;
    time_point last_report;
    std::uint64_t noted_end = 0;        // Ends up to this number are committed.
    std::uint64_t listed_end = 0;       // Highest number in the last lists.
    std::uint64_t acknowledged_end = 0; // Last number the worker was told.
    std::set<std::string> pending_ends; // Listed, proposed, not committed.
    bool confirmed = false; // Has answered under this leader's epoch.
    bool holding = false;
    bool removal_proposed = false;
    int hold_failures = 0;
    time_point unsteady_until; // Answers were lost lately.
    time_point retry_at;       // No hold before this time.
    time_point last_answer;    // Of a hold or look.
    time_point avoid_until;    // No placement before this time.
};

/// The leader's knowledge of workers and of what runs on them: sessions,
/// leases, orders, lists and lapses. Everything that a later leader must know
/// goes through proposals to the replicated state before it has an effect
/// outside. For one thread.
class worker_fleet
{
public:
    using proposer = std::function<void(fleet_command)>;
    using clock_reader = std::function<time_point()>;

    worker_fleet(const worker_fleet_options& options, const fleet_state& state,
                 worker_port& port, proposer propose, clock_reader clock,
                 std::uint64_t epoch, metrics& counters);

    /// Notes a report of a worker that the replicated state knows.
    void record_report(const worker_report& report, time_point now);

    /// Follows a command that was applied to the replicated state.
    void on_applied(const fleet_command& command, apply_result result,
                    time_point now);

    /// Sends what became due: starts of committed runs, holds, retries; ends
    /// runs whose lease is over.
    void advance(time_point now);

    /// Proposes a placement; the run starts once it is committed. `ticket` is
    /// that of the queue's policy, empty without one.
    void place(const run_ref& run, const worker_session& worker,
               const step_spec& step, std::int64_t priority,
               const std::string& ticket, time_point now);

    /// Stops a run, with all members when it belongs to a gang.
    void stop(const std::string& key, const char* reason, time_point now);

    /// Returns true when placements may go to the worker now.
    bool is_usable(const worker_session& worker, time_point now) const;

    const std::map<std::string, worker_session>& workers() const
    {
        return workers_;
    }
    const std::map<std::string, live_run>& runs() const { return runs_; }

    /// Keeps placements away from a worker for some time.
    void avoid(const std::string& worker, time_point until);

    /// Returns the keys of the live runs of a step's run number.
    std::vector<std::string> gang_members(const run_ref& ref) const;

    /// Returns true when a worker has answered with a higher epoch.
    bool deposed() const { return deposed_; }

    static std::string key_of(const run_ref& run);

private:
    worker_session& add_session(const worker_record& record, time_point now);
    live_run& add_run(const run_ref& run, const worker_incarnation& incarnation,
                      run_phase phase, time_point now);
    void release(const std::string& key);
    worker_session* session_of(const worker_incarnation& incarnation);
    void propose_end(live_run& run, run_end end, const std::string& checkpoint,
                     const char* reason);
    void start_committed(time_point now);
    void check_gangs();
    void send_start(live_run& run, worker_session& worker, time_point now);
    void on_start_answer(const std::string& key, const order_answer& answer,
                         time_point now);
    void send_stop(live_run& run, time_point now);
    void on_stop_answer(const std::string& key, const order_answer& answer,
                        time_point now);
    using order_handler = void (worker_fleet::*)(const std::string&,
                                                 const order_answer&,
                                                 time_point);
    std::function<void(const order_answer&)> answer_to(const std::string& key,
                                                       order_handler handler);
    hold_order hold_for(const worker_session& worker) const;
    std::function<void(const hold_answer&)>
    lists_to(const worker_session& worker, bool is_hold, time_point sent);
    milliseconds hold_wait(const worker_session& worker, time_point now) const;
    void hold(worker_session& worker, time_point now);
    void request_lists(worker_session& worker, time_point now);
    void on_lists(const worker_incarnation& incarnation,
                  const hold_answer& answer, time_point sent,
                  std::uint64_t told, bool is_hold, time_point now);
    void take_ended(worker_session& worker, const worker_lists& lists,
                    std::set<std::string>& seen);
    void take_running(worker_session& worker, const worker_lists& lists,
                      std::set<std::string>& seen, time_point now);
    void end_missing(worker_session& worker, const std::set<std::string>& seen,
                     time_point sent, time_point now);
    void retry_stops(time_point now);
    void serve(worker_session& worker, time_point now);
    void forget_silent(worker_session& worker, time_point now);
    bool needs_hold(const worker_session& worker) const;
    void lose_incarnation(const worker_incarnation& incarnation,
                          const char* reason, time_point now);
    void end_lapsed(worker_session& worker, time_point now);
    void refresh_record(const worker_record& record, time_point now);
    std::int64_t lease_end(worker_session& worker, time_point now);
    void abort_gang(const live_run& run, const char* reason, time_point now);

    const worker_fleet_options options_;
    const fleet_state& state_;
    worker_port& port_;
    proposer propose_;
    clock_reader clock_;
    const std::uint64_t epoch_;
    metrics& counters_;
    std::map<std::string, worker_session> workers_; // By worker id.
    std::map<std::string, live_run> runs_;
    std::vector<std::string> newly_committed_;
    std::set<std::string> due_;      // Workers for which something happened.
    std::set<std::string> stopping_; // Runs that are to end.
    time_point scanned_at_;
    bool deposed_ = false;
    // Callbacks that outlive this object do nothing.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet
