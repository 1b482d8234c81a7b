// Steps that wait for capacity: holds capacity for gangs, and shows which steps
// wait, for how long and why.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// Time between two computations of the gauges and searches for steps to log.
constexpr milliseconds wait_report_interval{500};

// Log lines on waiting steps in one report; the rest follow in the next ones.
constexpr std::size_t max_wait_logs_per_report = 20;

// Capacity is held for a gang once it has waited for this share of the delay
// that its queue allows.
constexpr double wait_share_before_hold = 0.4;

} // namespace

// Makes all steps ranked after a long-waiting gang leave its need free. Without
// this, steps of single subtasks take each part of the capacity as it becomes
// free, and a gang never finds all of its need at once. Only the first such
// gang of a service counts. Nothing is held for a gang that is too large for
// the service, nor while half of the service is free, so that work which fits
// into a half-empty service starts.
void fleet_scheduler::hold_for_gang(const pending_step& item, time_point now)
{
    auto& service = capacity_of(item.queue.service);
    if (service.held_for_gang || !item.all_or_nothing() ||
        item.queue.priority == 0 ||
        static_cast<double>((now - item.since).count()) <
            wait_share_before_hold * allowed_delay_ms(item.queue, *item.spec) ||
        !fits_when_empty(request_for(item, now)))
    {
        return;
    }
    const auto need = counted_need(*item.spec);
    const auto count = static_cast<std::int64_t>(item.indices.size());
    const auto& total = service.total;
    const resource_amounts half{total.cpu_milli / 2, total.memory_mb / 2,
                                total.accelerators / 2};
    if (!fits(half, service.free))
    {
        service.held_for_gang =
            resource_amounts{need.cpu_milli * count, need.memory_mb * count,
                             need.accelerators * count};
    }
}

void fleet_scheduler::report_waits(time_point now)
{
    if (now < next_wait_report_)
    {
        return;
    }
    next_wait_report_ = now + wait_report_interval;
    // Queues that have no waiting step any more keep a gauge of 0.
    for (auto& [queue, longest] : longest_waits_)
    {
        longest = milliseconds(0);
    }
    std::size_t logged = 0;
    for (auto& [key, item] : pending_)
    {
        auto& longest = longest_waits_[item.queue.name];
        longest = std::max(longest, now - item.since);
        if (item.next_wait_log <= now && logged < max_wait_logs_per_report)
        {
            log_wait(item, now);
            item.next_wait_log = now + (now - item.since);
            ++logged;
        }
    }
    for (const auto& [queue, longest] : longest_waits_)
    {
        counters_.set(absl::StrCat("longest_wait_ms{queue=\"", queue, "\"}"),
                      static_cast<double>(longest.count()));
    }
}

void fleet_scheduler::log_wait(const pending_step& item, time_point now)
{
    const auto request = request_for(item, now);
    std::uint64_t slots = 0;
    std::map<std::string, std::uint64_t> slots_by_rack;
    for (const auto& candidate : candidates_)
    {
        if (is_eligible(candidate, request))
        {
            const auto fitting =
                count_fitting(candidate, candidate.free, request);
            slots += fitting;
            slots_by_rack[candidate.worker->record.rack()] += fitting;
        }
    }
    std::uint64_t most_in_rack = 0;
    for (const auto& [rack, fitting] : slots_by_rack)
    {
        most_in_rack = std::max(most_in_rack, fitting);
    }
    const auto& service = capacity_of(request.service);
    const auto obstacle = [&item]
    {
        switch (item.obstacle)
        {
        case placement_obstacle::headroom:
            return "headroom";
        case placement_obstacle::waiting_gang:
            return "waiting_gang";
        case placement_obstacle::capacity:
            return "capacity";
        case placement_obstacle::policy:
            return "policy";
        case placement_obstacle::not_tried:
            break;
        }
        return "not_tried";
    };
    log_event(
        log_level::info, "step_waiting",
        {{"job", item.job},
         {"step", absl::StrCat(item.step)},
         {"priority", absl::StrCat(item.queue.priority)},
         {"waited_ms", absl::StrCat((now - item.since).count())},
         {"obstacle", obstacle()},
         {"subtasks", absl::StrCat(request.count)},
         {"cpu_milli", absl::StrCat(request.need.cpu_milli)},
         {"memory_mb", absl::StrCat(request.need.memory_mb)},
         {"accelerators", absl::StrCat(request.need.accelerators)},
         {"gang", request.all_or_nothing ? "yes" : "no"},
         {"one_rack",
          request.same_rack && !request.other_racks_allowed ? "yes" : "no"},
         {"preferred_rack", request.preferred_rack},
         {"free_slots", absl::StrCat(slots)},
         {"free_slots_in_a_rack", absl::StrCat(most_in_rack)},
         {"free_accelerators", absl::StrCat(service.free.accelerators)},
         {"headroom_accelerators",
          absl::StrCat(service.headroom.reserved().accelerators)},
         {"free_memory_mb", absl::StrCat(service.free.memory_mb)},
         {"headroom_memory_mb",
          absl::StrCat(service.headroom.reserved().memory_mb)},
         {"document", absl::StrCat(state_.document().version())}});
}

} // namespace limpetstack::fleet
