// Computes the steps that are ready to run, and proposes the commands that end
// jobs: fail, finish and forget.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"
#include "coordination/fleet/crash_evidence.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

bool earlier_steps_done(const step_spec& spec, const occurrence_state* state)
{
    return std::all_of(spec.after().begin(), spec.after().end(),
                       [state](std::uint32_t step)
                       {
                           return state != nullptr &&
                                  is_done(state->steps[step]);
                       });
}

// Returns a subtask of the step that crashes its workers, or nothing.
std::optional<std::uint32_t> crashing_subtask(const step_state& step)
{
    const auto found = std::find_if(step.crashed.begin(), step.crashed.end(),
                                    [&step](std::uint32_t index)
                                    {
                                        return proves_crashing(
                                            step.subtasks.at(index).crashes);
                                    });
    return found == step.crashed.end() ? std::nullopt : std::optional(*found);
}

bool has_exhausted_attempts(const step_spec& spec, const step_state& step,
                            const queue_config& queue)
{
    if (spec.lasting())
    {
        return false;
    }
    return spec.gang() ? !is_done(step) && step.failures >= queue.attempts
                       : most_failures(step) >= queue.attempts;
}

// A refresh takes up occurrences of a job until it has looked at this many
// steps; the others follow when these are done.
constexpr std::size_t max_steps_per_refresh = 1024;

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
    placed_.erase(placed_.lower_bound({job, 0, 0}),
                  placed_.lower_bound({job + '\0', 0, 0}));
}

// Returns when the step became ready: now, or earlier if its last placement
// ended because a start failed.
time_point fleet_scheduler::ready_since(const pending_step_key& key,
                                        time_point now)
{
    const auto placed = placed_.find(key);
    if (placed == placed_.end())
    {
        return now;
    }
    const auto since = placed->second.start_failed ? placed->second.since : now;
    placed_.erase(placed);
    return since;
}

// Returns why the job can not be done, or nothing.
std::optional<fleet_scheduler::job_failure>
fleet_scheduler::failure_of(const job_state& job, const queue_config& queue)
{
    for (const auto& [number, occurrence] : job.occurrences)
    {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
        {
            const auto& spec = job.job.spec().steps(static_cast<int>(s));
            const auto& step = occurrence.steps[s];
            const auto step_number = static_cast<std::uint32_t>(s);
            if (const auto index = crashing_subtask(step))
            {
                return job_failure{"a subtask crashes its workers", number,
                                   step_number, index,
                                   describe(step.subtasks.at(*index).crashes)};
            }
            if (has_exhausted_attempts(spec, step, queue))
            {
                return job_failure{"attempts used up", number, step_number,
                                   std::nullopt, ""};
            }
        }
    }
    return std::nullopt;
}

// Returns the reason in the words that the job's caller gets.
std::string fleet_scheduler::reason_of(const job_failure& failure)
{
    const auto step = absl::StrCat(failure.cause, ": occurrence ",
                                   failure.occurrence, ", step ", failure.step);
    return failure.subtask ? absl::StrCat(step, ", subtask ", *failure.subtask,
                                          " (", failure.crashes, ")")
                           : step;
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
        if (now - at > options_.ended_job_retention &&
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
    if (const auto failure = failure_of(job, queue))
    {
        drop_pending(id);
        if (closing_.insert(id).second)
        {
            fleet_command command;
            command.mutable_fail()->set_job(id);
            command.mutable_fail()->set_at_ms(wall_ms);
            command.mutable_fail()->set_reason(reason_of(*failure));
            propose_(std::move(command));
            counters_.add(absl::StrCat("jobs_failed_total{reason=\"",
                                       failure->cause, "\"}"));
            log_event(
                log_level::info, "job_failed",
                {{"job", id},
                 {"reason", failure->cause},
                 {"occurrence", absl::StrCat(failure->occurrence)},
                 {"step", absl::StrCat(failure->step)},
                 {"subtask",
                  failure->subtask ? absl::StrCat(*failure->subtask) : ""},
                 {"crashes", failure->crashes},
                 {"attempts", absl::StrCat(queue.attempts)},
                 {"document", absl::StrCat(state_.document().version())}});
        }
        return;
    }
    drop_ended_occurrences(job);
    const auto& spec = job.job.spec();
    std::size_t steps = 0;
    for (auto k = job.ended_occurrences.first_missing(0);
         k < occurrence_count(spec) && steps < max_steps_per_refresh;
         k = job.ended_occurrences.first_missing(k + 1))
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
        steps += static_cast<std::size_t>(spec.steps_size());
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

// Drops what is held for the steps of occurrences that have ended.
void fleet_scheduler::drop_ended_occurrences(const job_state& job)
{
    const auto& id = job.job.id();
    const pending_step_key first{id, 0, 0};
    const pending_step_key last{id + '\0', 0, 0};
    const auto has_ended = [&job](const pending_step_key& key)
    {
        return job.ended_occurrences.contains(std::get<1>(key));
    };
    for (auto at = pending_.lower_bound(first);
         at != pending_.end() && at->first < last;)
    {
        const auto item = at++;
        if (has_ended(item->first))
        {
            unreserve(item->first);
            pending_.erase(item);
        }
    }
    for (auto at = placed_.lower_bound(first);
         at != placed_.end() && at->first < last;)
    {
        at = has_ended(at->first) ? placed_.erase(at) : std::next(at);
    }
}

// Returns the subtasks of the step that are neither done nor have a live run.
index_set fleet_scheduler::pending_indices(const pending_step_key& key,
                                           const step_spec& spec,
                                           const step_state* state) const
{
    index_set indices(0, spec.subtask_count());
    if (state != nullptr)
    {
        indices.erase(state->done);
        indices.erase(state->active);
    }
    // The placement of a live run may be proposed but not yet applied to the
    // replicated state.
    const auto& [job, occurrence, step] = key;
    const auto prefix = absl::StrCat(job, ".", occurrence, ".", step, ".");
    for (auto at = workers_.runs().lower_bound(prefix);
         at != workers_.runs().end() &&
         at->first.compare(0, prefix.size(), prefix) == 0;
         ++at)
    {
        indices.erase(at->second.ref.index());
    }
    return indices;
}

void fleet_scheduler::refresh_step(const job_state& job,
                                   std::uint32_t occurrence, std::uint32_t step,
                                   const step_state* state,
                                   const queue_config& queue, time_point now)
{
    const auto& spec = job.job.spec().steps(static_cast<int>(step));
    const pending_step_key key{job.job.id(), occurrence, step};
    auto indices = pending_indices(key, spec, state);
    // A gang starts again only after every member of its last run has ended.
    if (indices.empty() ||
        (spec.gang() && indices.size() < spec.subtask_count()))
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
        item.since = ready_since(key, now);
        item.next_wait_log = now + wait_before_log(queue);
        item.account = job.job.account();
        item.order = job.order;
    }
    if (added || item.queue.service != queue.service ||
        item.queue.priority != queue.priority)
    {
        item.given_to_less_urgent = given_to_less_urgent(queue);
    }
    item.spec = &spec;
    item.queue = queue;
    item.indices = std::move(indices);
    refresh_suspects(item, state);
}

double allowed_delay_ms(const queue_config& queue, const step_spec& step)
{
    return (queue.stretch - 1) * static_cast<double>(step.estimate_ms()) +
           static_cast<double>(queue.allowance_ms);
}

} // namespace limpetstack::fleet
