#include "coordination/fleet/proposed_jobs.hpp"

namespace limpetstack::fleet
{

void proposed_jobs::add(const std::string& id, const job_holder& holder,
                        std::size_t cost)
{
    if (jobs_.try_emplace(id, proposed_job{holder, cost}).second)
    {
        cost_ += cost;
    }
}

void proposed_jobs::remove(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end())
    {
        cost_ -= found->second.cost;
        jobs_.erase(found);
    }
}

// Few jobs are proposed at the same time.
std::size_t proposed_jobs::cost(const job_holder& holder) const
{
    std::size_t total = 0;
    for (const auto& [id, job] : jobs_)
    {
        total += job.holder == holder ? job.cost : 0;
    }
    return total;
}

} // namespace limpetstack::fleet
