// Computes the steps that are ready to run and what their placement may use,
// and proposes the commands that end jobs: fail, finish and forget.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

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

// Preferences for certain workers or racks, and capacity that is kept for
// urgent work, delay a step for at most this time while less than half of the
// service is in use.
constexpr milliseconds preference_wait_limit{1500};

// One accelerator counts as this many thousandths of a core when the part of a
// service that is in use is computed.
constexpr std::int64_t milli_cores_per_accelerator = 8000;

// Returns true when less than half of the capacity is in use, by processor and
// accelerators together.
bool under_half_by_cores(const resource_amounts& used,
                         const resource_amounts& capacity)
{
    const auto cores = [](const resource_amounts& amounts)
    {
        return amounts.cpu_milli +
               milli_cores_per_accelerator * amounts.accelerators;
    };
    return 2 * cores(used) < cores(capacity);
}

bool earlier_steps_done(const step_spec& spec, const occurrence_state* state)
{
    return std::all_of(spec.after().begin(), spec.after().end(),
                       [state](std::uint32_t step)
                       {
                           return state != nullptr &&
                                  is_done(state->steps[step]);
                       });
}

} // namespace

void fleet_scheduler::drop_pending(const std::string& job)
{
    const auto first = pending_.lower_bound({job, 0, 0});
    auto last = first;
    while (last != pending_.end() && std::get<0>(last->first) == job)
    {
        unreserve(last->first);
        ++last;
    }
    pending_.erase(first, last);
}

bool fleet_scheduler::has_exhausted_attempts(const job_state& job,
                                             const queue_config& queue) const
{
    for (const auto& [number, occurrence] : job.occurrences)
    {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
        {
            const auto& spec = job.job.spec().steps(static_cast<int>(s));
            const auto& step = occurrence.steps[s];
            if (spec.lasting())
            {
                continue;
            }
            if (spec.gang() && !is_done(step) &&
                step.failures >= queue.attempts)
            {
                return true;
            }
            if (!spec.gang() &&
                std::any_of(step.subtasks.begin(), step.subtasks.end(),
                            [&](const subtask_state& subtask)
                            {
                                return !subtask.done &&
                                       subtask.failures >= queue.attempts;
                            }))
            {
                return true;
            }
        }
    }
    return false;
}

// Proposes to finish a job that is cancelled or has completed all
// occurrences, so that nothing of it can change any more.
void fleet_scheduler::close_job(const job_state& job, std::int64_t wall_ms)
{
    const auto& id = job.job.id();
    const bool all_done =
        job.done_occurrences >= occurrence_count(job.job.spec());
    if (closing_.count(id) > 0 || job.finished_ms > 0 ||
        (!job.cancelled && !all_done))
    {
        return;
    }
    closing_.insert(id);
    fleet_command command;
    command.mutable_finish()->set_job(id);
    command.mutable_finish()->set_at_ms(wall_ms);
    propose_(std::move(command));
}

void fleet_scheduler::refresh_jobs(time_point now, std::int64_t wall_ms)
{
    for (auto at = due_times_.begin(); at != due_times_.end();)
    {
        if (at->second <= wall_ms)
        {
            jobs_to_refresh_.insert(at->first);
            at = due_times_.erase(at);
        }
        else
        {
            ++at;
        }
    }
    for (const auto& id : std::exchange(jobs_to_refresh_, {}))
    {
        if (const auto* const job = state_.find_job(id))
        {
            refresh_job(*job, now, wall_ms);
        }
    }
    for (const auto& [id, at] : ended_)
    {
        if (at + options_.ended_job_retention.count() < wall_ms &&
            closing_.count(id) == 0 &&
            workers_.runs().lower_bound(id + ".") ==
                workers_.runs().lower_bound(id + "/"))
        {
            closing_.insert(id);
            fleet_command command;
            command.mutable_forget()->set_job(id);
            propose_(std::move(command));
        }
    }
}

void fleet_scheduler::refresh_job(const job_state& job, time_point now,
                                  std::int64_t wall_ms)
{
    const auto& id = job.job.id();
    close_job(job, wall_ms);
    if (job.ended() || priority_of(job) != 0 ||
        job.done_occurrences >= occurrence_count(job.job.spec()))
    {
        open_urgent_.erase(id);
    }
    else
    {
        open_urgent_.insert(id);
    }
    if (job.ended())
    {
        drop_pending(id);
        return;
    }
    const auto queue = queue_of(job);
    if (has_exhausted_attempts(job, queue))
    {
        drop_pending(id);
        if (closing_.insert(id).second)
        {
            fleet_command command;
            command.mutable_fail()->set_job(id);
            command.mutable_fail()->set_at_ms(wall_ms);
            propose_(std::move(command));
            log_event(
                log_level::info, "job_failed",
                {{"job", id},
                 {"reason", "attempts used up"},
                 {"attempts", absl::StrCat(queue.attempts)},
                 {"document", absl::StrCat(state_.document().version())}});
        }
        return;
    }
    const auto& spec = job.job.spec();
    for (std::uint32_t k = 0; k < occurrence_count(spec); ++k)
    {
        if (spec.repeat_count() > 0)
        {
            const auto due = spec.first_run_ms() +
                             static_cast<std::int64_t>(k) * spec.interval_ms();
            if (due > wall_ms)
            {
                due_times_[id] = due;
                break;
            }
        }
        const auto at = job.occurrences.find(k);
        const auto* const occurrence =
            at == job.occurrences.end() ? nullptr : &at->second;
        if (occurrence != nullptr && occurrence->done)
        {
            continue;
        }
        for (std::uint32_t s = 0;
             s < static_cast<std::uint32_t>(spec.steps_size()); ++s)
        {
            const auto& step = spec.steps(static_cast<int>(s));
            if (earlier_steps_done(step, occurrence))
            {
                refresh_step(job, k, s,
                             occurrence == nullptr ? nullptr
                                                   : &occurrence->steps[s],
                             queue, now);
            }
        }
    }
}

void fleet_scheduler::refresh_step(const job_state& job,
                                   std::uint32_t occurrence, std::uint32_t step,
                                   const step_state* state,
                                   const queue_config& queue, time_point now)
{
    const auto& spec = job.job.spec().steps(static_cast<int>(step));
    std::vector<std::uint32_t> pending_indices;
    for (std::uint32_t i = 0; i < spec.subtask_count(); ++i)
    {
        if (state == nullptr ||
            (!state->subtasks[i].done && state->subtasks[i].active.empty()))
        {
            run_ref ref;
            ref.set_job(job.job.id());
            ref.set_occurrence(occurrence);
            ref.set_step(step);
            ref.set_index(i);
            ref.set_run((state == nullptr ? 0 : state->subtasks[i].last_run) +
                        1);
            // Skips subtasks that have a live run: its placement may be
            // proposed but not yet applied to the replicated state.
            const auto prefix = subtask_key(ref) + "#";
            const auto live = workers_.runs().lower_bound(prefix);
            if (live == workers_.runs().end() ||
                live->first.compare(0, prefix.size(), prefix) != 0)
            {
                pending_indices.push_back(i);
            }
        }
    }
    const pending_step_key key{job.job.id(), occurrence, step};
    // A gang starts again only after every member of its last run has ended.
    if (pending_indices.empty() ||
        (spec.gang() && pending_indices.size() < spec.subtask_count()))
    {
        unreserve(key);
        pending_.erase(key);
        return;
    }
    const auto [found, added] = pending_.try_emplace(key);
    auto& item = found->second;
    if (added)
    {
        item.job = job.job.id();
        item.occurrence = occurrence;
        item.step = step;
        item.since = now;
        item.next_wait_log = now + wait_before_log(queue);
        item.account = job.job.account();
        item.order = job.order;
    }
    item.spec = &spec;
    item.queue = queue;
    item.indices = std::move(pending_indices);
}

double allowed_delay_ms(const queue_config& queue, const step_spec& step)
{
    return (queue.stretch - 1) * static_cast<double>(step.estimate_ms()) +
           static_cast<double>(queue.allowance_ms);
}

// Returns true when the workers that are not about to leave, whether they get
// placements now or not, have free capacity for two gangs or two subtasks.
bool fleet_scheduler::fits_twice(const placement_request& request) const
{
    auto doubled = request;
    doubled.count = request.all_or_nothing ? 2 * request.count : 2;
    doubled.max_per_worker = 0;
    doubled.allowed.reset();
    std::uint32_t slots = 0;
    const auto& workers = workers_.workers();
    return std::any_of(
        workers.begin(), workers.end(),
        [&](const auto& item)
        {
            const auto& worker = item.second;
            const placement_candidate candidate{
                &worker, worker.capacity - worker.used, 0,
                worker.filler_runs > 0, worker.serving_runs > 0};
            if (!worker.record.draining() && is_eligible(candidate, doubled))
            {
                slots += count_fitting(candidate, candidate.free, doubled);
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
// inside its account's guarantee, which holds however full the service is.
bool fleet_scheduler::may_use_last_resort(const pending_step& item,
                                          const placement_request& request,
                                          time_point now) const
{
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
    if (service == services_.end())
    {
        return false;
    }
    const auto& [used, installed] =
        std::tie(service->second.used, service->second.installed);
    const bool by_cores = under_half_by_cores(used, installed);
    const bool by_accelerators =
        installed.accelerators > 0
            ? 2 * used.accelerators < installed.accelerators
            : by_cores;
    // Where the two measures differ, it has to fit twice over.
    return (by_cores && by_accelerators) ||
           ((by_cores || by_accelerators || item.spec->lasting()) &&
            fits_twice(request));
}

placement_request fleet_scheduler::request_for(const pending_step& item,
                                               time_point now) const
{
    const auto& spec = *item.spec;
    placement_request request;
    request.count = static_cast<std::uint32_t>(item.indices.size());
    request.need = counted_need(spec);
    request.all_or_nothing = spec.gang();
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
    request.preferences_expired = preferences_expired(item, request, now);
    request.other_racks_allowed =
        request.other_racks_allowed || request.preferences_expired;
    if (item.queue.policy)
    {
        request.allowed.emplace();
        for (const auto& candidate : candidates_)
        {
            const auto& record = candidate.worker->record;
            if (tickets_.find({item.job, item.occurrence, item.step},
                              {record.id(), record.born_ms()}, now) != nullptr)
            {
                request.allowed->insert(record.id());
            }
        }
    }
    run_ref ref;
    ref.set_job(item.job);
    ref.set_occurrence(item.occurrence);
    ref.set_step(item.step);
    for (const auto index : item.indices)
    {
        ref.set_index(index);
        const auto found = failed_workers_.find(subtask_key(ref));
        if (found != failed_workers_.end())
        {
            request.avoided.insert(found->second.begin(), found->second.end());
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
