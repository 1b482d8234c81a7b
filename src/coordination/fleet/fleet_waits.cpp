// Shows which steps wait for capacity, for how long and why.
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

} // namespace

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
