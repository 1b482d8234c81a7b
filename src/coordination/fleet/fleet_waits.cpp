// Shows which steps wait for capacity, for how long and why.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace limpetstack::fleet
{
namespace
{

// Time between two computations of the gauges and searches for steps to log.
constexpr milliseconds wait_report_interval{500};

// Log lines on waiting steps in one report; the rest follow in the next ones.
constexpr std::size_t max_wait_logs_per_report = 20;

// Numbers of runs that keep their subtasks from starting again.
struct run_states
{
    std::uint64_t proposed = 0;     // The placement is not applied.
    std::uint64_t end_proposed = 0; // The end is not applied.
    std::uint64_t out_of_reach = 0; // On unreachable workers.
};

// Counts the runs whose keys begin with the prefix.
run_states states_of_runs(const worker_fleet& workers,
                          const std::string& prefix, time_point now)
{
    run_states states;
    for (auto at = workers.runs().lower_bound(prefix);
         at != workers.runs().end() &&
         at->first.compare(0, prefix.size(), prefix) == 0;
         ++at)
    {
        const auto& run = at->second;
        const auto worker = workers.workers().find(run.location.worker);
        states.proposed += run.phase == run_phase::proposed ? 1 : 0;
        states.end_proposed += run.end_proposed ? 1 : 0;
        states.out_of_reach +=
            worker != workers.workers().end() &&
                    workers.availability(worker->second, now) ==
                        worker_availability::unreachable
                ? 1
                : 0;
    }
    return states;
}

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
    std::optional<std::map<std::string, accelerator_use>> use;
    std::size_t logged = 0;
    for (auto& [key, item] : pending_)
    {
        auto& longest = longest_waits_[item.queue.name];
        longest = std::max(longest, now - item.since);
        if (item.next_wait_log <= now && logged < max_wait_logs_per_report)
        {
            if (!use)
            {
                use = use_by_service();
            }
            log_wait(item, (*use)[item.queue.service], now);
            item.next_wait_log =
                now + std::min(now - item.since, max_wait_log_interval);
            ++logged;
        }
    }
    // Steps whose runs are all in one of these states are not pending.
    const auto states = states_of_runs(workers_, "", now);
    counters_.set("blocking_runs{state=\"not_applied\"}",
                  static_cast<double>(states.proposed));
    counters_.set("blocking_runs{state=\"end_not_applied\"}",
                  static_cast<double>(states.end_proposed));
    counters_.set("blocking_runs{state=\"out_of_reach\"}",
                  static_cast<double>(states.out_of_reach));
    std::map<worker_availability, std::uint64_t> workers;
    for (const auto& [id, worker] : workers_.workers())
    {
        ++workers[workers_.availability(worker, now)];
    }
    for (const auto availability : all_availabilities)
    {
        counters_.set(
            absl::StrCat("workers{state=\"", name_of(availability), "\"}"),
            static_cast<double>(workers[availability]));
    }
    counters_.set("evacuated_runs",
                  static_cast<double>(workers_.evacuated_runs()));
    for (const auto& [queue, longest] : longest_waits_)
    {
        counters_.set(absl::StrCat("longest_wait_ms{queue=\"", queue, "\"}"),
                      static_cast<double>(longest.count()));
    }
}

milliseconds fleet_scheduler::wait_before_log(const queue_config& queue) const
{
    return queue.priority == 0 ? options_.reclaim_limit / 2 : first_wait_log;
}

std::map<std::string, fleet_scheduler::accelerator_use>
fleet_scheduler::use_by_service() const
{
    std::map<std::string, accelerator_use> services;
    for (const auto& [id, worker] : workers_.workers())
    {
        auto& use = services[worker.record.service()];
        for (const auto& key : worker.runs)
        {
            const auto& run = workers_.runs().at(key);
            const auto* const job = state_.find_job(run.ref.job());
            auto* part = &use.lower;
            if (run.stop_requested || job == nullptr)
            {
                part = &use.stopping;
            }
            else if (run.lasting)
            {
                part = &use.lasting;
            }
            else if (priority_of(*job) == 0)
            {
                part = within_guarantee(job->job.account())
                           ? &use.urgent_guaranteed
                           : &use.urgent_other;
            }
            *part += run.need.accelerators;
            if (part == &use.lower)
            {
                use.by_priority[priority_of(*job)] += run.need.accelerators;
            }
        }
    }
    return services;
}

void fleet_scheduler::log_wait(const pending_step& item,
                               const accelerator_use& use, time_point now)
{
    const auto request = request_for(item, now);
    std::uint64_t slots = 0;
    // What subtasks that have to start alone may use, and after repeated
    // crashes.
    std::uint64_t slots_quiet = 0;
    std::uint64_t slots_steady = 0;
    std::uint64_t workers_in_trial = 0;
    std::uint64_t slots_shared = 0; // Where fillers would meet serving runs.
    std::uint64_t workers_without_fillers = 0;
    std::map<std::string, std::uint64_t> slots_by_rack;
    for (const auto& candidate : candidates_)
    {
        workers_in_trial += candidate.in_trial ? 1 : 0;
        workers_without_fillers +=
            request.filler && candidate.refuses_fillers ? 1 : 0;
        if (is_eligible(candidate, request))
        {
            const auto fitting =
                count_fitting(candidate, candidate.free, request);
            slots += fitting;
            slots_shared += would_share(candidate, request) ? fitting : 0;
            slots_quiet += candidate.quiet ? fitting : 0;
            slots_steady += candidate.quiet && candidate.steady ? fitting : 0;
            slots_by_rack[candidate.worker->record.rack()] += fitting;
        }
    }
    // Workers that get no placements now, and what would fit there.
    std::map<worker_availability, std::uint64_t> workers;
    std::uint64_t slots_avoided = 0;
    for (const auto& [id, worker] : workers_.workers())
    {
        const placement_candidate candidate{&worker,
                                            worker.capacity - worker.used};
        if (!is_eligible(candidate, request))
        {
            continue;
        }
        const auto availability = workers_.availability(worker, now);
        ++workers[availability];
        if (availability == worker_availability::avoided)
        {
            slots_avoided += count_fitting(candidate, candidate.free, request);
        }
    }
    const auto states = states_of_runs(workers_, item.job + ".", now);
    std::uint64_t most_in_rack = 0;
    for (const auto& [rack, fitting] : slots_by_rack)
    {
        most_in_rack = std::max(most_in_rack, fitting);
    }
    std::int64_t used_less_urgent = 0;
    for (const auto& [priority, accelerators] : use.by_priority)
    {
        used_less_urgent += priority > item.queue.priority ? accelerators : 0;
    }
    const auto& service = capacity_of(request.service);
    const auto obstacle = [&]
    {
        if (item.obstacle == placement_obstacle::capacity &&
            would_fit_with_evacuated(request))
        {
            return "evacuation";
        }
        switch (item.obstacle)
        {
        case placement_obstacle::crashes:
            return "crashes";
        case placement_obstacle::headroom:
            return "headroom";
        case placement_obstacle::backfill:
            return "backfill";
        case placement_obstacle::capacity:
            return "capacity";
        case placement_obstacle::run_limit:
            return "run_limit";
        case placement_obstacle::policy:
            return "policy";
        case placement_obstacle::not_tried:
            break;
        }
        return "not_tried";
    };
    const auto plan = [&item]
    {
        switch (item.last_plan)
        {
        case preemption_plan::none_found:
            return "none_found";
        case preemption_plan::made:
            return "made";
        case preemption_plan::not_tried:
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
         {"subtasks", absl::StrCat(item.indices.size())},
         {"suspects", absl::StrCat(item.suspects.size())},
         {"repeated_suspects", absl::StrCat(item.repeated_suspects.size())},
         {"cpu_milli", absl::StrCat(request.need.cpu_milli)},
         {"memory_mb", absl::StrCat(request.need.memory_mb)},
         {"accelerators", absl::StrCat(request.need.accelerators)},
         {"gang", request.all_or_nothing ? "yes" : "no"},
         {"one_rack",
          request.same_rack && !request.other_racks_allowed ? "yes" : "no"},
         {"preferred_rack", request.preferred_rack},
         {"required_label", request.required_label},
         {"other_racks_allowed", request.other_racks_allowed ? "yes" : "no"},
         {"free_slots", absl::StrCat(slots)},
         {"free_slots_in_a_rack", absl::StrCat(most_in_rack)},
         {"free_slots_preferred",
          absl::StrCat(slots_by_rack[request.preferred_rack])},
         {"free_slots_quiet", absl::StrCat(slots_quiet)},
         {"free_slots_steady", absl::StrCat(slots_steady)},
         {"free_slots_shared", absl::StrCat(slots_shared)},
         {"workers_refusing_fillers", absl::StrCat(workers_without_fillers)},
         {"workers_in_trial", absl::StrCat(workers_in_trial)},
         {"losses_rare", workers_.are_losses_rare(now) ? "yes" : "no"},
         {"runs_not_applied", absl::StrCat(states.proposed)},
         {"runs_end_not_applied", absl::StrCat(states.end_proposed)},
         {"runs_out_of_reach", absl::StrCat(states.out_of_reach)},
         {"free_accelerators", absl::StrCat(service.free.accelerators)},
         {"headroom_accelerators",
          absl::StrCat(service.headroom.reserved().accelerators)},
         {"gang_reserve_accelerators",
          absl::StrCat(service.backfill.reserved_for_gangs(item.queue.priority)
                           .accelerators)},
         {"shares_reserve_accelerators",
          absl::StrCat(service.backfill.reserved_for_shares(item.queue.priority)
                           .accelerators)},
         {"free_memory_mb", absl::StrCat(service.free.memory_mb)},
         {"headroom_memory_mb",
          absl::StrCat(service.headroom.reserved().memory_mb)},
         {"urgency", absl::StrCat(urgency(item))},
         {"plan", plan()},
         {"plans", absl::StrCat(item.plans)},
         {"reservations", absl::StrCat(reservations_.size())},
         {"workers", absl::StrCat(workers[worker_availability::usable])},
         {"workers_avoided",
          absl::StrCat(workers[worker_availability::avoided])},
         {"workers_refusing",
          absl::StrCat(workers[worker_availability::refusing])},
         {"workers_evacuated",
          absl::StrCat(workers[worker_availability::evacuated])},
         {"workers_unreachable",
          absl::StrCat(workers[worker_availability::unreachable])},
         {"workers_draining",
          absl::StrCat(workers[worker_availability::draining])},
         {"free_slots_avoided", absl::StrCat(slots_avoided)},
         {"total_accelerators", absl::StrCat(service.total.accelerators)},
         {"used_lasting", absl::StrCat(use.lasting)},
         {"used_urgent_guaranteed", absl::StrCat(use.urgent_guaranteed)},
         {"used_urgent_other", absl::StrCat(use.urgent_other)},
         {"used_lower", absl::StrCat(use.lower)},
         {"used_less_urgent", absl::StrCat(used_less_urgent)},
         {"given_to_less_urgent",
          absl::StrCat(given_to_less_urgent(item.queue) -
                       item.given_to_less_urgent)},
         {"used_stopping", absl::StrCat(use.stopping)},
         {"document", absl::StrCat(state_.document().version())}});
}

} // namespace limpetstack::fleet
