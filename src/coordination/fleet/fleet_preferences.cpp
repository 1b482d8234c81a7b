// Computes which workers the placement of a step may use: preferences for racks
// and against avoided workers, and when they end.
#include "coordination/fleet/fleet_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <string>

namespace limpetstack::fleet
{
namespace
{

// An urgent step (priority 0) waits for its preferred rack for at most this
// share of the reclaim limit; then it may start on other racks, and inside its
// account's guarantee on avoided workers.
constexpr double reclaim_wait_share = 0.35;

// A step waits for its preferred rack for at most this share of the delay that
// its queue allows (from stretch, estimate and allowance).
constexpr double local_wait_share = 0.8;

// A gang that one rack could hold waits this many times as long before it
// starts across racks, where it occupies its workers several times as long.
constexpr double one_rack_wait_factor = 3;

// Returns true when less than half of the capacity is in use, by processor and
// accelerators together or by accelerators alone.
bool under_half_in_use(const resource_amounts& used,
                       const resource_amounts& capacity)
{
    return 2 * weight_in_cores(used) < weight_in_cores(capacity) ||
           2 * used.accelerators < capacity.accelerators;
}

} // namespace

// Returns true when the present workers, whether they get placements now or
// not, have free capacity for two gangs or two subtasks.
bool fleet_scheduler::fits_twice(const placement_request& request,
                                 time_point now) const
{
    auto doubled = request;
    doubled.count = request.all_or_nothing ? 2 * request.count : 2;
    doubled.max_per_worker = 0;
    doubled.allowed.reset();
    std::uint32_t slots = 0;
    const auto& workers = workers_.workers();
    return std::any_of(workers.begin(), workers.end(),
                       [&](const auto& item)
                       {
                           const auto& worker = item.second;
                           const placement_candidate candidate{
                               &worker,
                               worker.capacity - worker.used,
                               0,
                               worker.filler_runs > 0,
                               worker.serving_runs > 0,
                               worker_fleet::refuses_fillers(worker, now)};
                           if (workers_.is_present(worker, now) &&
                               !workers_.is_evacuated(worker) &&
                               is_eligible(candidate, doubled))
                           {
                               slots += count_fitting(candidate, candidate.free,
                                                      doubled);
                           }
                           return slots >= doubled.count;
                       });
}

// Returns true when a run of the job is or may be present on a worker.
bool fleet_scheduler::has_live_run(const std::string& job) const
{
    const auto prefix = job + ".";
    const auto first = workers_.runs().lower_bound(prefix);
    return first != workers_.runs().end() &&
           first->first.compare(0, prefix.size(), prefix) == 0;
}

// Returns true when the step may start on avoided workers if no others fit it:
// its job would have nothing at work on a service with free capacity, or it is
// inside its account's guarantee, which holds however full the service is. For
// an urgent step, runs on other workers are preempted first.
bool fleet_scheduler::may_use_last_resort(const pending_step& item,
                                          const placement_request& request,
                                          time_point now) const
{
    if (item.queue.priority == 0 &&
        item.last_plan != preemption_plan::none_found)
    {
        return false;
    }
    if (request.preferences_expired &&
        (item.spec->lasting() || !has_live_run(item.job)))
    {
        return true;
    }
    return urgency(item) == 0 &&
           static_cast<double>((now - item.since).count()) >=
               reclaim_wait_share *
                   static_cast<double>(options_.reclaim_limit.count());
}

// Returns true when the step may start on any worker that fits it, because it
// has waited for long enough on a service with capacity for it. Lasting steps
// have to run however full the service is.
bool fleet_scheduler::preferences_expired(const pending_step& item,
                                          const placement_request& request,
                                          time_point now) const
{
    if (now - item.since < preference_wait_limit)
    {
        return false;
    }
    const auto service = services_.find(request.service);
    return service != services_.end() &&
           (item.spec->lasting() ||
            under_half_in_use(service->second.used,
                              service->second.installed)) &&
           fits_twice(request, now);
}

placement_request fleet_scheduler::request_for(const pending_step& item,
                                               time_point now) const
{
    const auto& spec = *item.spec;
    placement_request request;
    request.count =
        static_cast<std::uint32_t>(startable_indices(item, now).size());
    request.crashed_addresses = item.crashed_addresses;
    request.need = counted_need(spec);
    request.all_or_nothing = spec.gang();
    request.verified_only = spec.gang();
    request.same_rack = spec.same_rack() && spec.gang();
    request.service = item.queue.service;
    request.required_label = spec.required_label();
    request.preferred_rack = spec.preferred_rack();
    request.max_per_worker = spec.max_per_worker();
    request.filler = spec.filler();
    request.serves_users = spec.tail_latency_ms() > 0;
    auto wait_limit = local_wait_share * allowed_delay_ms(item.queue, spec);
    if (item.queue.priority == 0)
    {
        wait_limit =
            std::min(wait_limit,
                     reclaim_wait_share *
                         static_cast<double>(options_.reclaim_limit.count()));
    }
    const auto waited = static_cast<double>((now - item.since).count());
    request.other_racks_allowed = waited >= wait_limit;
    if (request.other_racks_allowed && item.queue.priority > 0 &&
        request.same_rack && request.preferred_rack.empty() &&
        waited < one_rack_wait_factor * wait_limit)
    {
        request.other_racks_allowed = !fits_in_one_rack(request);
    }
    request.urgent = item.queue.priority == 0;
    const auto time_left = allowed_delay_ms(item.queue, spec) +
                           static_cast<double>(spec.estimate_ms()) - waited;
    request.slowest_speed =
        time_left > 0 ? static_cast<double>(spec.estimate_ms()) / time_left
                      : std::numeric_limits<double>::infinity();
    request.preferences_expired = preferences_expired(item, request, now);
    request.other_racks_allowed = request.other_racks_allowed ||
                                  request.preferences_expired ||
                                  is_rack_evacuated(request.preferred_rack);
    request.held_workers_allowed =
        !is_kept_off_held_workers(item) ||
        (request.preferences_expired && !has_live_run(item.job));
    if (item.queue.policy)
    {
        request.allowed.emplace();
        for (const auto& candidate : candidates_)
        {
            const auto& record = candidate.worker->record;
            if (tickets_.may_place({item.job, item.occurrence, item.step},
                                   {record.id(), record.born_ms()}, now))
            {
                request.allowed->insert(record.id());
            }
        }
    }
    for (auto at = failed_workers_.lower_bound(
             {item.job, item.occurrence, item.step, 0});
         at != failed_workers_.end() &&
         at->first < subtask_id(item.job, item.occurrence, item.step + 1, 0);
         ++at)
    {
        if (item.indices.contains(std::get<3>(at->first)))
        {
            request.failed_workers.insert(at->second.begin(), at->second.end());
        }
    }
    return request;
}

// Returns true when some rack's usable workers could hold the request if they
// were empty.
bool fleet_scheduler::fits_in_one_rack(const placement_request& request) const
{
    std::map<std::string, std::uint32_t> slots_by_rack;
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [&](const placement_candidate& candidate)
                       {
                           if (!is_eligible(candidate, request))
                           {
                               return false;
                           }
                           auto& slots =
                               slots_by_rack[candidate.worker->record.rack()];
                           slots += count_fitting(
                               candidate, candidate.worker->capacity, request);
                           return slots >= request.count;
                       });
}

} // namespace limpetstack::fleet
