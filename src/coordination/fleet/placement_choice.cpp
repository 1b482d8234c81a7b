#include "coordination/fleet/placement_choice.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace limpetstack::fleet
{
namespace
{

using room_indices = std::vector<std::size_t>;

// Fullest first; among equals those that have no reason to be avoided.
room_indices by_fullness(const std::vector<worker_room>& rooms,
                         const placement_request& request)
{
    room_indices order;
    for (std::size_t i = 0; i < rooms.size(); ++i)
    {
        if (is_eligible(rooms[i], request) &&
            slots(rooms[i], rooms[i].free, request) > 0)
        {
            order.push_back(i);
        }
    }
    const auto rank = [&](std::size_t i)
    {
        const auto& room = rooms[i];
        return std::make_tuple(request.avoided.count(room.worker->record.id()),
                               room.free.accelerators, room.free.memory_mb,
                               room.free.cpu_milli);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b)
                     {
                         return rank(a) < rank(b);
                     });
    return order;
}

room_indices fill(const std::vector<worker_room>& rooms,
                  const placement_request& request, const room_indices& order)
{
    room_indices chosen;
    for (const auto i : order)
    {
        const auto fitting = slots(rooms[i], rooms[i].free, request);
        for (std::uint32_t k = 0; k < fitting && chosen.size() < request.count;
             ++k)
        {
            chosen.push_back(i);
        }
    }
    if (request.whole && chosen.size() < request.count)
    {
        chosen.clear();
    }
    return chosen;
}

std::map<std::string, room_indices>
by_rack(const std::vector<worker_room>& rooms, const room_indices& order)
{
    std::map<std::string, room_indices> racks;
    for (const auto i : order)
    {
        racks[rooms[i].worker->record.rack()].push_back(i);
    }
    return racks;
}

// The rack that the whole request fits into and that has the least room beside
// it.
room_indices choose_one_rack(const std::vector<worker_room>& rooms,
                             const placement_request& request,
                             const room_indices& order)
{
    auto whole = request;
    whole.whole = true;
    room_indices best;
    auto least = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [rack, members] : by_rack(rooms, order))
    {
        if (!request.preferred_rack.empty() && rack != request.preferred_rack &&
            !request.far_allowed)
        {
            continue;
        }
        std::uint64_t room = 0;
        for (const auto i : members)
        {
            room += slots(rooms[i], rooms[i].free, request);
        }
        if (room < request.count)
        {
            continue;
        }
        const bool preferred = rack == request.preferred_rack;
        if (preferred || room < least)
        {
            best = fill(rooms, whole, members);
            least = preferred ? 0 : room;
        }
    }
    return best;
}

} // namespace

bool is_eligible(const worker_room& room, const placement_request& request)
{
    const auto& record = room.worker->record;
    const auto& labels = record.labels();
    // Fillers would disturb those who serve users.
    const bool disturbs = (request.filler && room.serves_users) ||
                          (request.serves_users && room.has_fillers);
    const bool allowed =
        !request.allowed || request.allowed->count(record.id()) > 0;
    return !disturbs && allowed && record.service() == request.service &&
           (request.required_label.empty() ||
            std::find(labels.begin(), labels.end(), request.required_label) !=
                labels.end());
}

std::uint32_t slots(const worker_room& room, const resource_amounts& free,
                    const placement_request& request)
{
    std::int64_t count = request.count;
    const auto limit = [&count](std::int64_t available, std::int64_t need)
    {
        if (need > 0)
        {
            count =
                std::min(count, std::max<std::int64_t>(available, 0) / need);
        }
    };
    limit(free.cpu_milli, request.need.cpu_milli);
    limit(free.memory_mb, request.need.memory_mb);
    limit(free.accelerators, request.need.accelerators);
    if (request.max_per_worker > 0)
    {
        count = std::min<std::int64_t>(
            count, request.max_per_worker > room.of_step
                       ? request.max_per_worker - room.of_step
                       : 0);
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

std::vector<std::size_t> choose_workers(const std::vector<worker_room>& rooms,
                                        const placement_request& request)
{
    const auto order = by_fullness(rooms, request);
    if (request.same_rack && request.whole)
    {
        auto chosen = choose_one_rack(rooms, request, order);
        if (!chosen.empty() || !request.far_allowed)
        {
            return chosen;
        }
        return fill(rooms, request, order);
    }
    if (request.preferred_rack.empty())
    {
        return fill(rooms, request, order);
    }
    room_indices near;
    room_indices far;
    for (const auto i : order)
    {
        auto& part = rooms[i].worker->record.rack() == request.preferred_rack
                         ? near
                         : far;
        part.push_back(i);
    }
    auto chosen = fill(rooms, request, near);
    if (!request.far_allowed || chosen.size() == request.count)
    {
        return chosen;
    }
    near.insert(near.end(), far.begin(), far.end());
    return fill(rooms, request, near);
}

} // namespace limpetstack::fleet
