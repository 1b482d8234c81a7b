#include "coordination/gang_coordinator_impl.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{

void gang_coordinator::implementation::begin_stop(gang& g, gang_end end,
                                                  const std::string& reason,
                                                  const lock& /*held*/)
{
    g.phase = gang_phase::stopping;
    g.end = g.cancelled ? gang_end::cancelled : end;
    g.reason = g.cancelled ? "cancelled" : reason;
}

void gang_coordinator::implementation::stop_gangs(const tenure& t, bool again)
{
    call_batch batch;
    {
        const lock held(mutex_);
        if (tenure_.generation != t.generation)
        {
            return;
        }
        for (auto& entry : gangs_)
        {
            auto& g = entry.second;
            if (g.cancelled && g.phase == gang_phase::running)
            {
                begin_stop(g, gang_end::cancelled, "cancelled", held);
            }
            if (g.phase != gang_phase::stopping || g.reclaimed ||
                (g.stop_sent && !again))
            {
                continue;
            }
            g.stop_sent = true;
            for (std::size_t i = 0; i < g.members.size(); ++i)
            {
                if (!g.members[i].ended)
                {
                    batch.add(g, i, t.epoch, timing_.lease);
                }
            }
        }
    }
    if (batch.calls().empty())
    {
        return;
    }
    calls_.run(worker_action::stop, batch.calls(), timing_.call_timeout);
    const lock held(mutex_);
    if (tenure_.generation == t.generation)
    {
        take_answers(worker_action::stop, batch.calls(), held);
    }
}

void gang_coordinator::implementation::end_gangs(const tenure& t)
{
    std::vector<std::string> ids;
    {
        const lock held(mutex_);
        const auto now = timers_.now();
        for (auto& [id, g] : gangs_)
        {
            if (tenure_.generation != t.generation ||
                g.phase != gang_phase::stopping || g.ending || g.reclaimed)
            {
                continue;
            }
            // Workers that have not announced themselves for a whole
            // announcement lease run nothing for an owner before this one.
            const bool gone =
                std::none_of(g.members.begin(), g.members.end(),
                             [this](const auto& m)
                             {
                                 return !m.ended && places_.count(m.worker) > 0;
                             });
            g.fenced = g.fenced || gone;
            if (certainly_stopped(g, now))
            {
                g.ending = true;
                ids.push_back(id);
            }
        }
    }
    for (const auto& id : ids)
    {
        calls_.spawn(
            [this, id, t]
            {
                end_gang(id, t);
            });
    }
}

wire::job_record
gang_coordinator::implementation::end_record(const gang& g,
                                             const lock& /*held*/)
{
    auto job = g.record;
    job.set_progress(gang_progress(g));
    job.set_reason(g.reason);
    auto end = g.cancelled ? gang_end::cancelled : g.end;
    if (std::all_of(g.members.begin(), g.members.end(),
                    [](const auto& m)
                    {
                        return m.done;
                    }))
    {
        end = gang_end::done; // All members finished before the stop.
        job.clear_reason();
    }
    const auto failures = failures_.find(job.id());
    const auto failed = failures == failures_.end() ? 0 : failures->second;
    if (end == gang_end::failure && failed + 1 >= timing_.max_attempts)
    {
        job.set_state("failed");
    }
    else if (end == gang_end::requeue || end == gang_end::failure)
    {
        job.set_state("queued");
        job.set_attempt(job.attempt() + 1);
        job.clear_placement();
        return job;
    }
    else
    {
        job.set_state(end == gang_end::done ? "done" : "cancelled");
    }
    if (job.state() == "done")
    {
        job.set_progress(1);
    }
    job.set_finished_ms(wall_clock_ms());
    return job;
}

void gang_coordinator::implementation::end_gang(const std::string& id,
                                                const tenure& t)
{
    const std::lock_guard writing(write_lock(id));
    wire::job_record job;
    {
        const lock held(mutex_);
        const auto* g = find(id, t, held);
        if (g == nullptr)
        {
            return;
        }
        job = end_record(*g, held);
    }
    const bool written = journal_.write_job(job).ok();
    const lock held(mutex_);
    auto* g = find(id, t, held);
    if (g == nullptr)
    {
        return;
    }
    g->ending = false;
    // A cancellation may have come in between; then the end is written again.
    if (written && (!g->cancelled || job.state() != "queued"))
    {
        forget(id, job, held);
    }
}

void gang_coordinator::implementation::forget(const std::string& id,
                                              const wire::job_record& written,
                                              const lock& /*held*/)
{
    const auto g = std::move(gangs_.at(id));
    gangs_.erase(id);
    std::optional<milliseconds> ran;
    if (written.state() == "done")
    {
        // Scaled to the whole job when it continued from a checkpoint.
        const auto part = std::max(0.05, 1 - g.start_progress);
        const auto time =
            static_cast<double>((timers_.now() - g.started).count());
        ran = milliseconds(static_cast<milliseconds::rep>(time / part));
    }
    scheduler_.finished(id, ran);
    counters_.add("gangs_ended_total{state=\"" + written.state() + "\"}");
    if (written.state() != "queued")
    {
        failures_.erase(id);
        return;
    }
    if (g.end == gang_end::failure)
    {
        ++failures_[id];
    }
    scheduler_.submit(queued_job_of(written), true);
}

} // namespace limpetstack
