#include "coordination/fleet/victim_choice.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// Capacity for one subtask on a worker, and the runs to stop before it fits.
struct freed_slot
{
    std::size_t candidate = 0;
    std::vector<std::string> keys;
    double cost = 0;
    double rank = 0; // Sort key: the cost, but at least the rank of the
                     // slot before it on the same worker.
};

// Returns the slots on one worker in order of their rank. Each further slot
// uses the capacity that the earlier ones leave, so slots must be taken in this
// order.
std::vector<freed_slot> slots_on(std::size_t index,
                                 const placement_candidate& candidate,
                                 const std::vector<victim>* victims,
                                 const placement_request& request)
{
    std::vector<freed_slot> result;
    auto free = candidate.free;
    std::vector<victim> order =
        victims == nullptr ? std::vector<victim>() : *victims;
    std::sort(order.begin(), order.end(),
              [](const victim& a, const victim& b)
              {
                  return a.cost < b.cost;
              });
    std::size_t next = 0;
    auto single = request;
    single.count = 1;
    std::uint32_t taken = 0;
    const auto limit = request.max_per_worker;
    while (limit == 0 || candidate.runs_of_step + taken < limit)
    {
        freed_slot slot{index, {}, 0, 0};
        while (!fits(request.need, free) && next < order.size())
        {
            slot.keys.push_back(order[next].key);
            slot.cost += order[next].cost;
            free = free + order[next].need;
            ++next;
        }
        if (!fits(request.need, free))
        {
            break;
        }
        free = free - request.need;
        slot.rank =
            std::max(slot.cost, result.empty() ? 0 : result.back().rank);
        result.push_back(std::move(slot));
        if (++taken >= request.count)
        {
            break;
        }
    }
    return result;
}

// Returns a plan of the slots with the lowest ranks, one for each subtask, or
// nothing when there are too few slots.
std::optional<victim_plan>
cheapest_plan(std::vector<freed_slot> slots,
              const std::vector<placement_candidate>& candidates,
              const placement_request& request)
{
    if (slots.size() < request.count)
    {
        return std::nullopt;
    }
    std::stable_sort(slots.begin(), slots.end(),
                     [&](const freed_slot& a, const freed_slot& b)
                     {
                         if (a.rank != b.rank)
                         {
                             return a.rank < b.rank;
                         }
                         const auto& first = candidates[a.candidate];
                         const auto& second = candidates[b.candidate];
                         const bool shares = would_share(first, request);
                         if (shares != would_share(second, request))
                         {
                             return !shares;
                         }
                         // At the same cost, urgent work gets fast workers.
                         return request.urgent &&
                                first.speed_class > second.speed_class;
                     });
    victim_plan plan;
    for (std::size_t i = 0; i < request.count; ++i)
    {
        const auto& slot = slots[i];
        plan.cost += slot.cost;
        plan.keys.insert(plan.keys.end(), slot.keys.begin(), slot.keys.end());
        auto& reserved = plan.reserved_by_worker[candidates[slot.candidate]
                                                     .worker->record.id()];
        reserved = reserved + request.need;
    }
    return plan;
}

} // namespace

std::optional<victim_plan>
choose_victims(const std::vector<placement_candidate>& candidates,
               const std::map<std::string, std::vector<victim>>& victims,
               const placement_request& request)
{
    std::map<std::string, std::vector<freed_slot>> racks;
    std::vector<freed_slot> all;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (!is_eligible(candidates[i], request))
        {
            continue;
        }
        const auto& record = candidates[i].worker->record;
        const auto found = victims.find(record.id());
        auto worker_slots = slots_on(
            i, candidates[i], found == victims.end() ? nullptr : &found->second,
            request);
        auto& rack = racks[record.rack()];
        rack.insert(rack.end(), worker_slots.begin(), worker_slots.end());
        all.insert(all.end(), worker_slots.begin(), worker_slots.end());
    }
    std::optional<victim_plan> best;
    const auto consider = [&best](std::optional<victim_plan> plan)
    {
        if (plan && (!best || plan->cost < best->cost))
        {
            best = std::move(plan);
        }
    };
    if (!request.preferred_rack.empty())
    {
        consider(
            cheapest_plan(racks[request.preferred_rack], candidates, request));
    }
    else if (request.same_rack)
    {
        for (const auto& [rack, rack_slots] : racks)
        {
            consider(cheapest_plan(rack_slots, candidates, request));
        }
    }
    else
    {
        consider(cheapest_plan(all, candidates, request));
    }
    if (!best && request.other_racks_allowed)
    {
        best = cheapest_plan(std::move(all), candidates, request);
        if (best)
        {
            best->other_racks = true;
        }
    }
    return best;
}

} // namespace limpetstack::fleet
