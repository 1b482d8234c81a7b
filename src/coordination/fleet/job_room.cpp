#include "coordination/fleet/job_room.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

constexpr double memory_share = 0.375;

// The files hold a quarter of what is counted, once in the last snapshot and
// once in the next one, beside the log.
constexpr double disk_share = 0.75;

// A snapshot is sent to another host in one frame of at most 48 MiB. It holds a
// quarter of this for jobs, 12 MiB for workers, and a document of up to 8 MiB.
constexpr std::size_t max_room_bytes = 96U << 20U;

} // namespace

bool has_room(const job_room& room, std::size_t cost)
{
    const auto kept = room.kept + cost;
    return kept <= room.limit &&
           room.kept_by_holder + cost <= room.limit - room.kept;
}

std::size_t job_room_limit(std::size_t memory_bytes, std::size_t disk_bytes)
{
    const auto part_of = [](std::size_t bytes, double share)
    {
        return static_cast<std::size_t>(static_cast<double>(bytes) * share);
    };
    const auto limit =
        std::min(part_of(memory_bytes, memory_share), max_room_bytes);
    return disk_bytes == 0 ? limit
                           : std::min(limit, part_of(disk_bytes, disk_share));
}

} // namespace limpetstack::fleet
