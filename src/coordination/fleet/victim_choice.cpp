#include "coordination/fleet/victim_choice.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// One subtask's place on a worker: the runs to stop before it fits.
struct opening
{
    std::size_t room = 0;
    std::vector<std::string> keys;
    double cost = 0;
    double rank = 0; // Never below that of an earlier one on the same worker.
};

// Returns the places on one worker, cheapest first: each further subtask needs
// the room that the earlier ones left.
std::vector<opening> openings_on(std::size_t index, const worker_room& room,
                                 const std::vector<victim>* victims,
                                 const placement_request& request)
{
    std::vector<opening> out;
    auto free = room.free;
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
    while (limit == 0 || room.of_step + taken < limit)
    {
        opening place{index, {}, 0, 0};
        while (!fits(request.need, free) && next < order.size())
        {
            place.keys.push_back(order[next].key);
            place.cost += order[next].cost;
            free = free + order[next].need;
            ++next;
        }
        if (!fits(request.need, free))
        {
            break;
        }
        free = free - request.need;
        place.rank = std::max(place.cost, out.empty() ? 0 : out.back().rank);
        out.push_back(std::move(place));
        if (++taken >= request.count)
        {
            break;
        }
    }
    return out;
}

std::optional<victim_plan> cheapest(std::vector<opening> openings,
                                    const std::vector<worker_room>& rooms,
                                    const placement_request& request)
{
    if (openings.size() < request.count)
    {
        return std::nullopt;
    }
    std::stable_sort(openings.begin(), openings.end(),
                     [](const opening& a, const opening& b)
                     {
                         return a.rank < b.rank;
                     });
    victim_plan plan;
    for (std::size_t i = 0; i < request.count; ++i)
    {
        const auto& place = openings[i];
        plan.cost += place.cost;
        plan.keys.insert(plan.keys.end(), place.keys.begin(), place.keys.end());
        auto& kept = plan.rooms[rooms[place.room].worker->record.id()];
        kept = kept + request.need;
    }
    return plan;
}

} // namespace

std::optional<victim_plan>
choose_victims(const std::vector<worker_room>& rooms,
               const std::map<std::string, std::vector<victim>>& victims,
               const placement_request& request)
{
    std::map<std::string, std::vector<opening>> racks;
    std::vector<opening> all;
    for (std::size_t i = 0; i < rooms.size(); ++i)
    {
        if (!is_eligible(rooms[i], request))
        {
            continue;
        }
        const auto& record = rooms[i].worker->record;
        const auto found = victims.find(record.id());
        auto places = openings_on(
            i, rooms[i], found == victims.end() ? nullptr : &found->second,
            request);
        auto& rack = racks[record.rack()];
        rack.insert(rack.end(), places.begin(), places.end());
        all.insert(all.end(), places.begin(), places.end());
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
        consider(cheapest(racks[request.preferred_rack], rooms, request));
    }
    else if (request.same_rack)
    {
        for (const auto& [rack, places] : racks)
        {
            consider(cheapest(places, rooms, request));
        }
    }
    else
    {
        consider(cheapest(all, rooms, request));
    }
    if (!best && request.far_allowed)
    {
        consider(cheapest(std::move(all), rooms, request));
    }
    return best;
}

} // namespace limpetstack::fleet
