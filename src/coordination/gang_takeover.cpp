#include "base/log.hpp"
#include "coordination/gang_coordinator_impl.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetstack
{
namespace
{

/// Returns the group of equal workers that quarantine bounds apply to.
std::string group_of(const wire::worker_entry& worker)
{
    return std::to_string(worker.accelerators()) + "/" +
           std::to_string(worker.cores()) + "/" +
           std::to_string(worker.memory_mib());
}

} // namespace

gang* gang_coordinator::implementation::find(const std::string& id,
                                             const tenure& t,
                                             const lock& /*held*/)
{
    const auto found = gangs_.find(id);
    return found == gangs_.end() || tenure_.generation != t.generation
               ? nullptr
               : &found->second;
}

bool gang_coordinator::implementation::follow_ownership(tenure& t)
{
    const std::lock_guard following(ownership_);
    const bool owned = journal_.owned();
    const auto epoch = journal_.epoch();
    {
        const lock held(mutex_);
        if (!owned)
        {
            lose_ownership(held);
            return false;
        }
        if (tenure_.epoch == epoch)
        {
            t = tenure_;
            return true;
        }
    }
    take_over(epoch);
    const lock held(mutex_);
    t = tenure_;
    return t.epoch != 0;
}

void gang_coordinator::implementation::lose_ownership(const lock& /*held*/)
{
    if (tenure_.epoch == 0)
    {
        return;
    }
    log_event(log_level::warning, "job_ownership_lost",
              {{"data_centre", data_centre_},
               {"epoch", std::to_string(tenure_.epoch)}});
    tenure_.epoch = 0;
    ++tenure_.generation;
    gangs_.clear();
    failures_.clear();
    job_scheduler empty(data_centre_);
    empty.keep_experience(scheduler_);
    scheduler_ = std::move(empty);
}

void gang_coordinator::implementation::take_over(std::uint64_t epoch)
{
    const auto live = workers_();
    {
        const lock held(mutex_);
        lose_ownership(held);
        tenure_.epoch = epoch;
        ++tenure_.generation;
        document_.reset();
        places_.clear();
        refresh_workers(live, held);
        load_jobs(held);
        log_event(log_level::info, "job_ownership_taken",
                  {{"data_centre", data_centre_},
                   {"epoch", std::to_string(epoch)},
                   {"gangs", std::to_string(gangs_.size())},
                   {"queued", std::to_string(scheduler_.queue_length())}});
    }
    tenure t;
    {
        const lock held(mutex_);
        t = tenure_;
    }
    adopt_gangs(t);
}

void gang_coordinator::implementation::load_jobs(const lock& held)
{
    auto jobs = journal_.jobs();
    std::sort(jobs.begin(), jobs.end(),
              [](const auto& a, const auto& b)
              {
                  return std::pair(a.submitted_ms(), a.id()) <
                         std::pair(b.submitted_ms(), b.id());
              });
    for (const auto& job : jobs)
    {
        if (job.state() == "queued")
        {
            scheduler_.submit(queued_job_of(job), false);
        }
        else if (job.state() == "starting" || job.state() == "running" ||
                 job.state() == "stopping")
        {
            load_gang(job, held);
        }
    }
}

void gang_coordinator::implementation::load_gang(const wire::job_record& job,
                                                 const lock& held)
{
    const auto now = timers_.now();
    gang g;
    g.record = job;
    g.phase = gang_phase::adopting;
    g.fenced = false;
    g.proven = true;
    g.started = now;
    g.start_progress = job.progress();
    g.journaled_progress = job.progress();
    gang_placement placement;
    for (const auto& member : job.placement())
    {
        gang_member m;
        m.worker = member.worker();
        m.address = member.address();
        // The last renewal of the owner before may still be under way.
        m.lapse = now + 2 * timing_.lease;
        m.progress = job.progress();
        placement.push_back(member.worker());
        g.members.push_back(std::move(m));
    }
    scheduler_.adopt(queued_job_of(job), placement, now);
    auto& kept = gangs_[job.id()] = std::move(g);
    if (job.state() == "stopping")
    {
        kept.cancelled = true;
        begin_stop(kept, gang_end::cancelled, "cancelled", held);
    }
}

void gang_coordinator::implementation::ask_members(const tenure& t)
{
    // Long enough for the renewal that follows, and short, since a gang that
    // is not whole any more must not be kept.
    const auto lease = 2 * timing_.call_timeout;
    call_batch batch;
    {
        const lock held(mutex_);
        const auto now = timers_.now();
        for (auto& entry : gangs_)
        {
            auto& g = entry.second;
            for (std::size_t i = 0; i < g.members.size(); ++i)
            {
                auto& m = g.members[i];
                if (g.phase == gang_phase::adopting && !m.ended &&
                    m.seen == time_point{})
                {
                    expect_extension(m, lease, now);
                    batch.add(g, i, t.epoch, lease);
                }
            }
        }
    }
    calls_.run(worker_action::renew, batch.calls(), timing_.call_timeout);
    const lock held(mutex_);
    if (tenure_.generation == t.generation)
    {
        take_answers(worker_action::renew, batch.calls(), held);
    }
}

void gang_coordinator::implementation::adopt_gangs(const tenure& t)
{
    ask_members(t);
    ask_members(t); // Those that have not answered.
    std::size_t adopted = 0;
    {
        const lock held(mutex_);
        if (tenure_.generation != t.generation)
        {
            return;
        }
        for (auto& entry : gangs_)
        {
            auto& g = entry.second;
            if (g.phase != gang_phase::adopting)
            {
                continue;
            }
            const bool whole = std::all_of(
                g.members.begin(), g.members.end(),
                [](const auto& m)
                {
                    return m.done || (!m.ended && m.seen != time_point{});
                });
            if (!whole)
            {
                begin_stop(g, gang_end::requeue,
                           "not every member was running when the owner "
                           "changed",
                           held);
                continue;
            }
            g.phase = gang_phase::running;
            ++adopted;
        }
    }
    counters_.add("gangs_adopted_total", adopted);
    renew_wave(t, wave::confirm, time_point{});
    judge_gangs(t);
    stop_gangs(t, false);
}

void gang_coordinator::implementation::refresh_workers(
    const std::vector<wire::worker_entry>& live, const lock& /*held*/)
{
    const auto now = timers_.now();
    refreshed_ = now;
    const auto config = config_();
    if (config && config != document_)
    {
        scheduler_.configure(*config);
        document_ = config;
    }
    std::map<std::string, worker_place> places;
    for (const auto& worker : live)
    {
        if (worker.data_centre() != data_centre_)
        {
            continue;
        }
        places[worker.id()] = {worker.address(), worker.rack()};
        scheduler_.put_worker(
            {worker.id(),
             data_centre_,
             worker.rack(),
             {worker.accelerators(), worker.cores(), worker.memory_mib()}});
        quarantine_.put(worker.id(), group_of(worker));
        const auto avoid = avoid_until_.find(worker.id());
        const bool avoided = avoid != avoid_until_.end() && now < avoid->second;
        if (avoid != avoid_until_.end() && !avoided)
        {
            avoid_until_.erase(avoid);
        }
        const bool usable = quarantine_.usable(worker.id(), now);
        scheduler_.enable_worker(worker.id(), usable && !avoided, usable);
    }
    for (const auto& [id, place] : places_)
    {
        if (places.count(id) == 0)
        {
            scheduler_.remove_worker(id);
            quarantine_.remove(id);
            avoid_until_.erase(id);
        }
    }
    places_ = std::move(places);
    counters_.set("workers_live", static_cast<double>(places_.size()));
    counters_.set("workers_quarantined",
                  static_cast<double>(quarantine_.quarantined().size()));
    counters_.set("jobs_queued",
                  static_cast<double>(scheduler_.queue_length()));
    counters_.set("gangs", static_cast<double>(gangs_.size()));
}

} // namespace limpetstack
