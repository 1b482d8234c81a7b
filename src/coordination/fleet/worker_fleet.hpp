#pragma once

#include "base/clock.hpp"
#include "base/metrics.hpp"
#include "coordination/fleet/answer_loss.hpp"
#include "coordination/fleet/filler_pace.hpp"
#include "coordination/fleet/live_run.hpp"
#include "coordination/fleet/resource_amounts.hpp"
#include "coordination/fleet/run_tickets.hpp"
#include "coordination/fleet/step_run_times.hpp"
#include "coordination/fleet/worker_availability.hpp"
#include "coordination/fleet/worker_port.hpp"
#include "coordination/fleet/worker_session.hpp"
#include "coordination/fleet/worker_speed.hpp"
#include "state/fleet_state.hpp"

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
    pace_limits pace;
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

/// Tracks workers and their runs on the leader: it grants leases, sends orders,
/// processes the lists of workers and ends the runs of expired leases.
/// Everything that a later leader must know is committed to the replicated
/// state before it has an effect outside. Not thread-safe.
class worker_fleet
{
public:
    using proposer = std::function<void(fleet_command)>;
    using clock_reader = std::function<time_point()>;
    using wall_clock_reader = std::function<std::int64_t()>; // Unix time in ms.
    using departure_handler = std::function<void(bool leading)>;

    worker_fleet(const worker_fleet_options& options, const fleet_state& state,
                 worker_port& port, proposer propose, clock_reader clock,
                 wall_clock_reader wall_ms, std::uint64_t epoch,
                 metrics& counters);

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

    /// Sets where starts get the tickets of queues with a policy.
    void use_tickets(run_tickets tickets);

    /// Sends the starts that have waited for tickets, which have just arrived.
    void on_tickets(time_point now);

    /// Proposes a placement; the run starts once the placement is committed and
    /// its queue's policy has given it a ticket.
    void place(const run_ref& run, const worker_session& worker,
               const step_spec& step, std::int64_t priority, time_point now);

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

    /// Returns the number of runs in evacuated data centres that have not
    /// ended.
    std::size_t evacuated_runs() const;

    /// Returns true when the worker's data centre is evacuated: nothing is
    /// started there, and what runs goes on.
    bool is_evacuated(const worker_session& worker) const;

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

    /// Returns true when this leader knows from the worker itself that it is up
    /// and not about to leave: it has answered, and it has reported or had the
    /// time for it. While no host leads, a worker may leave without being
    /// heard, and it goes on answering until it ends.
    bool is_verified(const worker_session& worker, time_point now) const;

    /// Returns true when no start was sent to the worker a short time ago and
    /// none is due: a run that starts now is the only one that a crash can be
    /// put down to.
    bool is_quiet(const worker_session& worker, time_point now) const;

    /// Returns true when the worker has been known for some time: a crash is
    /// then not the repetition of an earlier one.
    static bool is_steady(const worker_session& worker, time_point now);

    /// Returns true when the worker takes no fillers, because one that could
    /// not be paced has harmed the serving runs there.
    static bool refuses_fillers(const worker_session& worker, time_point now);

    /// Returns true when so few workers were lost near that time, for causes
    /// other than a run that they had just started, that the crash of another
    /// one is evidence against such a run.
    bool are_losses_rare(time_point at) const;

    /// Returns the speed classes of the workers, at most a second old.
    const speed_classes& refreshed_speed_classes(time_point now);

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
    void adopt_runs(const std::string& job, std::uint32_t occurrence,
                    std::uint32_t step, const step_state& state,
                    time_point now);
    live_run& add_run(const run_ref& run, const worker_incarnation& incarnation,
                      run_phase phase, time_point now);
    void remove_run(const std::string& key);
    worker_session* session_of(const worker_incarnation& incarnation);
    void propose_end(live_run& run, run_end end, const std::string& checkpoint,
                     const char* reason);
    void log_evacuation(const evacuation& change, apply_result result) const;
    void log_end(const live_run& run, run_end end, const char* reason,
                 time_point now);
    const step_spec* find_spec(const run_ref& run) const;
    resource_amounts need_on(const worker_session& worker,
                             const run_ref& run) const;
    void record_unknown_run(worker_session& worker, const run_ref& run,
                            time_point sent, time_point now);
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
    void log_wait(live_run& run, const char* reason) const;
    static bool is_overfull(const worker_session& worker);
    void retry_unknown_stops(worker_session& worker, time_point now);
    void release_unknown_run(worker_session& worker, const std::string& key,
                             const char* reason);
    void release_missing_runs(worker_session& worker,
                              const std::set<std::string>& seen,
                              time_point sent);
    void start_committed(time_point now);
    bool is_gang_complete(const live_run& run) const;
    void check_gang_placements(time_point now);
    std::optional<std::string> ticket_for_start(const live_run& run,
                                                time_point now) const;
    void wait_for_ticket(live_run& run, std::vector<placed_run>& without_ticket,
                         time_point now);
    void send_start(live_run& run, worker_session& worker,
                    const std::string& ticket, time_point now);
    bool may_renew_ticket(live_run& run, time_point now);
    void repeat_start(live_run& run, worker_session& worker, time_point now);
    static void pause_starts(worker_session& worker, time_point now);
    void give_up_start(const std::string& key, worker_session& worker,
                       time_point now);
    void resume_starts(time_point now);
    void on_start_answer(const std::string& key, std::int64_t sent_reading_ms,
                         const order_answer& answer, time_point now);
    void record_attempt_end(live_run& run, const order_answer& answer,
                            time_point now);
    void send_stop(live_run& run, time_point now);
    void on_stop_answer(const std::string& key, std::int64_t sent_reading_ms,
                        const order_answer& answer, time_point now);
    using order_handler = void (worker_fleet::*)(const std::string&,
                                                 std::int64_t,
                                                 const order_answer&,
                                                 time_point);
    std::function<void(const order_answer&)>
    answer_handler(const std::string& key, const worker_session& worker,
                   order_handler handler);
    static bool is_paceable(const live_run& run);
    void sample_tails(worker_session& worker, time_point sent, time_point now);
    void set_pace(worker_session& worker, const filler_pace& pace,
                  std::optional<double> load);
    void advance_pace(worker_session& worker, time_point now);
    void send_pace(live_run& run, const worker_session& worker, time_point now);
    void on_pace_answer(const std::string& key, std::int64_t sent_reading_ms,
                        const order_answer& answer, time_point now);
    void stop_unpaced(worker_session& worker,
                      const std::vector<std::string>& keys, time_point now);
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
                       std::set<std::string>& seen, time_point now);
    void propose_late_end(worker_session& worker, const listed_end& item);
    void on_end_applied(const ended_run& ended, time_point now);
    bool is_superseded(const live_run& run) const;
    bool is_gang_broken(const live_run& run) const;
    const char* obsolete_reason(const live_run& run) const;
    void stop_obsolete_runs(const std::string& prefix, time_point now);
    void process_running(worker_session& worker, const worker_lists& lists,
                         std::set<std::string>& seen, time_point sent,
                         time_point now);
    void sample_progress(live_run& run, int percent, bool start_seen,
                         time_point now);
    void observe_end(live_run& run, time_point now);
    void observe_single(live_run& run, double time_ms, time_point now);
    void observe_gang(live_run& run, bool ended, time_point now);
    void record_speeds(const std::vector<step_run>& runs,
                       const std::vector<bool>& upper_bounds, std::size_t first,
                       time_point now);
    void log_slowest(const run_ref& ref, const std::vector<step_run>& runs,
                     time_point now) const;
    bool is_stop_over(time_point acknowledged_at, time_point sent) const;
    void repeat_stop(live_run& run, time_point now);
    void end_missing(worker_session& worker, const std::set<std::string>& seen,
                     time_point sent, time_point now);
    void end_unstopped(worker_session& worker, const worker_lists& lists,
                       const std::set<std::string>& seen, time_point now);
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
    void end_runs(const std::set<std::string>& keys,
                  const worker_incarnation& incarnation, const char* reason);
    void move_run(live_run& run, worker_session& successor, time_point now);
    void stop_at_successor(live_run& run, worker_session& successor,
                           time_point now);
    void move_unproved_runs(const std::set<std::string>& keys,
                            worker_session& successor, time_point now);
    void record_successor(worker_session& worker, time_point now);
    void record_owner(const worker_session& worker, time_point now);
    void occupy(worker_session& worker, const live_run& run);
    void end_expired(worker_session& worker, time_point now);
    void refresh_record(const worker_record& record, time_point now);
    static void record_start(const live_run& run, worker_session& worker,
                             time_point now);
    std::vector<run_ref> crash_suspects(const worker_session& worker) const;
    static time_point last_sign_of_life(const worker_session& worker);
    bool was_accepted(const run_ref& run) const;
    crash_cause cause_of_crash(const worker_session& worker,
                               const std::vector<run_ref>& suspects,
                               bool losses_rare) const;
    void log_crash(const worker_session& worker,
                   const std::vector<run_ref>& suspects, crash_cause cause,
                   bool losses_rare, milliseconds since_loss) const;
    std::optional<time_point>
    unexplained_loss(const worker_session& worker) const;
    void record_unexplained_loss(time_point lost_at, time_point now);
    void on_crash_applied(const worker_crash& crash);
    void record_survival(live_run& run, std::int64_t worker_time_ms);
    void record_crash(worker_session& worker, time_point now);
    void record_crash_behind(const worker_record& successor, time_point now);
    std::int64_t grant_lease(worker_session& worker, time_point now);
    milliseconds start_lease(bool has_started_run, time_point now) const;
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
    void mark_unreachable(worker_session& worker, time_point now);
    void abort_gang(const live_run& run, const char* reason, time_point now);

    const worker_fleet_options options_;
    const fleet_state& state_;
    worker_port& port_;
    proposer propose_;
    clock_reader clock_;
    wall_clock_reader wall_ms_;
    const std::uint64_t epoch_;
    metrics& counters_;
    const time_point began_at_;                     // When this leader began.
    std::map<std::string, worker_session> workers_; // By worker id.
    std::map<std::string, live_run> runs_;          // By key.
    std::vector<std::string> newly_committed_;      // Keys of runs to start.
    run_tickets tickets_;
    // Keys of runs whose start waits for the end of an unknown run, or for a
    // ticket.
    std::vector<std::string> waiting_starts_;
    // Keys of runs whose unanswered start is to be sent again with a new
    // ticket.
    std::set<std::string> repeats_without_ticket_;
    // Ids of workers that `advance` updates without waiting for the next scan.
    std::set<std::string> due_workers_;
    std::set<std::string> stopping_; // Keys of runs with a requested stop.
    answer_counts answers_;          // Of all workers.
    // Open holds to workers that have not answered this leader yet.
    std::size_t open_confirmations_ = 0;
    // Ids of workers that may have unknown runs.
    std::set<std::string> workers_with_unknown_runs_;
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
    // Recent losses of workers on which no run had just started.
    std::deque<time_point> unexplained_losses_;
    step_run_times step_times_;
    speed_classes speed_classes_;
    time_point speeds_classified_at_;
    time_point scanned_at_; // Last scan of all workers.
    bool deposed_ = false;
    bool checked_adopted_runs_ = false;
    bool ended_before_start_ = false;
    // Callbacks hold a weak pointer to it, and do nothing when this object has
    // been destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet
