#pragma once

#include <cstddef>

namespace limpetstack::fleet
{

/// What is kept for workers and may be kept, in bytes as `worker_cost` counts
/// them. Records that are proposed count as kept.
struct worker_room
{
    const std::size_t limit = 0;
    const std::size_t kept = 0;
    const std::size_t known = 0; // Of the record to replace; 0 without one.
};

/// Returns true when a worker's record of that cost may be kept. Small records
/// of known workers may always change: these must be able to drain.
bool has_room(const worker_room& room, std::size_t cost);

/// Returns the room for workers on a host of that memory.
std::size_t worker_room_limit(std::size_t memory_bytes);

} // namespace limpetstack::fleet
