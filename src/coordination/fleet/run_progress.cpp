#include "coordination/fleet/run_progress.hpp"

#include <algorithm>
#include <cstdint>

namespace limpetstack::fleet
{
namespace
{

constexpr int all_percent = 100;

// Workers list their runs at least every two seconds.
constexpr milliseconds min_stall_timeout{5000};

// Progress is listed in whole percent: a run that takes fifty times as long as
// estimated needs half of the estimate for one percent.
constexpr double stall_share_of_estimate = 0.5;

// Stall timeout of a run without an estimate.
constexpr milliseconds default_stall_timeout{60000};

// A run whose worker becomes this many times slower does not count as stalled.
constexpr int slowdown_tolerance = 5;

time_point last_progress(const run_progress& run)
{
    return std::max(run.progressed_at, run.started_at);
}

// Returns true when the run was last listed at least its stall timeout after
// `progress`. A run that its worker does not list is not known to stand still.
bool is_stalled_since(const run_progress& run, time_point progress)
{
    return run.listed_at - progress >= stall_timeout(run);
}

} // namespace

milliseconds time_per_percent(const run_progress& run)
{
    return run.percent <= 0
               ? milliseconds(0)
               : (last_progress(run) - run.started_at) / run.percent;
}

milliseconds stall_timeout(const run_progress& run)
{
    if (run.estimate <= milliseconds::zero())
    {
        return default_stall_timeout;
    }
    const milliseconds for_estimate(static_cast<std::int64_t>(
        stall_share_of_estimate * static_cast<double>(run.estimate.count())));
    return std::max({min_stall_timeout, for_estimate,
                     slowdown_tolerance * time_per_percent(run)});
}

std::vector<std::size_t>
stalled_members(const std::vector<run_progress>& members)
{
    time_point latest;
    for (const auto& run : members)
    {
        latest = std::max(latest, last_progress(run));
    }
    const auto is_done = [](const run_progress& run)
    {
        return run.percent >= all_percent;
    };
    const bool all_done = std::all_of(members.begin(), members.end(), is_done);
    // A member that is not listed any more may have kept the gang from ending.
    const bool all_stalled =
        std::all_of(members.begin(), members.end(),
                    [latest](const run_progress& run)
                    {
                        return is_stalled_since(run, latest);
                    });
    std::vector<std::size_t> stalled;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        const auto& run = members[i];
        if (all_done
                ? all_stalled
                : !is_done(run) && is_stalled_since(run, last_progress(run)))
        {
            stalled.push_back(i);
        }
    }
    return stalled;
}

} // namespace limpetstack::fleet
