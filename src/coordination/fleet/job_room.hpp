#pragma once

#include <cstddef>

namespace limpetstack::fleet
{

/// What is kept for accepted jobs and may be kept, in bytes as `job_cost`
/// counts them. Jobs that are proposed count as accepted.
struct job_room
{
    const std::size_t limit = 0;
    const std::size_t kept = 0;           // Of all holders.
    const std::size_t kept_by_holder = 0; // Of the holder of the new job.
};

/// Returns true when there is room for a job of that cost: what its holder
/// keeps may be at most what is free for all holders. A single holder thereby
/// gets half of the room, and one that keeps little always finds some.
bool has_room(const job_room& room, std::size_t cost);

/// Returns the room that a host of that memory and disk has for accepted jobs.
/// A disk of 0 bytes is not limited.
std::size_t job_room_limit(std::size_t memory_bytes, std::size_t disk_bytes);

} // namespace limpetstack::fleet
