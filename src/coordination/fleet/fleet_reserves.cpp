// Computes the capacity that work leaves free for work of other queues.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// Workers are held for a gang that has waited for this share of the delay that
// its queue allows.
constexpr double hold_wait_share = 0.4;

// Workers are held for a gang for at most this many times the delay that its
// queue allows, and then not for the same time, so that other gangs get a turn.
constexpr double longest_hold_factor = 3;

// A gang for which workers are held needs at most the service's capacity
// divided by this number.
constexpr std::int64_t max_hold_divisor = 2;

// Gangs of a service that a round tries to hold workers for. Each try takes as
// long as the attempt to place a step.
constexpr std::size_t max_hold_attempts_per_round = 4;

} // namespace

// Recomputes what the queues of each service use and wait for.
void fleet_scheduler::refresh_backfill_limits()
{
    for (auto& [service, capacity] : services_)
    {
        capacity.backfill.begin_round(capacity.total);
    }
    lasting_use_.clear();
    const job_state* job = nullptr;
    std::int64_t priority = 0;
    backfill_limit* backfill = nullptr;
    for (const auto& [key, run] : workers_.runs())
    {
        if (run.lasting)
        {
            auto& use = lasting_use_[run.location.worker];
            use = use + run.need;
            continue;
        }
        // The runs of a job are neighbours, because their keys begin with its
        // id, and all are on workers of one service.
        if (job == nullptr || job->job.id() != run.ref.job())
        {
            job = state_.find_job(run.ref.job());
            priority = job == nullptr ? 0 : priority_of(*job);
            const auto worker = workers_.workers().find(run.location.worker);
            backfill =
                worker == workers_.workers().end()
                    ? nullptr
                    : &capacity_of(worker->second.record.service()).backfill;
        }
        if (priority > 0 && backfill != nullptr)
        {
            backfill->add_used(priority, run.need);
        }
    }
    for (const auto& [key, item] : pending_)
    {
        if (item.queue.priority > 0 && !item.spec->lasting() &&
            item.obstacle != placement_obstacle::policy)
        {
            capacity_of(item.queue.service)
                .backfill.add_waiting(
                    item.queue.priority, counted_need(*item.spec),
                    static_cast<std::uint32_t>(item.indices.size()),
                    item.all_or_nothing());
        }
    }
}

// Returns true when the usable workers, in any rack, could hold the request if
// nothing but lasting runs were on them.
bool fleet_scheduler::could_fit(const placement_request& request) const
{
    std::uint32_t slots = 0;
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [&](const placement_candidate& candidate)
                       {
                           if (!is_eligible(candidate, request))
                           {
                               return false;
                           }
                           auto capacity = candidate.worker->capacity;
                           const auto lasting =
                               lasting_use_.find(candidate.worker->record.id());
                           if (lasting != lasting_use_.end())
                           {
                               capacity = capacity - lasting->second;
                           }
                           slots += count_fitting(candidate, capacity, request);
                           return slots >= request.count;
                       });
}

// Lets less urgent work leave the need of a gang free that could not start.
void fleet_scheduler::reserve_for_gang(const pending_step& item, time_point now)
{
    auto& backfill = capacity_of(item.queue.service).backfill;
    if (item.obstacle == placement_obstacle::policy || holds_workers(item) ||
        backfill.is_gang_reserve_full(item.queue.priority))
    {
        return;
    }
    const auto request = request_for(item, now);
    if (could_fit(request))
    {
        backfill.add_waiting_gang(item.queue.priority,
                                  request.need * request.count);
    }
}

// Returns true when workers may be held for the step: it is a gang of a queue
// that is not urgent, has waited for long and needs a bounded part of the
// service.
bool fleet_scheduler::may_hold_workers(const pending_step& item, time_point now)
{
    const auto need = counted_need(*item.spec) *
                      static_cast<std::int64_t>(item.indices.size());
    return item.queue.priority > 0 && item.all_or_nothing() &&
           !item.spec->lasting() && !item.queue.policy &&
           item.no_hold_until <= now &&
           static_cast<double>((now - item.since).count()) >=
               hold_wait_share * allowed_delay_ms(item.queue, *item.spec) &&
           fits(need, capacity_of(item.queue.service).total / max_hold_divisor);
}

bool fleet_scheduler::is_for(const gang_hold& hold, const pending_step& item)
{
    return hold.job == item.job && hold.occurrence == item.occurrence &&
           hold.step == item.step;
}

// Returns true when workers are held for the step.
bool fleet_scheduler::holds_workers(const pending_step& item) const
{
    const auto hold = gang_holds_.find(item.queue.service);
    return hold != gang_holds_.end() && is_for(hold->second, item);
}

// Holds workers for the gang. Returns false when it does not fit on the usable
// workers, or when its hold has lasted too long.
bool fleet_scheduler::hold_workers(pending_step& item, gang_hold& current,
                                   time_point now)
{
    const bool same = is_for(current, item);
    const auto allowed_delay = allowed_delay_ms(item.queue, *item.spec);
    const milliseconds longest_hold(
        static_cast<std::int64_t>(longest_hold_factor * allowed_delay));
    if (same && now - current.begun_at > longest_hold)
    {
        item.no_hold_until = now + longest_hold;
        return false;
    }
    auto chosen = choose_workers_to_hold(
        candidates_, lasting_use_, request_for(item, now),
        same ? current.held : amounts_by_worker());
    if (chosen.empty())
    {
        return false;
    }
    if (!same)
    {
        log_event(log_level::info, "workers_held",
                  {{"job", item.job},
                   {"step", absl::StrCat(item.step)},
                   {"priority", absl::StrCat(item.queue.priority)},
                   {"subtasks", absl::StrCat(item.indices.size())},
                   {"workers", absl::StrCat(chosen.size())},
                   {"waited_ms", absl::StrCat((now - item.since).count())}});
    }
    current = {item.job,
               item.occurrence,
               item.step,
               item.queue.priority,
               item.order,
               same ? current.begun_at : now,
               static_cast<double>((now - item.since).count()) >= allowed_delay,
               std::move(chosen)};
    return true;
}

// Holds workers of each service for the gang that has waited longest, so that
// they become free for it together.
void fleet_scheduler::refresh_gang_holds(time_point now)
{
    std::map<std::string, std::vector<pending_step*>> gangs;
    for (auto& [key, item] : pending_)
    {
        if (may_hold_workers(item, now))
        {
            gangs[item.queue.service].push_back(&item);
        }
    }
    auto before = std::exchange(gang_holds_, {});
    for (auto& [service, items] : gangs)
    {
        std::stable_sort(items.begin(), items.end(),
                         [](const pending_step* a, const pending_step* b)
                         {
                             return a->since < b->since;
                         });
        items.resize(std::min(items.size(), max_hold_attempts_per_round));
        auto& hold = before[service];
        if (std::any_of(items.begin(), items.end(),
                        [&](pending_step* item)
                        {
                            return hold_workers(*item, hold, now);
                        }))
        {
            add_held_capacity(service, hold);
            gang_holds_[service] = std::move(hold);
        }
    }
}

// Lets less urgent work leave the capacity free that is free on held workers.
void fleet_scheduler::add_held_capacity(const std::string& service,
                                        const gang_hold& hold)
{
    for (const auto& [id, held] : hold.held)
    {
        if (const auto* const candidate = find_candidate(candidates_, id))
        {
            capacity_of(service).backfill.add_held(
                hold.priority,
                non_negative(smaller_amounts(candidate->free, held)));
        }
    }
}

// Ends the hold of a gang that has started.
void fleet_scheduler::release_hold(const pending_step& item)
{
    if (holds_workers(item))
    {
        gang_holds_.erase(item.queue.service);
        capacity_of(item.queue.service)
            .backfill.clear_held(item.queue.priority);
    }
}

// Returns true when the step may not use the workers that are held for a gang
// of its service: it is less urgent, or it was accepted after the gang and
// takes capacity piece by piece or the gang is overdue.
bool fleet_scheduler::is_kept_off_held_workers(const pending_step& item) const
{
    const auto found = gang_holds_.find(item.queue.service);
    if (found == gang_holds_.end() || item.spec->lasting())
    {
        return false;
    }
    const auto& hold = found->second;
    return item.queue.priority > hold.priority ||
           (item.queue.priority == hold.priority &&
            (!item.all_or_nothing() || hold.overdue) &&
            item.order > hold.order);
}

// Reduces the request to the subtasks that leave free what is reserved for
// other work. Returns false, and sets the obstacle, when the step can not start
// beside these reserves.
bool fleet_scheduler::limit_to_reserves(pending_step& item,
                                        placement_request& request)
{
    // Lasting steps may use the reserves: they start wherever there is free
    // capacity, however full the service is.
    if (item.queue.priority == 0 || item.spec->lasting())
    {
        return true;
    }
    const auto& service = capacity_of(request.service);
    const auto fits_beside = [&request](std::uint32_t allowed)
    {
        return allowed >= (request.all_or_nothing ? request.count : 1);
    };
    const bool fits_beside_headroom =
        fits_beside(service.headroom.count_allowed(service.free, request.need,
                                                   request.count));
    auto allowed = service.backfill.count_allowed(
        item.queue.priority, service.free, service.headroom.reserved(),
        request.need, request.count);
    // On a half-empty service the reserves may be all that is free of a
    // resource. They do not keep a job there from having anything at work.
    if (request.preferences_expired && !has_live_run(item.job))
    {
        allowed =
            std::max(allowed, request.all_or_nothing ? request.count : 1U);
    }
    if (!fits_beside(allowed))
    {
        item.obstacle = fits_beside_headroom ? placement_obstacle::backfill
                                             : placement_obstacle::headroom;
        return false;
    }
    request.count = allowed;
    return true;
}

} // namespace limpetstack::fleet
