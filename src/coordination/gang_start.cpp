#include "base/log.hpp"
#include "coordination/gang_coordinator_impl.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Starts begun in one scheduling interval; bounds the calls and journal
// records that a burst of small jobs causes at once.
constexpr std::size_t starts_per_interval = 32;

} // namespace

void gang_coordinator::implementation::schedule()
{
    tenure t;
    if (!follow_ownership(t))
    {
        return;
    }
    stop_gangs(t, false);
    end_gangs(t);
    std::vector<wire::worker_entry> live;
    bool refresh = false;
    {
        const lock held(mutex_);
        refresh = timers_.now() >= refreshed_ + timing_.lease / 3;
    }
    if (refresh)
    {
        live = workers_();
    }
    std::vector<start_decision> decisions;
    {
        const lock held(mutex_);
        if (tenure_.generation != t.generation)
        {
            return;
        }
        if (refresh)
        {
            refresh_workers(live, held);
        }
        decisions = decide(held);
    }
    for (auto& decision : decisions)
    {
        calls_.spawn(
            [this, decision = std::move(decision), t]
            {
                run_decision(decision, t);
            });
    }
}

std::vector<start_decision>
gang_coordinator::implementation::decide(const lock& held)
{
    const auto now = timers_.now();
    scheduler_.set_evacuated(evacuated());
    auto decisions = scheduler_.decide(now, starts_per_interval);
    for (const auto& decision : decisions)
    {
        for (const auto& victim : decision.victims)
        {
            auto& g = gangs_.at(victim);
            begin_stop(g, gang_end::requeue,
                       "stopped for work inside an account's guarantee", held);
            g.reclaimed = true;
            counters_.add("gangs_reclaimed_total");
        }
        if (!decision.victims.empty())
        {
            continue;
        }
        auto job = journal_.job(decision.id);
        if (!job || job->state() != "queued")
        {
            scheduler_.finished(decision.id, std::nullopt);
            continue;
        }
        gangs_[decision.id] = new_gang(std::move(*job), decision.placement);
        for (const auto& worker : decision.placement)
        {
            quarantine_.started(worker, now);
        }
    }
    return decisions;
}

gang gang_coordinator::implementation::new_gang(
    wire::job_record job, const gang_placement& placement) const
{
    gang g;
    g.record = std::move(job);
    g.record.clear_placement();
    g.start_progress = g.record.progress();
    g.saved_progress = g.record.progress();
    g.journaled_progress = g.record.progress();
    for (const auto& worker : placement)
    {
        gang_member m;
        m.worker = worker;
        m.progress = g.record.progress();
        auto& placed = *g.record.add_placement();
        placed.set_member(static_cast<std::uint32_t>(g.members.size()));
        placed.set_worker(worker);
        const auto place = places_.find(worker);
        if (place != places_.end())
        {
            m.address = place->second.address;
            placed.set_rack(place->second.rack);
            placed.set_address(place->second.address);
        }
        g.members.push_back(std::move(m));
    }
    return g;
}

void gang_coordinator::implementation::run_decision(
    const start_decision& decision, const tenure& t)
{
    if (decision.victims.empty())
    {
        start_gang(decision.id, t);
        return;
    }
    stop_victims(decision.victims, t);
}

void gang_coordinator::implementation::stop_victims(
    const std::vector<std::string>& victims, const tenure& t)
{
    call_batch batch;
    {
        const lock held(mutex_);
        for (const auto& id : victims)
        {
            auto* g = find(id, t, held);
            for (std::size_t i = 0; g != nullptr && i < g->members.size(); ++i)
            {
                if (!g->members[i].ended)
                {
                    batch.add(*g, i, t.epoch, timing_.lease);
                }
            }
        }
    }
    calls_.run(worker_action::checkpoint, batch.calls(),
               timing_.checkpoint_timeout);
    {
        const lock held(mutex_);
        if (tenure_.generation != t.generation)
        {
            return;
        }
        take_answers(worker_action::checkpoint, batch.calls(), held);
        for (const auto& id : victims)
        {
            if (auto* g = find(id, t, held))
            {
                g->reclaimed = false;
            }
        }
    }
    stop_gangs(t, false);
}

void gang_coordinator::implementation::start_gang(const std::string& id,
                                                  const tenure& t)
{
    gang g;
    {
        const lock held(mutex_);
        const auto* found = find(id, t, held);
        if (found == nullptr || found->phase != gang_phase::starting)
        {
            return;
        }
        g = *found;
    }
    const auto began = timers_.now();
    auto failure = reserve_all(g, t);
    if (!failure.empty())
    {
        abandon_start(id, failure, t);
        return;
    }
    if (!write_start(id, "starting", t))
    {
        abandon_start(id, "the journal did not confirm the placement", t);
        return;
    }
    failure = commit_all(g, t);
    if (!failure.empty())
    {
        abandon_start(id, failure, t);
        return;
    }
    if (!write_start(id, "running", t))
    {
        abandon_start(id, "the journal did not confirm the start", t);
        return;
    }
    counters_.add("gangs_started_total");
    counters_.observe("gang_start_ms",
                      static_cast<double>((timers_.now() - began).count()));
}

std::string gang_coordinator::implementation::reserve_all(const gang& g,
                                                          const tenure& t)
{
    call_batch batch;
    for (std::size_t i = 0; i < g.members.size(); ++i)
    {
        batch.add(g, i, t.epoch, timing_.lease);
    }
    calls_.run(worker_action::reserve, batch.calls(), timing_.call_timeout);
    std::string failure;
    const lock held(mutex_);
    for (const auto& call : batch.calls())
    {
        const auto& tasks = call.request.tasks;
        const bool reserved =
            call.result.ok() &&
            std::all_of(tasks.begin(), tasks.end(),
                        [&call](const auto& order)
                        {
                            return call.status_of(order).state ==
                                   task_state::reserved;
                        });
        if (!reserved)
        {
            failure = "worker " + call.worker + " did not reserve";
            // Its announcement may be older than what it runs.
            avoid_until_[call.worker] = timers_.now() + timing_.lease;
            scheduler_.enable_worker(call.worker, false, true);
            note_start(call.worker, g.record.id(), true, held);
        }
    }
    return failure;
}

std::string gang_coordinator::implementation::commit_all(const gang& g,
                                                         const tenure& t)
{
    call_batch batch;
    {
        const lock held(mutex_);
        auto* found = find(g.record.id(), t, held);
        if (found == nullptr || found->phase != gang_phase::starting ||
            found->cancelled)
        {
            return "the start was withdrawn";
        }
        if (evacuated())
        {
            return "data centre " + data_centre_ + " is evacuated";
        }
        const auto now = timers_.now();
        found->started = now;
        for (std::size_t i = 0; i < found->members.size(); ++i)
        {
            // The reservation ends at most one lease from now, and a commit
            // that arrives before that starts another.
            found->members[i].lapse = now + timing_.lease;
            expect_extension(found->members[i], timing_.lease, now);
            batch.add(*found, i, t.epoch, timing_.lease);
        }
    }
    calls_.run(worker_action::commit, batch.calls(), timing_.call_timeout);
    const lock held(mutex_);
    if (tenure_.generation != t.generation)
    {
        return "ownership changed";
    }
    take_answers(worker_action::commit, batch.calls(), held);
    auto* found = find(g.record.id(), t, held);
    if (found == nullptr || found->phase != gang_phase::starting)
    {
        return "a member failed at once";
    }
    for (auto& m : found->members)
    {
        if (!m.ended && m.seen == time_point{})
        {
            note_start(m.worker, g.record.id(), true, held);
            return "worker " + m.worker + " did not start its member";
        }
    }
    found->phase = gang_phase::running;
    return {};
}

bool gang_coordinator::implementation::write_start(const std::string& id,
                                                   const std::string& state,
                                                   const tenure& t)
{
    const std::lock_guard writing(write_lock(id));
    wire::job_record job;
    {
        const lock held(mutex_);
        auto* g = find(id, t, held);
        if (g == nullptr || g->cancelled || g->phase == gang_phase::stopping)
        {
            return false;
        }
        g->record.set_state(state);
        g->record.clear_reason();
        if (state == "running")
        {
            g->record.set_started_ms(wall_clock_ms());
        }
        job = g->record;
    }
    return journal_.write_job(job).ok();
}

void gang_coordinator::implementation::abandon_start(const std::string& id,
                                                     const std::string& reason,
                                                     const tenure& t)
{
    counters_.add("gang_starts_abandoned_total");
    {
        const lock held(mutex_);
        auto* g = find(id, t, held);
        if (g == nullptr)
        {
            return;
        }
        if (g->phase != gang_phase::stopping)
        {
            begin_stop(*g, gang_end::requeue, reason, held);
        }
    }
    stop_gangs(t, false);
}

void gang_coordinator::implementation::note_start(const std::string& worker,
                                                  const std::string& job,
                                                  bool failed,
                                                  const lock& /*held*/)
{
    const auto now = timers_.now();
    const bool was = !quarantine_.usable(worker, now);
    if (quarantine_.record(worker, job, failed, now))
    {
        counters_.add("workers_quarantined_total");
        log_event(log_level::warning, "worker_quarantined",
                  {{"worker", worker}, {"data_centre", data_centre_}});
    }
    const bool usable = quarantine_.usable(worker, now);
    if (usable == was)
    {
        const bool avoided = avoid_until_.count(worker) > 0;
        scheduler_.enable_worker(worker, usable && !avoided, usable);
    }
}

} // namespace limpetstack
