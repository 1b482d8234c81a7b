#pragma once

#include "base/metrics.hpp"
#include "coordination/fleet/placement_choice.hpp"
#include "coordination/fleet/policy_tickets.hpp"
#include "coordination/fleet/urgent_headroom.hpp"
#include "coordination/fleet/worker_fleet.hpp"
#include "protocol/external_protocol.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace limpetstack::fleet
{

/// Factors of the deployment that placement depends on.
struct fleet_scheduler_options
{
    milliseconds reclaim{2900};      // Bound for starts inside a guarantee.
    milliseconds keep_ended{130000}; // How long an ended job can be asked for.
};

/// Decides on the leader what runs where: keeps the steps whose turn has come,
/// places them by urgency, and stops less urgent runs where a guarantee or an
/// urgent step needs their room. For one thread.
class fleet_scheduler
{
public:
    using proposer = std::function<void(fleet_command)>;

    fleet_scheduler(const fleet_scheduler_options& options,
                    const fleet_state& state, worker_fleet& workers,
                    policy_port& policy, policy_tickets::clock_reader clock,
                    proposer propose, metrics& counters);

    /// Takes the document in force; `document` must outlive its use.
    void use_document(const fleet_document& document);

    /// Follows a command that was applied to the replicated state, after
    /// `worker_fleet::on_applied`.
    void on_applied(const fleet_command& command, apply_result result,
                    time_point now);

    /// Places what can be placed. `wall_ms` is the time of day.
    void run_round(time_point now, std::int64_t wall_ms);

    /// Returns the queue of a job in the document in force, or its values when
    /// the job was accepted.
    queue_config queue_of(const job_state& job) const;

    std::size_t pending_steps() const { return demands_.size(); }

    /// Returns the subtasks whose failures are remembered.
    std::size_t failed_subtasks() const { return failed_on_.size(); }

private:
    // A step whose turn has come, with the subtasks that wait.
    struct demand
    {
        std::string job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        const step_spec* spec = nullptr;
        std::vector<std::uint32_t> indices;
        std::string account;
        queue_config queue;
        std::uint64_t order = 0;
        time_point since;
        bool whole() const { return spec->gang(); }
    };
    using demand_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

    using demand_map = std::map<demand_key, demand>;

    // Room that is kept for a demand while runs are being stopped for it.
    struct reservation
    {
        std::map<std::string, resource_amounts> rooms; // By worker.
        time_point until;
    };

    // What is free on the usable workers of a service, and what of it other
    // work leaves to urgent work.
    struct service_room
    {
        resource_amounts free;
        urgent_headroom headroom;
    };

    void refresh_jobs(time_point now, std::int64_t wall_ms);
    void refresh_job(const job_state& job, time_point now,
                     std::int64_t wall_ms);
    void refresh_step(const job_state& job, std::uint32_t occurrence,
                      std::uint32_t step, const step_state* state,
                      const queue_config& queue, time_point now);
    bool is_exhausted(const job_state& job, const queue_config& queue) const;
    void drop_demands(const std::string& job);
    void stop_job(const std::string& job, const char* reason, time_point now);
    void close_job(const job_state& job, std::int64_t wall_ms);
    std::vector<demand_map::iterator> ranked();
    int urgency(const demand& item) const;
    placement_request request_for(const demand& item, time_point now) const;
    void survey_rooms(time_point now);
    service_room& room_of(const std::string& service);
    void change_room(worker_room& room, const resource_amounts& change);
    void count_reserved(const reservation& kept, int sign);
    void reserve(const demand_key& key, reservation kept);
    void unreserve(const demand_key& key);
    std::vector<worker_room> rooms_for(const demand_key& key,
                                       const demand& item) const;
    void ask_policy(const demand_key& key, const demand& item,
                    placement_request request, time_point now);
    bool place(const demand_key& key, demand& item, time_point now);
    void commit(demand& item, const placement_request& request,
                const std::vector<worker_room>& rooms,
                const std::vector<std::size_t>& chosen, time_point now);
    std::int64_t priority_of(const job_state& job) const;
    void reclaim(const demand_key& key, const demand& item, time_point now);
    void watch_progress(time_point now);
    void note_end(const ended_run& ended, time_point now);
    void forget_failures(const std::string& job);
    std::map<std::string, std::int64_t> urgent_use() const;

    const fleet_scheduler_options options_;
    const fleet_state& state_;
    worker_fleet& workers_;
    proposer propose_;
    metrics& counters_;
    const fleet_document* document_ = nullptr;
    std::map<std::string, const queue_config*> queues_;
    std::map<std::string, std::int64_t> guarantees_; // Accelerators by account.
    demand_map demands_;
    std::set<std::string> dirty_;       // Jobs whose demands must be refreshed.
    std::set<std::string> open_urgent_; // Jobs of priority 0 not yet done.
    std::set<std::string> closing_;     // Jobs with a proposal that ends them.
    std::map<std::string, std::int64_t> timed_; // Jobs and their next due time.
    std::map<std::string, std::int64_t> ended_; // Jobs to be forgotten later.
    std::map<demand_key, reservation> reservations_;
    std::map<std::string, resource_amounts>
        reserved_;                   // By worker, of all demands.
    std::vector<worker_room> rooms_; // Usable workers in this round.
    std::map<std::string, service_room> services_; // By name.
    policy_tickets tickets_;
    std::set<std::string> misses_; // Shapes that found no room in this round.
    std::map<std::string, std::int64_t> urgent_accelerators_; // By account.
    // Workers on which a subtask has failed, by its name.
    std::map<std::string, std::set<std::string>> failed_on_;
    struct worker_record_of_ends
    {
        std::set<std::string> failed_jobs; // Since the last success.
        int pauses = 0;
    };
    std::map<std::string, worker_record_of_ends> ends_of_worker_;
    bool changed_ = true;
    time_point last_round_;
};

} // namespace limpetstack::fleet
