#include "coordination/fleet/job_room.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t memory_divisor = 4;

// The files hold a quarter of what is counted, once in the last snapshot and
// once in the next one.
constexpr std::size_t disk_divisor = 2;

// A snapshot, a quarter of this at most, is sent to another host in one frame
// of at most 48 MiB, together with the document.
constexpr std::size_t max_room_bytes = 128U << 20U;

} // namespace

bool has_room(const job_room& room, std::size_t cost)
{
    const auto kept = room.kept + cost;
    return kept <= room.limit &&
           room.kept_by_holder + cost <= room.limit - room.kept;
}

std::size_t job_room_limit(std::size_t memory_bytes, std::size_t disk_bytes)
{
    const auto limit = std::min(memory_bytes / memory_divisor, max_room_bytes);
    return disk_bytes == 0 ? limit : std::min(limit, disk_bytes / disk_divisor);
}

} // namespace limpetstack::fleet
