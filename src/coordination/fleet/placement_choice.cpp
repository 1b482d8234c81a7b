#include "coordination/fleet/placement_choice.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace limpetstack::fleet
{
namespace
{

using candidate_indices = std::vector<std::size_t>;

// Returns the candidates that fit at least one subtask. Candidates of last
// resort follow all others; within both groups, workers on which the step has
// failed come last, and those with the least free capacity first. Isolated
// subtasks go to the workers with the least work.
candidate_indices
by_fullness(const std::vector<placement_candidate>& candidates,
            const placement_request& request)
{
    candidate_indices order;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (is_eligible(candidates[i], request) &&
            count_fitting(candidates[i], candidates[i].free, request) > 0)
        {
            order.push_back(i);
        }
    }
    const auto rank = [&](std::size_t i)
    {
        const auto& candidate = candidates[i];
        return std::make_tuple(
            candidate.last_resort,
            request.failed_workers.count(candidate.worker->record.id()),
            request.isolated && request.crashed_addresses.count(
                                    candidate.worker->record.address()) > 0,
            request.isolated && !candidate.steady,
            request.isolated ? weight_in_cores(candidate.worker->used) : 0.0,
            candidate.free.accelerators, candidate.free.memory_mb,
            candidate.free.cpu_milli);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b)
                     {
                         return rank(a) < rank(b);
                     });
    return order;
}

// Assigns subtasks to candidates in the given order, as many to each as fit.
candidate_indices fill(const std::vector<placement_candidate>& candidates,
                       const placement_request& request,
                       const candidate_indices& order)
{
    candidate_indices chosen;
    for (const auto i : order)
    {
        const auto fitting_count =
            count_fitting(candidates[i], candidates[i].free, request);
        for (std::uint32_t k = 0;
             k < fitting_count && chosen.size() < request.count; ++k)
        {
            chosen.push_back(i);
        }
    }
    if (request.all_or_nothing && chosen.size() < request.count)
    {
        chosen.clear();
    }
    return chosen;
}

std::map<std::string, candidate_indices>
by_rack(const std::vector<placement_candidate>& candidates,
        const candidate_indices& order)
{
    std::map<std::string, candidate_indices> racks;
    for (const auto i : order)
    {
        racks[candidates[i].worker->record.rack()].push_back(i);
    }
    return racks;
}

// Returns the workers for all subtasks in one rack: the preferred rack, or else
// the rack with the least free capacity among those that fit the request. The
// result is empty when no allowed rack fits it.
candidate_indices
choose_one_rack(const std::vector<placement_candidate>& candidates,
                const placement_request& request,
                const candidate_indices& order)
{
    auto gang = request;
    gang.all_or_nothing = true;
    candidate_indices best;
    auto fewest_free_slots = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [rack, members] : by_rack(candidates, order))
    {
        if (!request.preferred_rack.empty() && rack != request.preferred_rack &&
            !request.other_racks_allowed)
        {
            continue;
        }
        std::uint64_t free_slots = 0;
        for (const auto i : members)
        {
            free_slots +=
                count_fitting(candidates[i], candidates[i].free, request);
        }
        if (free_slots < request.count)
        {
            continue;
        }
        const bool preferred = rack == request.preferred_rack;
        if (preferred || free_slots < fewest_free_slots)
        {
            best = fill(candidates, gang, members);
            fewest_free_slots = preferred ? 0 : free_slots;
        }
    }
    return best;
}

} // namespace

placement_candidate*
find_candidate(std::vector<placement_candidate>& candidates,
               const std::string& id)
{
    const auto found = std::lower_bound(
        candidates.begin(), candidates.end(), id,
        [](const placement_candidate& candidate, const std::string& wanted)
        {
            return candidate.worker->record.id() < wanted;
        });
    return found != candidates.end() && found->worker->record.id() == id
               ? &*found
               : nullptr;
}

bool is_eligible(const placement_candidate& candidate,
                 const placement_request& request)
{
    const auto& record = candidate.worker->record;
    const auto& labels = record.labels();
    // Filler work would slow down runs that serve users, so the two never share
    // a worker.
    const bool disturbs = (request.filler && candidate.serves_users) ||
                          (request.serves_users && candidate.has_fillers);
    const bool allowed =
        !request.allowed || request.allowed->count(record.id()) > 0;
    return (!candidate.last_resort || request.last_resort_allowed) &&
           !candidate.in_trial && (candidate.quiet || !request.isolated) &&
           (candidate.steady || !request.steady_only) &&
           (candidate.verified || !request.verified_only) && !disturbs &&
           allowed && record.service() == request.service &&
           (request.required_label.empty() ||
            std::find(labels.begin(), labels.end(), request.required_label) !=
                labels.end());
}

bool is_limited_to_one_rack(const placement_request& request)
{
    return !request.other_racks_allowed &&
           (request.same_rack || !request.preferred_rack.empty());
}

std::uint32_t count_fitting(const placement_candidate& candidate,
                            const resource_amounts& free,
                            const placement_request& request)
{
    std::int64_t count = count_within(free, request.need, request.count);
    if (request.max_per_worker > 0)
    {
        count = std::min<std::int64_t>(
            count, request.max_per_worker > candidate.runs_of_step
                       ? request.max_per_worker - candidate.runs_of_step
                       : 0);
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

std::vector<std::size_t>
choose_workers(const std::vector<placement_candidate>& candidates,
               const placement_request& request)
{
    const auto order = by_fullness(candidates, request);
    if (request.same_rack && request.all_or_nothing)
    {
        auto chosen = choose_one_rack(candidates, request, order);
        if (!chosen.empty() || !request.other_racks_allowed)
        {
            return chosen;
        }
        return fill(candidates, request, order);
    }
    if (request.preferred_rack.empty())
    {
        return fill(candidates, request, order);
    }
    candidate_indices local;
    candidate_indices remote;
    for (const auto i : order)
    {
        auto& part =
            candidates[i].worker->record.rack() == request.preferred_rack
                ? local
                : remote;
        part.push_back(i);
    }
    auto chosen = fill(candidates, request, local);
    if (!request.other_racks_allowed || chosen.size() == request.count)
    {
        return chosen;
    }
    local.insert(local.end(), remote.begin(), remote.end());
    return fill(candidates, request, local);
}

} // namespace limpetstack::fleet
