#pragma once

#include "base/clock.hpp"
#include "base/metrics.hpp"
#include "coordination/fleet/answer_loss.hpp"
#include "coordination/fleet/lease_clock.hpp"
#include "coordination/fleet/worker_port.hpp"
#include "state/fleet_state.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Time limits of the worker protocol, taken from the deployment's settings.
struct worker_fleet_options
{
    milliseconds max_lease{6000}; // The longest lease that a worker accepts.
    milliseconds report_interval{1500}; // Time between a worker's reports.
    // The largest fraction by which a worker's clock may run slow.
    double max_clock_drift = 0.02;
    // The longest time for which an earlier leader may send orders after a new
    // leader has begun.
    milliseconds leadership_overlap{0};
    milliseconds max_hold_wait{2000}; // The longest wait of a hold call.
    // The longest time that a worker takes to stop a run.
    milliseconds max_stop_time{900};
    // A silent worker without runs is removed after this time.
    milliseconds remove_silent_after{60000};
};

/// Amounts of one worker's resources: its capacity, the part that is free, or
/// the need of a run.
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

/// Returns the resources that a run of one subtask of the step occupies in the
/// accounting of its worker. The processor need of fillers is not counted.
resource_amounts counted_need(const step_spec& step);

/// Returns the processors and accelerators as a number of cores; an accelerator
/// counts as several cores.
double weight_in_cores(const resource_amounts& amounts);

/// Returns a key that is unique for a subtask within the fleet.
std::string subtask_key(const run_ref& run);

/// Returns true when `need` does not exceed the `available` resources.
bool fits(const resource_amounts& need, const resource_amounts& available);

enum class run_phase
{
    proposed,  // The placement is proposed and not committed yet.
    committed, // The placement is committed; the start has not been sent.
    starting,  // The start has been sent and not answered yet.
    present,   // The worker accepted the start or listed the run.
    adopted    // An earlier leader placed it; the worker has not listed it.
};

/// Whether a worker may get placements, or why not.
enum class worker_availability
{
    usable,
    draining,   // It reported that it is about to leave.
    avoided,    // Runs failed or stalled there a short time ago.
    refusing,   // It refused a start, or did not answer it, just now.
    unreachable // It does not report, or does not answer the leader.
};

inline constexpr std::array all_availabilities{
    worker_availability::usable, worker_availability::draining,
    worker_availability::avoided, worker_availability::refusing,
    worker_availability::unreachable};

/// Returns the name of the value for logs and metrics.
const char* name_of(worker_availability availability);

/// When an attempt to start a run is over at the latest, and the lowest likely
/// time of the worker's clock then.
struct attempt_end
{
    time_point at;
    std::int64_t worker_time_ms = 0;
};

/// A run that is or may be present on a worker, as the leader sees it.
struct live_run
{
    run_ref ref;
    worker_incarnation incarnation; // On which it was placed.
    // On which it may be: a later incarnation of the same worker when that may
    // have received the start.
    worker_incarnation location;
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
    bool stop_invalid = false; // A stop was answered as invalid.
    // The worker's clock when it first lacked the run after the end of the
    // lease of its start; 0: not yet.
    std::int64_t absent_since_ms = 0;
    bool end_proposed = false;
    std::string ticket; // From the queue's policy; empty without one.
    // Its start waits for the end of an unknown run of its subtask, or of
    // another member of its gang.
    bool waits = false;
    // The incarnation on which it was placed has listed it.
    bool listed_by_incarnation = false;
    int start_attempts = 0;
    // The latest reading of the worker's clock when an order was last sent.
    std::int64_t sent_reading_ms = 0;
    int stop_attempts = 0;
    time_point first_sent_at;                // The first attempt to start it.
    std::optional<attempt_end> open_attempt; // The one without an answer yet.
    // The last unanswered one on a connection that was opened for it.
    std::optional<attempt_end> new_connection_attempt;
    // End of the lease that the attempts to start it grant, on the worker's
    // clock; 0: no attempt yet.
    std::int64_t start_lease_end_ms = 0;
    // The last change of the phase or of the progress of the stop order.
    time_point changed_at;
    // When the worker's lists were last requested to see the end of the
    // stopped run.
    time_point lists_requested_at;
    time_point started_at; // When the run became present.
    std::string checkpoint;
    // The estimated run time of the whole subtask; often far off.
    std::int64_t estimate_ms = 0;
    int percent = 0;      // Progress, as the worker listed it.
    time_point listed_at; // When the worker last listed the run.
    // The last rise of `percent` or change of the checkpoint.
    time_point progressed_at;
};

/// A run that a worker listed although the leader does not have it there. It
/// occupies the worker until it has certainly ended.
struct unknown_run
{
    run_ref ref;
    resource_amounts need;
    bool stop_sent = false;
    bool stop_acknowledged = false;
    int stop_attempts = 0;
    time_point changed_at; // The last change of the progress of the stop order.
};

/// Why the leader ended a run, kept for a while after the end.
struct ended_record
{
    std::string reason;
    time_point at;
};

/// The youngest incarnation that was known at an address.
struct address_owner
{
    std::int64_t born_ms = 0;
    // When this leader learned of it, or it last answered; an incarnation that
    // an earlier leader knew has not been seen until it answers.
    time_point seen_at;
};

/// A start that was sent to a worker a short time before another one.
struct recent_start
{
    run_ref run;
    time_point at;
};

/// The leader's view of one incarnation of a worker.
struct worker_session
{
    explicit worker_session(lease_clock leases)
        : clock(leases)
    {
    }

    worker_record record;
    resource_amounts capacity;
    resource_amounts used; // Sum of the needs of all live and unknown runs.
    lease_clock clock;
    std::set<std::string> runs; // Keys of the live runs on the worker.
    std::map<std::string, unknown_run> unknown_runs; // By key.
    // The highest time of its clock at which the worker listed its runs.
    std::int64_t lists_time_ms = 0;
    // Number of live runs that use the processor time that others leave.
    std::size_t filler_runs = 0;
    // Number of live runs with a tail latency target.
    std::size_t serving_runs = 0;
    std::uint64_t last_sequence = 0; // Highest number of a report.
    time_point last_report;          // When the last report arrived.
    // The worker numbers the ends of its runs; ends up to this number are
    // committed.
    std::uint64_t committed_end = 0;
    // The highest number of an end that the worker has listed.
    std::uint64_t listed_end = 0;
    // The highest number of an end that a hold or list request acknowledged and
    // the worker answered.
    std::uint64_t acknowledged_end = 0;
    // Keys of runs whose end was listed and proposed, but is not committed.
    std::set<std::string> pending_ends;
    // The worker has answered under this leader's epoch.
    bool confirmed = false;
    bool holding = false; // A hold call has been sent and not answered.
    // When its runs were stopped because it leaves. Its lease is not renewed.
    std::optional<time_point> departing_since;
    bool removal_proposed = false; // Its removal from the state is proposed.
    // It was removed from the state, and is kept until its runs have ended.
    bool removed = false;
    // Orders and holds without an answer since the last answer of any kind.
    int missed_answers = 0;
    // The probability that a worker which is up leaves that many unanswered.
    double missed_probability = 1;
    // A later incarnation has answered, which has not reported yet. The worker
    // gets no placements.
    bool succeeded = false;
    // The missing answers suggest that the worker is down or disconnected. It
    // gets no placements and no new lease until it answers.
    bool unreachable = false;
    // Holds wait only for the shortest time until then, after a failed hold.
    time_point short_holds_until;
    time_point retry_at; // No hold is sent before this time.
    // The last accepted answer to a hold or list request.
    time_point last_answer;
    // Before this time the worker gets placements only when no other fits.
    time_point avoid_until;
    time_point refuses_until; // The worker gets no placement before this time.
    time_point added_at;      // When this leader first knew the incarnation.
    // The last start, and those sent shortly before it.
    std::vector<recent_start> recent_starts;
    time_point last_contact; // The last answer of any kind.
    // When the worker closed its connection, if it has not answered since.
    std::optional<time_point> closed_at;
    bool crash_recorded = false;
    // A run that may crash the worker is on trial until then; no other start is
    // sent to the worker.
    time_point trial_until;
};

/// Tracks workers and their runs on the leader: it grants leases, sends orders,
/// processes the lists of workers and ends the runs of expired leases.
/// Everything that a later leader must know is committed to the replicated
/// state before it has an effect outside. Not thread-safe.
class worker_fleet
{
public:
    using proposer = std::function<void(fleet_command)>;
    using clock_reader = std::function<time_point()>;
    using departure_handler = std::function<void(bool leading)>;

    worker_fleet(const worker_fleet_options& options, const fleet_state& state,
                 worker_port& port, proposer propose, clock_reader clock,
                 std::uint64_t epoch, metrics& counters);

    /// Records a worker's report. Reports of workers or incarnations that are
    /// not in the replicated state, and older reports, are ignored.
    void record_report(const worker_report& report, time_point now);

    /// Updates sessions and runs after a command was applied to the replicated
    /// state.
    void on_applied(const fleet_command& command, apply_result result,
                    time_point now);

    /// Starts committed runs, sends and repeats holds and stops that are due,
    /// and ends runs whose lease has expired.
    void advance(time_point now);

    /// Proposes a placement; the run starts once the placement is committed.
    /// `ticket` comes from the queue's policy and is empty without one.
    void place(const run_ref& run, const worker_session& worker,
               const step_spec& step, std::int64_t priority,
               const std::string& ticket, time_point now);

    /// Stops a run. Stopping a member of a gang stops the whole gang.
    void stop(const std::string& key, const char* reason, time_point now);

    /// Stops the runs of a worker that is about to leave, so that their state
    /// is saved. Calls `ready` with true when no run is left there, or after a
    /// time limit; with false when this leadership ends before.
    void begin_departure(const worker_incarnation& incarnation,
                         departure_handler ready, time_point now);

    /// Answers the departures that are not ready. Is called at the end of the
    /// leadership.
    void cancel_departures();

    /// Returns whether the worker may get placements now, or why not.
    worker_availability availability(const worker_session& worker,
                                     time_point now) const;

    /// Returns true when the worker answers and is not about to leave, whether
    /// it gets placements now or not.
    bool is_present(const worker_session& worker, time_point now) const;

    const std::map<std::string, worker_session>& workers() const
    {
        return workers_;
    }
    const std::map<std::string, live_run>& runs() const { return runs_; }

    /// Until `until` the worker gets placements only when no other one fits.
    void avoid(const std::string& worker, time_point until);

    /// Returns true when no start was sent to the worker a short time ago and
    /// none is due: a run that starts now is the only one that a crash can be
    /// put down to.
    bool is_quiet(const worker_session& worker, time_point now) const;

    /// Returns true when the worker has been known for some time: a crash is
    /// then not the repetition of an earlier one.
    static bool is_steady(const worker_session& worker, time_point now);

    /// Sends no other start to the worker until the run that was just placed
    /// there has been at work for some time.
    void begin_trial(const std::string& worker, time_point now);

    /// Returns the keys of all live runs of the same step with the same run
    /// number: the members of a gang.
    std::vector<std::string> gang_members(const run_ref& ref) const;

    /// Returns true when the run of the last applied end had not started, as
    /// far as the leader knows.
    bool ended_before_start() const { return ended_before_start_; }

    /// Returns true when a worker has seen the higher epoch of a newer leader.
    bool deposed() const { return deposed_; }

    /// Returns a key that is unique for a run within the fleet.
    static std::string key_of(const run_ref& run);

private:
    struct departure
    {
        worker_incarnation incarnation;
        departure_handler ready;
    };

    worker_session& add_session(const worker_record& record, time_point now);
    live_run& add_run(const run_ref& run, const worker_incarnation& incarnation,
                      run_phase phase, time_point now);
    void remove_run(const std::string& key);
    worker_session* session_of(const worker_incarnation& incarnation);
    void propose_end(live_run& run, run_end end, const std::string& checkpoint,
                     const char* reason);
    void log_end(const live_run& run, run_end end, const char* reason,
                 time_point now);
    const step_spec* find_spec(const run_ref& run) const;
    resource_amounts need_on(const worker_session& worker,
                             const run_ref& run) const;
    void record_unknown_run(worker_session& worker, const run_ref& run,
                            time_point now);
    void report_second_runs(const worker_session& worker, const run_ref& run);
    void stop_unknown_run(const worker_session& worker, unknown_run& run,
                          time_point now);
    void on_unknown_stop_answer(const worker_incarnation& incarnation,
                                const std::string& key,
                                std::int64_t sent_reading_ms,
                                const order_answer& answer, time_point now);
    std::set<std::string> unknown_subtasks() const;
    bool must_wait(const live_run& run,
                   const std::set<std::string>& unknown) const;
    void log_wait(live_run& run) const;
    static bool is_overfull(const worker_session& worker);
    void retry_unknown_stops(worker_session& worker, time_point now);
    void release_unknown_run(worker_session& worker, const std::string& key,
                             const char* reason);
    void release_missing_runs(worker_session& worker,
                              const std::set<std::string>& seen,
                              time_point sent);
    void start_committed(time_point now);
    void check_gang_placements();
    void send_start(live_run& run, worker_session& worker, time_point now);
    void on_start_answer(const std::string& key, const order_answer& answer,
                         time_point now);
    void record_attempt_end(live_run& run, const order_answer& answer,
                            time_point now);
    void send_stop(live_run& run, time_point now);
    void on_stop_answer(const std::string& key, const order_answer& answer,
                        time_point now);
    using order_handler = void (worker_fleet::*)(const std::string&,
                                                 const order_answer&,
                                                 time_point);
    std::function<void(const order_answer&)>
    answer_handler(const std::string& key, order_handler handler);
    hold_order make_hold_order(const worker_session& worker) const;
    std::function<void(const hold_answer&)>
    list_handler(const worker_session& worker, bool is_hold, time_point sent);
    milliseconds hold_wait(const worker_session& worker, time_point now) const;
    void hold(worker_session& worker, time_point now);
    void request_lists(worker_session& worker, time_point now);
    void on_lists(const worker_incarnation& incarnation,
                  const hold_answer& answer, time_point sent,
                  std::uint64_t sent_end, bool is_hold, time_point now);
    void process_ended(worker_session& worker, const worker_lists& lists,
                       std::set<std::string>& seen);
    void propose_late_end(worker_session& worker, const listed_end& item);
    void on_end_applied(const ended_run& ended, time_point now);
    void stop_superseded(const run_ref& done, time_point now);
    void process_running(worker_session& worker, const worker_lists& lists,
                         std::set<std::string>& seen, time_point now);
    void end_missing(worker_session& worker, const std::set<std::string>& seen,
                     time_point sent, time_point now);
    void end_unstopped(worker_session& worker, const worker_lists& lists,
                       const std::set<std::string>& seen);
    void retry_stops(time_point now);
    void advance_worker(worker_session& worker, time_point now);
    void remove_silent(worker_session& worker, time_point now);
    void propose_removal(worker_session& worker, const char* reason, bool gone);
    bool is_displaced(const worker_session& worker) const;
    void remove_displaced(worker_session& worker, time_point now);
    void stop_all(const worker_session& worker, const char* reason,
                  time_point now);
    void finish_departures(time_point now);
    void begin_removal(worker_session& worker, time_point now);
    void end_proved_runs(const worker_session& worker, time_point now);
    void finish_removals(time_point now);
    void orphan_run(const std::string& key, time_point now);
    void move_orphans(worker_session& successor, time_point now);
    void end_orphans(time_point now);
    static bool needs_lists(const live_run& run, time_point now);
    bool needs_hold(const worker_session& worker, time_point now) const;
    bool may_confirm(const worker_session& worker) const;
    bool is_silent(const worker_session& worker, time_point now) const;
    void close_connections(const worker_record& record, time_point now);
    void end_incarnation(const worker_incarnation& incarnation,
                         const char* reason);
    void move_run(live_run& run, worker_session& successor, time_point now);
    void move_unproved_runs(const worker_incarnation& incarnation,
                            worker_session& successor, time_point now);
    void record_successor(worker_session& worker, time_point now);
    void record_owner(const worker_session& worker, time_point now);
    void occupy(worker_session& worker, const live_run& run);
    void end_expired(worker_session& worker, time_point now);
    void refresh_record(const worker_record& record, time_point now);
    static void record_start(const live_run& run, worker_session& worker,
                             time_point now);
    static std::vector<run_ref> crash_suspects(const worker_session& worker);
    void record_crash(worker_session& worker);
    void record_crash_behind(const worker_record& successor, time_point now);
    std::int64_t grant_lease(worker_session& worker, time_point now);
    std::int64_t grant_start_lease(live_run& run, worker_session& worker,
                                   time_point now);
    bool has_started_run(const worker_session& worker) const;
    milliseconds timeout_of_attempt(int attempt, time_point now) const;
    bool may_repeat_start(const live_run& run, const worker_session& worker,
                          time_point now) const;
    void record_order_answer(worker_session& worker,
                             std::int64_t sent_reading_ms,
                             const order_answer& answer, time_point now);
    void record_answer(worker_session& worker, time_point now);
    void record_missing_answer(worker_session& worker, worker_question question,
                               time_point now);
    void mark_unreachable(worker_session& worker);
    void abort_gang(const live_run& run, const char* reason, time_point now);

    const worker_fleet_options options_;
    const fleet_state& state_;
    worker_port& port_;
    proposer propose_;
    clock_reader clock_;
    const std::uint64_t epoch_;
    metrics& counters_;
    std::map<std::string, worker_session> workers_; // By worker id.
    std::map<std::string, live_run> runs_;          // By key.
    std::vector<std::string> newly_committed_;      // Keys of runs to start.
    // Ids of workers that `advance` updates without waiting for the next scan.
    std::set<std::string> due_workers_;
    std::set<std::string> stopping_; // Keys of runs with a requested stop.
    answer_counts answers_;          // Of all workers.
    // Open holds to workers that have not answered this leader yet.
    std::size_t open_confirmations_ = 0;
    std::vector<departure> departures_; // Those that are not ready.
    // Ids of removed workers that are kept until their runs have ended.
    std::set<std::string> removed_workers_;
    // Keys of runs whose worker was removed from the state under an earlier
    // leader, and when the leases of earlier leaders have expired.
    std::set<std::string> orphans_;
    time_point orphans_end_at_;
    // Ends that this leader proposed, by the key of the run, and the keys in
    // the order of the ends.
    std::map<std::string, ended_record> recent_ends_;
    std::deque<std::string> recent_end_keys_;
    std::map<std::string, address_owner> address_owners_; // By address.
    time_point scanned_at_; // Last scan of all workers.
    bool deposed_ = false;
    bool ended_before_start_ = false;
    // Callbacks hold a weak pointer to it, and do nothing when this object has
    // been destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet
