// Preempts runs to free capacity for urgent steps.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// Time for which capacity is reserved for a step while runs are stopped for it.
constexpr milliseconds reservation_time{1500};

} // namespace

// Returns whether the run may be stopped for a step, and the factor of its
// cost: runs that should be stopped only when no others suffice cost more.
std::optional<double>
fleet_scheduler::stop_cost_factor(const live_run& run, const pending_step& item,
                                  bool displace_guaranteed) const
{
    constexpr double urgent_factor = 1e6;
    constexpr double guaranteed_factor = 1e12;
    const auto* const job = state_.find_job(run.ref.job());
    if (run.stop_requested || run.lasting || job == nullptr)
    {
        return std::nullopt;
    }
    const auto priority = priority_of(*job);
    if (priority > item.queue.priority)
    {
        return 1;
    }
    if (urgency(item) != 0 || priority != 0)
    {
        return std::nullopt;
    }
    const auto& account = job->job.account();
    if (account != item.account && !within_guarantee(account) &&
        urgent_accelerators_.count(account) > 0)
    {
        return urgent_factor;
    }
    if (displace_guaranteed && run.phase == run_phase::present &&
        run.need.accelerators < item.spec->need().accelerators())
    {
        return guaranteed_factor;
    }
    return std::nullopt;
}

// Returns the cheapest runs whose end frees enough capacity for the step. With
// `displace_guaranteed` these may be guaranteed runs that need fewer
// accelerators than the step's subtasks.
std::optional<victim_plan>
fleet_scheduler::find_victims(const pending_step_key& key,
                              const pending_step& item,
                              const placement_request& request,
                              bool displace_guaranteed, time_point now) const
{
    std::map<std::string, std::vector<victim>> victims;
    std::map<std::string, double> gang_costs;
    const auto cost_of = [&](const live_run& run)
    {
        const auto ran = static_cast<double>((now - run.started_at).count());
        // A checkpointable run resumes from its checkpoint, so its run time is
        // not lost. Every stop is counted as at least 200 ms of work.
        return weight_in_cores(run.need) *
               (run.checkpointable ? 200 : 200 + ran);
    };
    const auto gang_of = [](const live_run& run)
    {
        return absl::StrCat(run.ref.job(), ".", run.ref.occurrence(), ".",
                            run.ref.step());
    };
    for (const auto& [id, run] : workers_.runs())
    {
        if (run.gang)
        {
            gang_costs[gang_of(run)] += cost_of(run);
        }
    }
    for (const auto& [id, run] : workers_.runs())
    {
        if (const auto factor =
                stop_cost_factor(run, item, displace_guaranteed))
        {
            victims[run.incarnation.worker].push_back(
                {id, run.need,
                 *factor *
                     (run.gang ? gang_costs[gang_of(run)] : cost_of(run))});
        }
    }
    return choose_victims(candidates_for(key, item, request), victims, request);
}

void fleet_scheduler::reclaim(const pending_step_key& key, pending_step& item,
                              time_point now)
{
    if (const auto found = reservations_.find(key);
        found != reservations_.end())
    {
        if (is_usable(found->second))
        {
            return;
        }
        unreserve(key);
    }
    item.last_plan = preemption_plan::none_found;
    auto request = request_for(item, now);
    request.all_or_nothing = true;
    auto plan = find_victims(key, item, request, false, now);
    // Guaranteed subtasks that need fewer accelerators restart in the capacity
    // that is too fragmented for this step.
    if (!plan && urgency(item) == 0 && request.other_racks_allowed)
    {
        plan = find_victims(key, item, request, true, now);
    }
    if (!plan && may_use_last_resort(item, request, now))
    {
        request.last_resort_allowed = true;
        plan = find_victims(key, item, request, false, now);
    }
    if (!plan)
    {
        return;
    }
    item.last_plan = preemption_plan::made;
    ++item.plans;
    counters_.add("runs_preempted_total", plan->keys.size());
    reserve(key, {plan->reserved_by_worker, now + reservation_time,
                  plan->other_racks, request.last_resort_allowed});
    for (const auto& victim : plan->keys)
    {
        workers_.stop(victim, "preempted", now);
    }
    log_event(log_level::info, "room_reclaimed",
              {{"job", item.job},
               {"step", absl::StrCat(item.step)},
               {"account", item.account},
               {"stopped", absl::StrCat(plan->keys.size())},
               {"waited_ms", absl::StrCat((now - item.since).count())}});
}

} // namespace limpetstack::fleet
