#include "coordination/fleet/worker_room.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t memory_divisor = 8;

// A quarter of this is a part of the snapshot, which must fit into one frame.
constexpr std::size_t max_room_bytes = 48U << 20U;

// A record of up to 1 kB.
constexpr std::size_t small_cost = 8192;

} // namespace

bool has_room(const worker_room& room, std::size_t cost)
{
    if (room.known > 0 && cost <= std::max(room.known, small_cost))
    {
        return true;
    }
    const auto others = room.kept - std::min(room.kept, room.known);
    return others + cost <= room.limit;
}

std::size_t worker_room_limit(std::size_t memory_bytes)
{
    return std::min(memory_bytes / memory_divisor, max_room_bytes);
}

} // namespace limpetstack::fleet
