#include "state/fleet_state.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
std::uint32_t occurrence_count(const job_spec& spec)
{
    return std::max(spec.repeat_count(), 1U);
}

bool is_done(const step_state& step)
{
    return step.done_count == step.subtasks.size();
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
        return record_crash(command.crash());
    case fleet_command::kForget:
        return jobs_.erase(command.forget().job()) > 0
                   ? apply_result::changed
                   : apply_result::unchanged;
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
    found->second.job = job;
    found->second.order = next_order_++;
    return apply_result::changed;
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
        for (const auto& spec : job.job.spec().steps())
        {
            found->second.steps.emplace_back();
            found->second.steps.back().subtasks.resize(spec.subtask_count());
        }
    }
    return found->second;
}

apply_result fleet_state::place(const placement& placed)
{
    const auto& run = placed.run();
    const auto found = jobs_.find(run.job());
    const auto worker = workers_.find(placed.worker());
    if (found == jobs_.end() || found->second.ended() ||
        worker == workers_.end() ||
        worker->second.born_ms() != placed.born_ms() ||
        run.occurrence() >= occurrence_count(found->second.job.spec()) ||
        run.step() >=
            static_cast<std::uint32_t>(found->second.job.spec().steps_size()))
    {
        return apply_result::refused;
    }
    auto& job = found->second;
    auto& step = occurrence(job, run.occurrence()).steps[run.step()];
    if (run.index() >= step.subtasks.size())
    {
        return apply_result::refused;
    }
    auto& subtask = step.subtasks[run.index()];
    if (subtask.done || run.run() <= subtask.last_run)
    {
        return apply_result::refused;
    }
    subtask.last_run = run.run();
    subtask.active.push_back({run.run(), {placed.worker(), placed.born_ms()}});
    ++step.active_count;
    job.started = true;
    return apply_result::changed;
}

void fleet_state::record_done(job_state& job, occurrence_state& occurrence,
                              step_state& step, const step_spec& spec,
                              subtask_state& subtask)
{
    if (spec.gang())
    {
        // The members of a gang end together, so the first listed end completes
        // all of them.
        for (auto& member : step.subtasks)
        {
            member.done = true;
        }
        step.done_count = static_cast<std::uint32_t>(step.subtasks.size());
    }
    else if (!subtask.done)
    {
        subtask.done = true;
        ++step.done_count;
    }
    if (!occurrence.done &&
        std::all_of(occurrence.steps.begin(), occurrence.steps.end(), is_done))
    {
        occurrence.done = true;
        ++job.done_occurrences;
    }
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
    const auto at = job.occurrences.find(run.occurrence());
    if (at == job.occurrences.end() || run.step() >= at->second.steps.size() ||
        run.index() >= at->second.steps[run.step()].subtasks.size())
    {
        return apply_result::refused;
    }
    auto& step = at->second.steps[run.step()];
    auto& subtask = step.subtasks[run.index()];
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
        if (ended.end() != run_done || spec.lasting() || subtask.done ||
            run.run() == 0 || run.run() > subtask.last_run)
        {
            return apply_result::unchanged;
        }
        record_done(job, at->second, step, spec, subtask);
        return apply_result::changed;
    }
    subtask.active.erase(active);
    --step.active_count;
    if (!ended.checkpoint().empty())
    {
        subtask.checkpoint = ended.checkpoint();
        step.checkpoint = ended.checkpoint();
    }
    if (ended.end() == run_done && !spec.lasting())
    {
        record_done(job, at->second, step, spec, subtask);
    }
    else if (ended.end() == run_failed)
    {
        ++subtask.failures;
        if (run.run() > step.last_failed_run)
        {
            step.last_failed_run = run.run();
            ++step.failures;
        }
    }
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

// Counts a crash once for each run under which a worker crashed.
apply_result fleet_state::record_crash(const worker_crash& crash)
{
    auto result = apply_result::unchanged;
    for (const auto& run : crash.suspects())
    {
        const auto found = jobs_.find(run.job());
        if (found == jobs_.end())
        {
            continue;
        }
        const auto at = found->second.occurrences.find(run.occurrence());
        if (at == found->second.occurrences.end() ||
            run.step() >= at->second.steps.size() ||
            run.index() >= at->second.steps[run.step()].subtasks.size())
        {
            continue;
        }
        auto& subtask = at->second.steps[run.step()].subtasks[run.index()];
        if (subtask.done || run.run() > subtask.last_run ||
            run.run() <= subtask.last_crashed_run)
        {
            continue;
        }
        subtask.last_crashed_run = run.run();
        ++subtask.crashes;
        subtask.conclusive_crashes += crash.conclusive() ? 1 : 0;
        result = apply_result::changed;
    }
    return result;
}

const job_state* fleet_state::find_job(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const step_state* fleet_state::find_step(const run_ref& run) const
{
    const auto* const job = find_job(run.job());
    if (job == nullptr)
    {
        return nullptr;
    }
    const auto at = job->occurrences.find(run.occurrence());
    if (at == job->occurrences.end() || run.step() >= at->second.steps.size())
    {
        return nullptr;
    }
    return &at->second.steps[run.step()];
}

const subtask_state* fleet_state::find_subtask(const run_ref& run) const
{
    const auto* const step = find_step(run);
    return step == nullptr || run.index() >= step->subtasks.size()
               ? nullptr
               : &step->subtasks[run.index()];
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

std::string fleet_state::snapshot() const
{
    fleet_snapshot out;
    *out.mutable_document() = document_;
    std::vector<const job_state*> ordered;
    for (const auto& [id, job] : jobs_)
    {
        ordered.push_back(&job);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const job_state* a, const job_state* b)
              {
                  return a->order < b->order;
              });
    for (const auto* job : ordered)
    {
        auto& saved = *out.add_jobs();
        *saved.mutable_job() = job->job;
        saved.set_cancelled(job->cancelled);
        saved.set_failed(job->failed);
        saved.set_complete(job->complete);
        saved.set_started(job->started);
        saved.set_finished_ms(job->finished_ms);
        for (const auto& [number, occurrence] : job->occurrences)
        {
            auto& saved_occurrence = *saved.add_occurrences();
            saved_occurrence.set_occurrence(number);
            saved_occurrence.set_done(occurrence.done);
            for (const auto& step : occurrence.steps)
            {
                auto& saved_step = *saved_occurrence.add_steps();
                saved_step.set_failures(step.failures);
                saved_step.set_last_failed_run(step.last_failed_run);
                saved_step.set_checkpoint(step.checkpoint);
                for (const auto& subtask : step.subtasks)
                {
                    auto& item = *saved_step.add_subtasks();
                    item.set_done(subtask.done);
                    item.set_last_run(subtask.last_run);
                    item.set_failures(subtask.failures);
                    item.set_crashes(subtask.crashes);
                    item.set_conclusive_crashes(subtask.conclusive_crashes);
                    item.set_last_crashed_run(subtask.last_crashed_run);
                    item.set_checkpoint(subtask.checkpoint);
                    for (const auto& active : subtask.active)
                    {
                        auto& run = *item.add_active();
                        run.mutable_run()->set_run(active.run);
                        run.set_worker(active.incarnation.worker);
                        run.set_born_ms(active.incarnation.born_ms);
                    }
                }
            }
        }
    }
    for (const auto& [id, worker] : workers_)
    {
        *out.add_workers() = worker;
    }
    for (const auto& incarnation : gone_workers_)
    {
        auto& saved = *out.add_gone_workers();
        saved.set_id(incarnation.worker);
        saved.set_born_ms(incarnation.born_ms);
        saved.set_gone(true);
    }
    return out.SerializeAsString();
}

bool fleet_state::restore(const std::string& data)
{
    fleet_snapshot in;
    if (!in.ParseFromString(data))
    {
        return false;
    }
    *this = fleet_state();
    document_ = in.document();
    for (const auto& saved : in.jobs())
    {
        auto& job = jobs_[saved.job().id()];
        job.job = saved.job();
        job.order = next_order_++;
        job.cancelled = saved.cancelled();
        job.failed = saved.failed();
        job.complete = saved.complete();
        job.started = saved.started();
        job.finished_ms = saved.finished_ms();
        for (const auto& saved_occurrence : saved.occurrences())
        {
            auto& occurrence = job.occurrences[saved_occurrence.occurrence()];
            occurrence.done = saved_occurrence.done();
            job.done_occurrences += occurrence.done ? 1 : 0;
            for (const auto& saved_step : saved_occurrence.steps())
            {
                auto& step = occurrence.steps.emplace_back();
                step.failures = saved_step.failures();
                step.last_failed_run = saved_step.last_failed_run();
                step.checkpoint = saved_step.checkpoint();
                for (const auto& item : saved_step.subtasks())
                {
                    auto& subtask = step.subtasks.emplace_back();
                    subtask.done = item.done();
                    subtask.last_run = item.last_run();
                    subtask.failures = item.failures();
                    subtask.crashes = item.crashes();
                    subtask.conclusive_crashes = item.conclusive_crashes();
                    subtask.last_crashed_run = item.last_crashed_run();
                    subtask.checkpoint = item.checkpoint();
                    step.done_count += subtask.done ? 1 : 0;
                    for (const auto& run : item.active())
                    {
                        subtask.active.push_back(
                            {run.run().run(), {run.worker(), run.born_ms()}});
                        ++step.active_count;
                    }
                }
            }
        }
    }
    for (const auto& worker : in.workers())
    {
        workers_[worker.id()] = worker;
    }
    for (const auto& worker : in.gone_workers())
    {
        remember_gone({worker.id(), worker.born_ms()});
    }
    return true;
}

} // namespace limpetstack::fleet
