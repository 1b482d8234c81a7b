// Implements the part of `fleet_scheduler` that bounds the number of live runs:
// each takes memory on the leader and on all replicas, also when its subtask
// needs nothing of its worker.
#include "coordination/fleet/fleet_scheduler.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// A holder may have this many times the runs that are left for all. One holder
// alone thereby gets four fifths of the limit.
constexpr std::size_t share_of_free_runs = 4;

// Returns how many runs a holder may have placed: afterwards it has at most its
// share of what is left.
std::size_t placeable_runs(std::size_t limit, std::size_t live,
                           std::size_t held)
{
    const auto share = share_of_free_runs * (limit - std::min(limit, live));
    return (share - std::min(share, held)) / (share_of_free_runs + 1);
}

} // namespace

job_holder fleet_scheduler::holder_of(const pending_step& item)
{
    return item.account.empty() ? job_holder{"", item.queue.name}
                                : job_holder{item.account, ""};
}

// Returns how many subtasks of the step the limit of live runs allows now, up
// to `count`.
std::size_t fleet_scheduler::allowed_runs(const pending_step& item,
                                          std::size_t count)
{
    const auto live = workers_.runs().size();
    // Without a count by holder: as if all runs were of this one.
    if (placeable_runs(options_.max_live_runs, live, live) >= count)
    {
        return count;
    }
    if (!runs_by_holder_)
    {
        count_runs_by_holder();
    }
    const auto allowed =
        std::min(count, placeable_runs(options_.max_live_runs, live,
                                       (*runs_by_holder_)[holder_of(item)]));
    if (allowed < count)
    {
        counters_.add("placements_limited_total");
    }
    return allowed;
}

void fleet_scheduler::count_runs_by_holder()
{
    runs_by_holder_.emplace();
    for (const auto& [key, run] : workers_.runs())
    {
        if (const auto* const job = state_.find_job(run.ref.job()))
        {
            ++(*runs_by_holder_)[fleet::holder_of(job->job)];
        }
    }
}

} // namespace limpetstack::fleet
