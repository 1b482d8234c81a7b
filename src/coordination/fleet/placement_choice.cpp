#include "coordination/fleet/placement_choice.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

using candidate_indices = std::vector<std::size_t>;

// The speed classes of the eligible candidates by the order in which the
// request prefers them; 0 is the most preferred one.
using class_ranks = std::map<std::size_t, std::size_t>;

// Urgent work prefers the fastest class. Other work prefers the slowest class
// that meets its objective, and then the fastest of the others. Work that no
// class brings to its end in time leaves the fast ones to work that can still
// meet its objective.
class_ranks rank_classes(const std::vector<placement_candidate>& candidates,
                         const placement_request& request)
{
    const bool one_class = std::all_of(
        candidates.begin(), candidates.end(),
        [&candidates](const placement_candidate& candidate)
        {
            return candidate.speed_class == candidates.front().speed_class;
        });
    if (one_class)
    {
        return candidates.empty()
                   ? class_ranks()
                   : class_ranks{{candidates.front().speed_class, 0}};
    }
    struct class_speed
    {
        double sum = 0;
        double count = 0;
    };
    std::map<std::size_t, class_speed> speeds;
    for (const auto& candidate : candidates)
    {
        if (is_eligible(candidate, request))
        {
            auto& speed = speeds[candidate.speed_class];
            speed.sum += candidate.speed;
            ++speed.count;
        }
    }
    std::vector<std::size_t> order;
    std::vector<std::size_t> too_slow;
    for (const auto& [speed_class, speed] : speeds)
    {
        const bool meets = speed.sum / speed.count >= request.slowest_speed;
        auto& part = meets || request.urgent ? order : too_slow;
        part.push_back(speed_class);
    }
    if (request.urgent)
    {
        std::reverse(order.begin(), order.end());
    }
    if (!order.empty())
    {
        std::reverse(too_slow.begin(), too_slow.end());
    }
    order.insert(order.end(), too_slow.begin(), too_slow.end());
    class_ranks ranks;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        ranks[order[i]] = i;
    }
    return ranks;
}

// Returns true when the subtasks should use the candidate only if no other one
// is left, whatever its speed.
bool is_last_choice(const placement_candidate& candidate,
                    const placement_request& request)
{
    const auto& record = candidate.worker->record;
    return candidate.last_resort ||
           request.failed_workers.count(record.id()) > 0 ||
           (request.isolated &&
            (!candidate.steady ||
             request.crashed_addresses.count(record.address()) > 0));
}

// Returns the candidates that fit at least one subtask. Candidates of last
// resort follow all others; within both groups, workers on which the step has
// failed come last, before them those that fillers and serving runs would
// share, and those of the preferred class and with the least free capacity
// first. Isolated subtasks go to the workers with the least work.
candidate_indices
by_fullness(const std::vector<placement_candidate>& candidates,
            const placement_request& request, const class_ranks& classes)
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
            would_share(candidate, request),
            request.isolated && request.crashed_addresses.count(
                                    candidate.worker->record.address()) > 0,
            request.isolated && !candidate.steady,
            request.isolated ? weight_in_cores(candidate.worker->used) : 0.0,
            request.urgent && candidate.cold, classes.at(candidate.speed_class),
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

// Workers for a whole gang, and how well their speed suits it; 0 is best.
struct gang_choice
{
    candidate_indices chosen;
    std::size_t rank = 0;
};

// Chooses workers for a gang from `order`, which begins with the preferred
// class. Its slowest member sets its pace, so it takes workers of one class if
// one holds it without more workers of last choice than a mixture. An urgent
// gang takes the fastest workers together where these set a better pace.
gang_choice fill_gang(const std::vector<placement_candidate>& candidates,
                      const placement_request& request,
                      const candidate_indices& order,
                      const class_ranks& classes)
{
    auto mixture = fill(candidates, request, order);
    if (classes.size() < 2 || mixture.empty() || !request.all_or_nothing)
    {
        return {std::move(mixture), 0};
    }
    const auto last_choices = [&](const candidate_indices& chosen)
    {
        return std::count_if(chosen.begin(), chosen.end(),
                             [&](std::size_t i)
                             {
                                 return is_last_choice(candidates[i], request);
                             });
    };
    std::size_t worst_rank = 0;
    for (const auto i : mixture)
    {
        worst_rank =
            std::max(worst_rank, classes.at(candidates[i].speed_class));
    }
    std::map<std::size_t, candidate_indices> by_rank;
    for (const auto i : order)
    {
        by_rank[classes.at(candidates[i].speed_class)].push_back(i);
    }
    for (const auto& [rank, members] : by_rank)
    {
        if (request.urgent && rank > worst_rank)
        {
            break;
        }
        auto chosen = fill(candidates, request, members);
        if (!chosen.empty() && last_choices(chosen) <= last_choices(mixture))
        {
            return {std::move(chosen), rank};
        }
    }
    return {std::move(mixture), request.urgent ? worst_rank : classes.size()};
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
// the rack whose workers suit the gang best by their speed, and of those the
// one with the least free capacity among those that fit the request. The result
// is empty when no allowed rack fits it.
candidate_indices
choose_one_rack(const std::vector<placement_candidate>& candidates,
                const placement_request& request,
                const candidate_indices& order, const class_ranks& classes)
{
    auto gang = request;
    gang.all_or_nothing = true;
    gang_choice best;
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
        auto choice = fill_gang(candidates, gang, members, classes);
        if (preferred)
        {
            return choice.chosen;
        }
        if (best.chosen.empty() || std::tie(choice.rank, free_slots) <
                                       std::tie(best.rank, fewest_free_slots))
        {
            best = std::move(choice);
            fewest_free_slots = free_slots;
        }
    }
    return best.chosen;
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
    const bool refused = request.filler && candidate.refuses_fillers;
    const bool allowed =
        !request.allowed || request.allowed->count(record.id()) > 0;
    return (!candidate.last_resort || request.last_resort_allowed) &&
           !candidate.in_trial && (candidate.quiet || !request.isolated) &&
           (candidate.steady || !request.steady_only) &&
           (candidate.verified || !request.verified_only) && !refused &&
           allowed && record.service() == request.service &&
           (request.required_label.empty() ||
            std::find(labels.begin(), labels.end(), request.required_label) !=
                labels.end());
}

bool would_share(const placement_candidate& candidate,
                 const placement_request& request)
{
    return (request.filler && candidate.serves_users) ||
           (request.serves_users && candidate.has_fillers);
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
    const auto classes = rank_classes(candidates, request);
    const auto order = by_fullness(candidates, request, classes);
    const auto place = [&](const candidate_indices& part)
    {
        return fill_gang(candidates, request, part, classes).chosen;
    };
    if (request.same_rack && request.all_or_nothing)
    {
        auto chosen = choose_one_rack(candidates, request, order, classes);
        if (!chosen.empty() || !request.other_racks_allowed)
        {
            return chosen;
        }
        return place(order);
    }
    if (request.preferred_rack.empty())
    {
        return place(order);
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
    auto chosen = place(local);
    if (!request.other_racks_allowed || chosen.size() == request.count)
    {
        return chosen;
    }
    local.insert(local.end(), remote.begin(), remote.end());
    return place(local);
}

} // namespace limpetstack::fleet
