// Implements the part of `fleet_scheduler` that starts subtasks under which a
// worker has crashed: alone on their worker, so that another crash can be put
// down to them.
#include "coordination/fleet/crash_evidence.hpp"
#include "coordination/fleet/fleet_scheduler.hpp"

#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// Subtasks under which workers have crashed repeatedly wait for at most this
// time for a lack of other losses.
constexpr milliseconds longest_wait_for_calm{20000};

} // namespace

void fleet_scheduler::refresh_suspects(pending_step& item,
                                       const step_state* state)
{
    item.suspects = {};
    item.repeated_suspects = {};
    item.crashed_addresses.clear();
    if (state == nullptr)
    {
        return;
    }
    for (const auto index : state->crashed)
    {
        if (!item.indices.contains(index))
        {
            continue;
        }
        const auto& crashes = state->subtasks.at(index).crashes;
        item.suspects.insert(index);
        if (must_await_calm(crashes))
        {
            item.repeated_suspects.insert(index);
        }
        for (const auto& crash : crashes)
        {
            item.crashed_addresses.insert(crash.address);
        }
    }
}

// Returns the subtasks of the step that may start now. One under which workers
// have crashed repeatedly starts only while the cause of another crash would be
// known, or after a long wait; of a gang, all members wait for that.
index_set fleet_scheduler::startable_indices(const pending_step& item,
                                             time_point now) const
{
    if (item.repeated_suspects.empty() || losses_rare_ ||
        now - item.since >= longest_wait_for_calm)
    {
        return item.indices;
    }
    if (item.all_or_nothing())
    {
        return {};
    }
    auto indices = item.indices;
    indices.erase(item.repeated_suspects);
    return indices;
}

// Places a gang, or one of the subtasks, on workers that can take it alone. If
// none can, and it has waited for as long as for other preferences, it starts
// beside other starts. Suspects of several crashes always start on workers that
// have not just restarted.
void fleet_scheduler::place_suspects(const pending_step_key& key,
                                     pending_step& item,
                                     const index_set& suspects,
                                     placement_request request, time_point now)
{
    if (suspects.empty())
    {
        return;
    }
    request.steady_only =
        !intersection(item.repeated_suspects, suspects).empty();
    if (request.steady_only && !item.calm_since)
    {
        item.calm_since = now;
    }
    const auto waiting_since =
        request.steady_only ? *item.calm_since : item.since;
    auto alone = request;
    alone.isolated = true;
    alone.count = item.all_or_nothing() ? suspects.size() : 1;
    const auto waiting = item.indices.size();
    place_subtasks(key, item, suspects, std::move(alone), now);
    if (item.indices.size() == waiting && request.preferences_expired &&
        now - waiting_since >= preference_wait_limit)
    {
        request.count = suspects.size();
        place_subtasks(key, item, suspects, std::move(request), now);
    }
}

// Keeps other starts away from workers that run a suspect.
void fleet_scheduler::begin_trials(const std::vector<std::string>& workers,
                                   time_point now)
{
    for (const auto& id : workers)
    {
        workers_.begin_trial(id, now);
        if (auto* const candidate = find_candidate(candidates_, id))
        {
            candidate->in_trial = true;
        }
    }
}

} // namespace limpetstack::fleet
