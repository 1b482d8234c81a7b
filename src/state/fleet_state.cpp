#include "state/fleet_state.hpp"

#include "state/job_cost.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Returns the step of the run, null if it has not begun or has ended.
template <typename Jobs>
auto find_step_in(Jobs& jobs, const run_ref& run)
    -> decltype(&jobs.begin()->second.occurrences.begin()->second.steps.front())
{
    const auto job = jobs.find(run.job());
    if (job == jobs.end())
    {
        return nullptr;
    }
    const auto at = job->second.occurrences.find(run.occurrence());
    if (at == job->second.occurrences.end() ||
        run.step() >= at->second.steps.size())
    {
        return nullptr;
    }
    return &at->second.steps[run.step()];
}

} // namespace

job_holder holder_of(const accepted_job& job)
{
    return job.account().empty() ? job_holder{"", job.queue()}
                                 : job_holder{job.account(), ""};
}

std::uint32_t occurrence_count(const job_spec& spec)
{
    return std::max(spec.repeat_count(), 1U);
}

apply_result fleet_state::apply(const fleet_command& command)
{
    switch (command.body_case())
    {
    case fleet_command::kPutDocument:
        return put_document(command.put_document());
    case fleet_command::kAccept:
        return accept(command.accept());
    case fleet_command::kCancel:
        return cancel(command.cancel().job());
    case fleet_command::kPlace:
        return place(command.place());
    case fleet_command::kEnd:
        return end(command.end());
    case fleet_command::kWorker:
        return put_worker(command.worker());
    case fleet_command::kRemoveWorker:
        return remove_worker(command.remove_worker());
    case fleet_command::kFail:
        return fail(command.fail());
    case fleet_command::kFinish:
        return finish(command.finish());
    case fleet_command::kCrash:
        return record_crashes(command.crash());
    case fleet_command::kSurvivedRun:
        return record_survival(command.survived_run());
    case fleet_command::kEvacuation:
        return set_evacuated(command.evacuation());
    case fleet_command::kForget:
        return forget(command.forget().job());
    default:
        return apply_result::refused;
    }
}

apply_result fleet_state::put_document(const stored_document& document)
{
    if (document.version() > document_.version())
    {
        document_ = document;
        return apply_result::changed;
    }
    if (document.version() == document_.version() &&
        document.text() != document_.text())
    {
        return apply_result::refused;
    }
    return apply_result::unchanged;
}

apply_result fleet_state::accept(const accepted_job& job)
{
    const auto [found, added] = jobs_.try_emplace(job.id());
    if (!added)
    {
        return apply_result::unchanged;
    }
    add_job(found->second, job);
    return apply_result::changed;
}

void fleet_state::add_job(job_state& state, accepted_job job)
{
    state.job = std::move(job);
    state.order = next_order_++;
    state.cost = job_cost(state.job);
    jobs_cost_ += state.cost;
    cost_by_holder_[holder_of(state.job)] += state.cost;
}

apply_result fleet_state::forget(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        return apply_result::unchanged;
    }
    const auto cost = found->second.cost;
    jobs_cost_ -= cost;
    const auto holder = cost_by_holder_.find(holder_of(found->second.job));
    holder->second -= cost;
    if (holder->second == 0)
    {
        cost_by_holder_.erase(holder);
    }
    jobs_.erase(found);
    return apply_result::changed;
}

std::size_t fleet_state::jobs_cost(const job_holder& holder) const
{
    const auto found = cost_by_holder_.find(holder);
    return found == cost_by_holder_.end() ? 0 : found->second;
}

apply_result fleet_state::cancel(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        return apply_result::refused;
    }
    if (found->second.ended())
    {
        return apply_result::unchanged;
    }
    found->second.cancelled = true;
    return apply_result::changed;
}

occurrence_state& fleet_state::occurrence(job_state& job, std::uint32_t number)
{
    const auto [found, added] = job.occurrences.try_emplace(number);
    if (added)
    {
        found->second.steps = new_steps(job.job.spec());
    }
    return found->second;
}

// Counts the occurrence when it is done, and forgets its state when no run of
// it may be present any more.
void fleet_state::record_occurrence_end(job_state& job, std::uint32_t number)
{
    const auto at = job.occurrences.find(number);
    auto& occurrence = at->second;
    const auto& steps = occurrence.steps;
    if (!occurrence.done && std::all_of(steps.begin(), steps.end(), is_done))
    {
        occurrence.done = true;
        ++job.done_occurrences;
    }
    if (occurrence.done && std::all_of(steps.begin(), steps.end(),
                                       [](const step_state& step)
                                       {
                                           return step.active.empty();
                                       }))
    {
        job.ended_occurrences.insert(at->first);
        job.occurrences.erase(at);
    }
}

apply_result fleet_state::place(const placement& placed)
{
    const auto& run = placed.run();
    const auto found = jobs_.find(run.job());
    const auto worker = workers_.find(placed.worker());
    if (found == jobs_.end() || found->second.ended() ||
        worker == workers_.end() ||
        worker->second.born_ms() != placed.born_ms() || run.run() == 0 ||
        run.occurrence() >= occurrence_count(found->second.job.spec()) ||
        found->second.ended_occurrences.contains(run.occurrence()) ||
        run.step() >=
            static_cast<std::uint32_t>(found->second.job.spec().steps_size()))
    {
        return apply_result::refused;
    }
    auto& job = found->second;
    auto& step = occurrence(job, run.occurrence()).steps[run.step()];
    if (run.index() >= step.subtask_count || step.done.contains(run.index()))
    {
        return apply_result::refused;
    }
    auto& subtask = step.subtasks[run.index()];
    if (run.run() <= subtask.last_run)
    {
        return apply_result::refused;
    }
    subtask.last_run = run.run();
    subtask.active.push_back({run.run(), {placed.worker(), placed.born_ms()}});
    step.active.insert(run.index());
    job.started = true;
    return apply_result::changed;
}

apply_result fleet_state::end(const ended_run& ended)
{
    const auto& run = ended.run();
    const auto found = jobs_.find(run.job());
    if (found == jobs_.end())
    {
        return apply_result::refused;
    }
    auto& job = found->second;
    if (job.ended_occurrences.contains(run.occurrence()))
    {
        return apply_result::unchanged;
    }
    const auto at = job.occurrences.find(run.occurrence());
    if (at == job.occurrences.end() || run.step() >= at->second.steps.size() ||
        run.index() >= at->second.steps[run.step()].subtask_count)
    {
        return apply_result::refused;
    }
    auto& step = at->second.steps[run.step()];
    const auto recorded = step.subtasks.find(run.index());
    if (recorded == step.subtasks.end())
    {
        return apply_result::unchanged;
    }
    auto& subtask = recorded->second;
    const worker_incarnation incarnation{ended.worker(), ended.born_ms()};
    const auto active = std::find_if(
        subtask.active.begin(), subtask.active.end(),
        [&](const active_run& item)
        {
            return item.run == run.run() && item.incarnation == incarnation;
        });
    const auto& spec = job.job.spec().steps(static_cast<int>(run.step()));
    if (active == subtask.active.end())
    {
        // The run was ended as lapsed before its worker listed that it is done.
        if (ended.end() != run_done || spec.lasting() ||
            step.done.contains(run.index()) || run.run() == 0 ||
            run.run() > subtask.last_run)
        {
            return apply_result::unchanged;
        }
        record_done(step, spec, run.index(), run.run());
        record_occurrence_end(job, run.occurrence());
        return apply_result::changed;
    }
    subtask.active.erase(active);
    if (subtask.active.empty())
    {
        step.active.erase(run.index());
    }
    if (!ended.checkpoint().empty())
    {
        subtask.checkpoint = ended.checkpoint();
        step.checkpoint = ended.checkpoint();
    }
    if (ended.end() == run_done && !spec.lasting())
    {
        record_done(step, spec, run.index(), run.run());
    }
    else if (ended.end() == run_failed)
    {
        record_failure(step, run.index());
        if (run.run() > step.last_failed_run)
        {
            step.last_failed_run = run.run();
            ++step.failures;
        }
    }
    drop_if_ended(step, run.index());
    record_occurrence_end(job, run.occurrence());
    return apply_result::changed;
}

apply_result fleet_state::fail(const finished_job& job)
{
    const auto found = jobs_.find(job.job());
    if (found == jobs_.end() || found->second.ended())
    {
        return apply_result::unchanged;
    }
    found->second.failed = true;
    found->second.failure_reason = job.reason();
    found->second.finished_ms = job.at_ms();
    return apply_result::changed;
}

apply_result fleet_state::finish(const finished_job& job)
{
    const auto found = jobs_.find(job.job());
    if (found == jobs_.end())
    {
        return apply_result::unchanged;
    }
    auto& state = found->second;
    if (!state.ended())
    {
        if (state.done_occurrences < occurrence_count(state.job.spec()))
        {
            return apply_result::refused;
        }
        state.complete = true;
    }
    if (state.finished_ms == 0)
    {
        state.finished_ms = job.at_ms();
    }
    return apply_result::changed;
}

// Records a crash once for each run under which a worker crashed.
apply_result fleet_state::record_crashes(const worker_crash& crash)
{
    auto result = apply_result::unchanged;
    const auto cause = crash.conclusive() ? crash_cause::sole
                       : crash.shared()   ? crash_cause::shared
                                          : crash_cause::unknown;
    for (const auto& run : crash.suspects())
    {
        auto* const step = mutable_step(run);
        if (step != nullptr &&
            fleet::record_crash(*step, run.index(),
                                {run.run(), crash.worker(), crash.address(),
                                 crash.at_ms(), cause}))
        {
            result = apply_result::changed;
        }
    }
    return result;
}

apply_result fleet_state::record_survival(const run_ref& run)
{
    auto* const step = mutable_step(run);
    return step != nullptr &&
                   fleet::record_survival(*step, run.index(), run.run())
               ? apply_result::changed
               : apply_result::unchanged;
}

const job_state* fleet_state::find_job(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const step_state* fleet_state::find_step(const run_ref& run) const
{
    return find_step_in(jobs_, run);
}

step_state* fleet_state::mutable_step(const run_ref& run)
{
    return find_step_in(jobs_, run);
}

const subtask_state* fleet_state::find_subtask(const run_ref& run) const
{
    const auto* const step = find_step(run);
    if (step == nullptr)
    {
        return nullptr;
    }
    const auto found = step->subtasks.find(run.index());
    return found == step->subtasks.end() ? nullptr : &found->second;
}

bool fleet_state::is_subtask_done(const run_ref& run) const
{
    const auto* const job = find_job(run.job());
    if (job != nullptr && job->ended_occurrences.contains(run.occurrence()))
    {
        return true;
    }
    const auto* const step = find_step(run);
    return step != nullptr && step->done.contains(run.index());
}

bool fleet_state::is_active(const run_ref& run,
                            const worker_incarnation& incarnation) const
{
    const auto* const subtask = find_subtask(run);
    return subtask != nullptr &&
           std::any_of(subtask->active.begin(), subtask->active.end(),
                       [&](const active_run& item)
                       {
                           return item.run == run.run() &&
                                  item.incarnation == incarnation;
                       });
}

} // namespace limpetstack::fleet
