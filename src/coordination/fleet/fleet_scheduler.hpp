#pragma once

#include "base/metrics.hpp"
#include "coordination/fleet/backfill_limit.hpp"
#include "coordination/fleet/gang_hold.hpp"
#include "coordination/fleet/placement_choice.hpp"
#include "coordination/fleet/policy_tickets.hpp"
#include "coordination/fleet/urgent_headroom.hpp"
#include "coordination/fleet/victim_choice.hpp"
#include "coordination/fleet/worker_fleet.hpp"
#include "protocol/external_protocol.hpp"
#include "state/fleet_state.hpp"
#include "state/index_set.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace limpetstack::fleet
{

/// Settings of the deployment that placement depends on.
struct fleet_scheduler_options
{
    /// Time limit for starts inside a guarantee.
    milliseconds reclaim_limit{2900};
    /// Time for which an ended job can still be queried.
    milliseconds ended_job_retention{130000};
    /// Runs that may be live at the same time.
    std::size_t max_live_runs = std::numeric_limits<std::size_t>::max() / 8;
};

/// Returns the delay of the step's start, in milliseconds, with which its job
/// still meets the queue's objective, from stretch, estimate and allowance.
double allowed_delay_ms(const queue_config& queue, const step_spec& step);

/// Decides on the leader which run goes to which worker. It holds the steps
/// that are ready to run, places them in order of urgency, and preempts less
/// urgent runs where a guarantee or an urgent step needs their capacity. It
/// must be used from one thread only.
class fleet_scheduler
{
public:
    using proposer = std::function<void(fleet_command)>;

    fleet_scheduler(const fleet_scheduler_options& options,
                    const fleet_state& state, worker_fleet& workers,
                    policy_port& policy,
                    const policy_tickets::clock_reader& clock, proposer propose,
                    metrics& counters);

    /// Sets the document in force. `document` must stay valid until the next
    /// call or the end of this object.
    void use_document(const fleet_document& document);

    /// Updates the scheduler after a command was applied to the replicated
    /// state. It must be called after `worker_fleet::on_applied`.
    void on_applied(const fleet_command& command, apply_result result,
                    time_point now);

    /// Places all pending steps that fit. `wall_ms` is the wall-clock time in
    /// milliseconds since the Unix epoch.
    void run_round(time_point now, std::int64_t wall_ms);

    /// Returns the configuration of the job's queue from the document in force.
    /// When the document has no such queue, it returns the values that were
    /// stored when the job was accepted.
    queue_config queue_of(const job_state& job) const;

    /// Returns the number of steps that are ready and not completely placed.
    std::size_t pending_steps() const { return pending_.size(); }

    /// Returns the number of subtasks whose failures are recorded.
    std::size_t failed_subtasks() const { return failed_workers_.size(); }

private:
    // Wait of a step before its first log line; an urgent step is logged after
    // half of the reclaim limit. Each further line follows after twice the
    // wait, but at most after the longest interval.
    static constexpr milliseconds first_wait_log{2000};
    static constexpr milliseconds max_wait_log_interval{4000};

    // Preferences for certain workers or racks, and capacity that is kept for
    // urgent work, delay a step for at most this time while less than half of
    // the service is in use.
    static constexpr milliseconds preference_wait_limit{1500};

    // Why the last attempt to place a step did not place all its subtasks.
    enum class placement_obstacle
    {
        not_tried, // No round has reached the step yet.
        crashes,   // Workers crash too often for a start to tell the cause.
        headroom,  // The free capacity is reserved for urgent work.
        backfill,  // It is reserved for waiting work of other queues.
        capacity,  // No choice of workers has enough free capacity.
        run_limit, // Too many runs are live, of its account or of all.
        policy     // The queue's policy has not allowed enough workers.
    };

    // The result of the last attempt to preempt runs for a step.
    enum class preemption_plan
    {
        not_tried,  // The step is not urgent, or was not reached.
        none_found, // No runs that may be stopped free enough capacity.
        made        // Runs were stopped for the step.
    };

    // What the accelerators of a service's workers are used for. Runs that are
    // being stopped count as stopping only.
    struct accelerator_use
    {
        std::int64_t lasting = 0;
        std::int64_t urgent_guaranteed = 0; // Of accounts in their guarantee.
        std::int64_t urgent_other = 0;
        std::int64_t lower = 0;
        std::int64_t stopping = 0;
        // The part of `lower` by priority.
        std::map<std::int64_t, std::int64_t> by_priority;
    };

    // A step that is ready to run, with its subtasks that are not placed yet.
    struct pending_step
    {
        std::string job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        const step_spec* spec = nullptr;
        index_set indices;
        // Those of the indices under which a worker has crashed.
        index_set suspects;
        // Those of the suspects under which that happened repeatedly.
        index_set repeated_suspects;
        // Since when losses of workers have been rare enough for their start.
        std::optional<time_point> calm_since;
        // Addresses of the workers that crashed under the suspects.
        std::set<std::string> crashed_addresses;
        std::string account;
        queue_config queue;
        std::uint64_t order = 0; // Order of acceptance of the job.
        time_point since;        // When the step became ready.
        placement_obstacle obstacle = placement_obstacle::not_tried;
        preemption_plan last_plan = preemption_plan::not_tried;
        std::uint32_t plans = 0;  // Preemptions made for the step.
        time_point next_wait_log; // When the next log line on its wait is due.
        time_point tried_at;      // The last attempt to place it.
        time_point no_hold_until; // No workers are held for it before.
        // Accelerators that less urgent work of the service had been given
        // when the step became ready.
        std::int64_t given_to_less_urgent = 0;
        bool all_or_nothing() const { return spec->gang(); }
    };
    using pending_step_key =
        std::tuple<std::string, std::uint32_t, std::uint32_t>;

    using pending_step_map = std::map<pending_step_key, pending_step>;

    // Job, occurrence, step and index of a subtask.
    using subtask_id =
        std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>;

    // The wait of a step that was placed completely. It goes on when a start
    // fails, so that the step does not wait for its preferences again.
    struct placed_step
    {
        time_point since; // When the step became ready.
        bool start_failed = false;
    };

    // Capacity that is reserved for a pending step while runs are being stopped
    // for it.
    struct reservation
    {
        std::map<std::string, resource_amounts>
            reserved_by_worker; // By worker id.
        time_point until;
        // Reserves capacity outside the preferred rack, or in several racks for
        // a gang that prefers one.
        bool other_racks = false;
        bool last_resort = false; // Reserves capacity on avoided workers.
    };

    // Total and free capacity of the usable workers of a service, and the parts
    // of the free capacity that are reserved. `installed` and `used` also count
    // present workers that get no placements now.
    struct service_capacity
    {
        resource_amounts total;
        resource_amounts free;
        resource_amounts installed;
        resource_amounts used;
        urgent_headroom headroom;
        backfill_limit backfill;
        // Accelerators of all runs that were placed, by priority.
        std::map<std::int64_t, std::int64_t> given;
    };

    // Why a job can not be done.
    struct job_failure
    {
        const char* cause = "";
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        // The subtask that crashes its workers, and the crashes.
        std::optional<std::uint32_t> subtask;
        std::string crashes;
    };

    void refresh_jobs(time_point now, std::int64_t wall_ms);
    void refresh_job(const job_state& job, time_point now,
                     std::int64_t wall_ms);
    void refresh_step(const job_state& job, std::uint32_t occurrence,
                      std::uint32_t step, const step_state* state,
                      const queue_config& queue, time_point now);
    index_set pending_indices(const pending_step_key& key,
                              const step_spec& spec,
                              const step_state* state) const;
    void drop_ended_occurrences(const job_state& job);
    static std::optional<job_failure> failure_of(const job_state& job,
                                                 const queue_config& queue);
    static std::string reason_of(const job_failure& failure);
    static void refresh_suspects(pending_step& item, const step_state* state);
    index_set startable_indices(const pending_step& item, time_point now) const;
    time_point ready_since(const pending_step_key& key, time_point now);
    void drop_pending(const std::string& job);
    void close_job(const job_state& job, std::int64_t wall_ms);
    std::vector<pending_step_map::iterator> ranked_by_urgency();
    bool within_guarantee(const std::string& account) const;
    int urgency(const pending_step& item) const;
    placement_request request_for(const pending_step& item,
                                  time_point now) const;
    void refresh_candidates(time_point now);
    bool is_cold(const worker_session& worker, time_point now) const;
    bool is_rack_evacuated(const std::string& rack) const;
    bool would_fit_with_evacuated(const placement_request& request) const;
    void refresh_backfill_limits();
    void reserve_for_gang(const pending_step& item, time_point now);
    // Chooses the gang of each service for which workers are held.
    void refresh_gang_holds(time_point now);
    bool hold_workers(pending_step& item, gang_hold& current, time_point now);
    bool may_hold_workers(const pending_step& item, time_point now);
    static bool is_for(const gang_hold& hold, const pending_step& item);
    bool holds_workers(const pending_step& item) const;
    void add_held_capacity(const std::string& service, const gang_hold& hold);
    bool is_kept_off_held_workers(const pending_step& item) const;
    void release_hold(const pending_step& item);
    bool could_fit(const placement_request& request) const;
    service_capacity& capacity_of(const std::string& service);
    // Returns the accelerators that work of the queue's service which is less
    // urgent than the queue has been given since this leader began.
    std::int64_t given_to_less_urgent(const queue_config& queue);
    void change_free(placement_candidate& candidate,
                     const resource_amounts& change);
    void update_reserved(const reservation& item, int sign);
    void reserve(const pending_step_key& key, reservation item);
    void unreserve(const pending_step_key& key);
    bool is_usable(const reservation& item);
    void use_reservation(const pending_step_key& key,
                         const std::vector<std::string>& workers,
                         const resource_amounts& need);
    std::vector<placement_candidate>
    candidates_for(const pending_step_key& key, const pending_step& item,
                   const placement_request& request) const;
    void ask_policy(const pending_step_key& key, const pending_step& item,
                    placement_request request, time_point now);
    bool try_step(pending_step_map::iterator at, time_point now);
    bool limit_to_reserves(pending_step& item, placement_request& request);
    bool place(const pending_step_key& key, pending_step& item, time_point now);
    void place_suspects(const pending_step_key& key, pending_step& item,
                        const index_set& suspects, placement_request request,
                        time_point now);
    void place_subtasks(const pending_step_key& key, pending_step& item,
                        const index_set& indices, placement_request request,
                        time_point now);
    void begin_trials(const std::vector<std::string>& workers, time_point now);
    void commit(pending_step& item, const index_set& indices,
                const placement_request& request,
                const std::vector<placement_candidate>& candidates,
                const std::vector<std::size_t>& chosen, time_point now);
    bool exceeds_service(const pending_step& item);
    static job_holder holder_of(const pending_step& item);
    std::size_t allowed_runs(const pending_step& item, std::size_t count);
    void count_runs_by_holder();
    const ticket_policy* policy_of(const job_state& job) const;
    static policy_tickets::step_key step_of(const run_ref& run);
    std::optional<std::string> ticket_of(const placed_run& run,
                                         time_point now) const;
    void renew_tickets(const std::vector<placed_run>& runs, time_point now);
    std::int64_t priority_of(const job_state& job) const;
    bool fits_in_one_rack(const placement_request& request) const;
    bool may_use_last_resort(const pending_step& item,
                             const placement_request& request,
                             time_point now) const;
    bool has_live_run(const std::string& job) const;
    bool fits_twice(const placement_request& request, time_point now) const;
    bool preferences_expired(const pending_step& item,
                             const placement_request& request,
                             time_point now) const;
    std::optional<double> stop_cost_factor(const live_run& run,
                                           const pending_step& item,
                                           bool displace_guaranteed) const;
    std::optional<victim_plan> find_victims(const pending_step_key& key,
                                            const pending_step& item,
                                            const placement_request& request,
                                            bool displace_guaranteed,
                                            time_point now) const;
    void reclaim(const pending_step_key& key, pending_step& item,
                 time_point now);
    void stop_stalled_runs(time_point now);
    void stop_stalled_run(const live_run& run, time_point now);
    void move_stopped_fillers(time_point now);
    bool fits_elsewhere(const live_run& run, time_point now) const;
    static subtask_id id_of(const run_ref& run);
    void record_end(const ended_run& ended, time_point now);
    void forget_failures(const std::string& job);
    // Sets the gauges of waiting steps and logs the steps that wait long.
    void report_waits(time_point now);
    void log_wait(const pending_step& item, const accelerator_use& use,
                  time_point now);
    std::map<std::string, accelerator_use> use_by_service() const;
    milliseconds wait_before_log(const queue_config& queue) const;
    std::map<std::string, std::int64_t> urgent_use() const;

    const fleet_scheduler_options options_;
    const fleet_state& state_;
    worker_fleet& workers_;
    proposer propose_;
    metrics& counters_;
    const fleet_document* document_ = nullptr;
    std::map<std::string, const queue_config*> queues_;
    // Guaranteed accelerators by account.
    std::map<std::string, std::int64_t> guarantees_;
    pending_step_map pending_;
    std::map<pending_step_key, placed_step> placed_;
    // Jobs whose pending steps must be recomputed.
    std::set<std::string> jobs_to_refresh_;
    // Jobs of priority 0 that are not done yet.
    std::set<std::string> open_urgent_;
    // Jobs whose fail, finish or forget command is proposed but not applied
    // yet.
    std::set<std::string> closing_;
    // Wall-clock time in ms of the next occurrence, by job.
    std::map<std::string, std::int64_t> due_times_;
    // When this leader learned that the job had ended. Its record is dropped
    // after the retention.
    std::map<std::string, time_point> ended_;
    std::map<pending_step_key, reservation> reservations_;
    // Sum of all reservations by worker.
    std::map<std::string, resource_amounts> reserved_;
    // Usable workers in this round, and avoided ones as candidates of last
    // resort, sorted by id.
    std::vector<placement_candidate> candidates_;
    std::map<std::string, service_capacity> services_; // Keyed by service name.
    // Needs of lasting runs by worker, in this round.
    amounts_by_worker lasting_use_;
    std::map<std::string, gang_hold> gang_holds_; // Keyed by service name.
    policy_tickets tickets_;
    std::size_t placements_left_ = 0; // In this round.
    // Live runs by holder; counted in a round when it needs them.
    std::optional<std::map<job_holder, std::size_t>> runs_by_holder_;
    // In this round: few workers have been lost lately.
    bool losses_rare_ = false;
    // Request shapes that did not fit in this round.
    std::set<std::string> unplaceable_shapes_;
    // Accelerators needed by open jobs of priority 0, by account.
    std::map<std::string, std::int64_t> urgent_accelerators_;
    // Data centres whose evacuation ended under this leader.
    std::set<std::string> returned_data_centres_;
    // Workers on which a subtask has failed.
    std::map<subtask_id, std::set<std::string>> failed_workers_;
    struct failure_history
    {
        std::set<std::string> failed_jobs; // Since the last success or pause.
        int pauses = 0;                    // Since the last success.
    };
    std::map<std::string, failure_history> failure_histories_; // By worker.
    bool changed_ = true; // Something changed since the last round.
    time_point last_round_;
    time_point next_filler_move_;
    std::map<std::string, milliseconds> longest_waits_; // By queue.
    time_point next_wait_report_;
};

} // namespace limpetstack::fleet
