#include "base/log.hpp"
#include "coordination/gang_coordinator_impl.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Progress is journaled in steps, at most ten records for a job.
constexpr double progress_step = 0.1;

} // namespace

void gang_coordinator::implementation::renew()
{
    tenure t;
    {
        const lock held(mutex_);
        // Another epoch is taken over by the scheduling timer.
        if (!owner_now())
        {
            return;
        }
        t = tenure_;
    }
    const auto began = timers_.now();
    renew_wave(t, wave::ask, began);
    renew_wave(t, wave::confirm, began);
    renew_wave(t, wave::again, began);
    renew_wave(t, wave::confirm, began);
    {
        const lock held(mutex_);
        refusing_ = {};
    }
    judge_gangs(t);
    stop_gangs(t, true);
    journal_progress(t);
}

bool gang_coordinator::implementation::in_wave(const gang& g, wave kind,
                                               time_point began) const
{
    if (g.phase != gang_phase::running)
    {
        return false;
    }
    const bool all_seen = oldest_seen(g) >= began;
    return kind == wave::ask || (kind == wave::again && !all_seen) ||
           (kind == wave::confirm && all_seen &&
            (g.confirmed != began || began == time_point{}));
}

void gang_coordinator::implementation::renew_wave(const tenure& t, wave kind,
                                                  time_point began)
{
    // The lease that is granted ends one lease after the time at which all
    // members were last seen running. Whatever is lost from then on, no member
    // outlives the first that stopped by more than one lease.
    call_batch batch;
    {
        const lock held(mutex_);
        if (!journal_.owned() || tenure_.generation != t.generation)
        {
            return;
        }
        const auto now = timers_.now();
        for (auto& entry : gangs_)
        {
            auto& g = entry.second;
            const auto lease = oldest_seen(g) == time_point::max()
                                   ? milliseconds(0)
                                   : oldest_seen(g) + timing_.lease - now;
            if (!in_wave(g, kind, began) || lease <= milliseconds(0))
            {
                continue;
            }
            if (kind == wave::confirm)
            {
                g.confirmed = began;
            }
            for (std::size_t i = 0; i < g.members.size(); ++i)
            {
                auto& m = g.members[i];
                const bool called =
                    kind == wave::ask ? silent_.count(m.worker) == 0
                                      : kind == wave::confirm || m.seen < began;
                if (!m.ended && called)
                {
                    expect_extension(m, lease, now);
                    batch.add(g, i, t.epoch, lease,
                              refusing_.count(m.worker) > 0);
                }
            }
        }
    }
    calls_.run(worker_action::renew, batch.calls(), timing_.call_timeout);
    const lock held(mutex_);
    if (tenure_.generation != t.generation)
    {
        return;
    }
    for (const auto& call : batch.calls())
    {
        if (call.result.ok())
        {
            silent_.erase(call.worker);
            continue;
        }
        silent_.insert(call.worker);
        avoid_until_[call.worker] = timers_.now() + timing_.lease;
        if (absl::IsFailedPrecondition(call.result.status()))
        {
            refusing_.insert(call.worker);
        }
    }
    take_answers(worker_action::renew, batch.calls(), held);
}

void gang_coordinator::implementation::take_answers(
    worker_action action, const std::vector<worker_call>& calls,
    const lock& held)
{
    for (const auto& call : calls)
    {
        for (const auto& order : call.request.tasks)
        {
            const auto found = gangs_.find(order.job);
            if (found != gangs_.end() &&
                found->second.record.attempt() == order.attempt)
            {
                take_answer(action, found->second, call, order, held);
            }
        }
    }
}

void gang_coordinator::implementation::take_answer(worker_action action,
                                                   gang& g,
                                                   const worker_call& call,
                                                   const task_order& order,
                                                   const lock& held)
{
    auto& m = g.members[order.member];
    if (!call.result.ok())
    {
        // Other actions extend no lease.
        if (action == worker_action::commit || action == worker_action::renew)
        {
            miss_extension(m, call.request.lease, timing_.lease, call.sent);
        }
        return;
    }
    if (!g.fenced)
    {
        // From here on the owner before can not renew the whole gang.
        g.fenced = true;
        for (auto& other : g.members)
        {
            other.lapse =
                std::max(other.lapse, call.answered + 2 * timing_.lease);
        }
    }
    const auto status = call.status_of(order);
    m.progress = std::max(m.progress, status.progress);
    if (action == worker_action::stop)
    {
        m.ended = true;
        m.done = m.done || status.state == task_state::done;
    }
    else if (status.state == task_state::running)
    {
        confirm_extension(m, call.request.lease, call.sent, call.answered);
    }
    else if (action != worker_action::checkpoint ||
             status.state != task_state::checkpointed)
    {
        take_status(g, m, status, held);
    }
}

void gang_coordinator::implementation::take_status(gang& g, gang_member& m,
                                                   const task_status& status,
                                                   const lock& held)
{
    const bool was_live =
        g.phase == gang_phase::running || g.phase == gang_phase::starting;
    if (status.state == task_state::reserved)
    {
        // Not started; the reservation ends by itself.
        return;
    }
    m.ended = status.state != task_state::checkpointed;
    if (status.state == task_state::done)
    {
        m.done = true;
        m.progress = 1;
        return;
    }
    if (!was_live)
    {
        return;
    }
    if (!g.proven)
    {
        note_start(m.worker, g.record.id(), true, held);
    }
    if (status.state == task_state::checkpointed)
    {
        // An owner before this one was about to stop it.
        begin_stop(g, gang_end::requeue, "checkpointed", held);
        return;
    }
    begin_stop(g, gang_end::failure,
               "a member " +
                   std::string(status.state == task_state::failed
                                   ? "failed"
                                   : "was lost") +
                   " on worker " + m.worker,
               held);
}

void gang_coordinator::implementation::judge_gangs(const tenure& t)
{
    const lock held(mutex_);
    if (tenure_.generation != t.generation)
    {
        return;
    }
    const auto now = timers_.now();
    for (auto& [id, g] : gangs_)
    {
        if (g.phase != gang_phase::running)
        {
            continue;
        }
        if (std::all_of(g.members.begin(), g.members.end(),
                        [](const auto& m)
                        {
                            return m.done;
                        }))
        {
            begin_stop(g, gang_end::done, "", held);
            continue;
        }
        const auto oldest = oldest_seen(g);
        // The next renewal would come too late.
        if (oldest + timing_.lease <=
            now + timing_.lease / 3 + timing_.call_timeout)
        {
            for (const auto& m : g.members)
            {
                if (!m.ended && m.seen == oldest)
                {
                    begin_stop(g, gang_end::failure,
                               "no contact with worker " + m.worker, held);
                    break;
                }
            }
            continue;
        }
        if (!g.proven && oldest > g.started)
        {
            g.proven = true;
            for (const auto& m : g.members)
            {
                note_start(m.worker, id, false, held);
            }
        }
    }
}

void gang_coordinator::implementation::journal_progress(const tenure& t)
{
    std::vector<std::string> ids;
    {
        const lock held(mutex_);
        for (auto& [id, g] : gangs_)
        {
            const auto progress = gang_progress(g);
            if (tenure_.generation != t.generation ||
                g.phase != gang_phase::running || progress <= g.saved_progress)
            {
                continue;
            }
            g.saved_progress = progress;
            scheduler_.saved(id, timers_.now());
            // Only attempts in a row without progress make a job fail.
            failures_.erase(id);
            if (progress >= g.journaled_progress + progress_step)
            {
                g.journaled_progress = progress;
                g.record.set_progress(progress);
                ids.push_back(id);
            }
        }
    }
    for (const auto& id : ids)
    {
        calls_.spawn(
            [this, id, t]
            {
                write_start(id, "running", t);
            });
    }
}

} // namespace limpetstack
