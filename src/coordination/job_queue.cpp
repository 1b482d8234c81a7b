#include "coordination/job_queue.hpp"

#include <algorithm>

namespace limpetstack
{

double dominant_share(const gang_shape& shape, const resources& fleet)
{
    const auto part = [&shape](auto each, auto total)
    {
        return total > 0
                   ? static_cast<double>(shape.members) *
                         static_cast<double>(each) / static_cast<double>(total)
                   : 0.0;
    };
    return std::max({part(shape.each.accelerators, fleet.accelerators),
                     part(shape.each.cores, fleet.cores),
                     part(shape.each.memory_mib, fleet.memory_mib)});
}

void job_queue::push(const queued_job& job, bool front)
{
    erase(job.id);
    auto& account = accounts_[job.account];
    auto& list = account.by_level[static_cast<std::size_t>(job.level)];
    position p;
    p.account = job.account;
    p.at = list.insert(front ? list.begin() : list.end(), job);
    auto& ids = account.coverable;
    p.coverable_at = job.coverable
                         ? ids.insert(front ? ids.begin() : ids.end(), job.id)
                         : ids.end();
    ++account.count;
    positions_.emplace(job.id, p);
}

bool job_queue::erase(const std::string& id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end())
    {
        return false;
    }
    const auto p = found->second;
    auto& account = accounts_.at(p.account);
    if (p.at->coverable)
    {
        account.coverable.erase(p.coverable_at);
    }
    account.by_level[static_cast<std::size_t>(p.at->level)].erase(p.at);
    positions_.erase(found);
    if (--account.count == 0)
    {
        accounts_.erase(p.account);
    }
    return true;
}

const queued_job* job_queue::find(const std::string& id) const
{
    const auto found = positions_.find(id);
    return found == positions_.end() ? nullptr : &*found->second.at;
}

void job_queue::update(const std::function<bool(const queued_job&)>& coverable)
{
    for (auto& entry : accounts_)
    {
        auto& account = entry.second;
        account.coverable.clear();
        for (auto level = urgency_levels; level > 0; --level)
        {
            for (auto& job : account.by_level[level - 1])
            {
                job.coverable = coverable(job);
                positions_.at(job.id).coverable_at =
                    job.coverable ? account.coverable.insert(
                                        account.coverable.end(), job.id)
                                  : account.coverable.end();
            }
        }
    }
}

bool job_pass::cursor::settle(const job_queue::account_jobs& jobs)
{
    if (depth >= pass_depth)
    {
        return false;
    }
    while (at == jobs.by_level[level].end())
    {
        if (level == 0)
        {
            return false;
        }
        --level;
        at = jobs.by_level[level].begin();
    }
    return true;
}

job_pass::job_pass(const job_queue& queue, const resources& fleet,
                   standings& accounts)
    : queue_(queue)
    , fleet_(fleet)
    , accounts_(accounts)
{
    for (const auto& [name, jobs] : queue.accounts_)
    {
        auto& standing = accounts[name];
        if (standing.unclaimed && !jobs.coverable.empty())
        {
            cursor c;
            c.jobs = &jobs;
            c.standing = &standing;
            c.coverable_at = jobs.coverable.begin();
            cursors_.push_back(c);
        }
    }
}

void job_pass::begin_regular()
{
    regular_ = true;
    cursors_.clear();
    for (const auto& [name, jobs] : queue_.accounts_)
    {
        cursor c;
        c.jobs = &jobs;
        c.standing = &accounts_[name];
        c.level = urgency_levels - 1;
        c.at = jobs.by_level[c.level].begin();
        c.settle(jobs);
        cursors_.push_back(c);
    }
}

int job_pass::rank(const cursor& c) const
{
    if (!regular_)
    {
        return 0;
    }
    if (c.at->level == urgency::urgent &&
        c.standing->used + dominant_share(c.at->shape, fleet_) <=
            c.standing->share)
    {
        return 0;
    }
    return c.at->level == urgency::low ? 2 : 1;
}

job_pass::step job_pass::next()
{
    const auto order = [this](const cursor& c)
    {
        return std::pair(rank(c),
                         c.standing->used / std::max(c.standing->weight, 1e-9));
    };
    const auto best = std::min_element(cursors_.begin(), cursors_.end(),
                                       [&order](const auto& a, const auto& b)
                                       {
                                           return order(a) < order(b);
                                       });
    if (best == cursors_.end())
    {
        if (regular_)
        {
            return {};
        }
        begin_regular();
        return next();
    }
    ++best->depth;
    const auto is_guaranteed = !regular_;
    const queued_job* job = nullptr;
    bool more = true;
    if (regular_)
    {
        job = &*best->at;
        ++best->at;
        more = best->settle(*best->jobs);
    }
    else
    {
        job = queue_.find(*best->coverable_at);
        ++best->coverable_at;
        more = best->depth < pass_depth &&
               best->coverable_at != best->jobs->coverable.end();
    }
    if (!more)
    {
        // The account's lists may be gone after the caller erases the job.
        cursors_.erase(best);
    }
    return {job, is_guaranteed};
}

} // namespace limpetstack
