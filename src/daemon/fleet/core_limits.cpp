#include "daemon/fleet/core_limits.hpp"

#include "coordination/fleet/job_room.hpp"
#include "coordination/fleet/worker_room.hpp"
#include "daemon/fleet/node_settings.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// The part of the memory that live runs may take on the leader, and what each
// takes with its part of the replicated state.
constexpr std::size_t runs_memory_divisor = 3;
constexpr std::size_t bytes_per_run = 2048;

// The log on the disk is read and written as a whole when a snapshot is taken,
// which takes several times its size.
constexpr std::size_t log_memory_divisor = 32;
constexpr std::size_t retained_log_divisor = 2;

// The parts of the memory and of the descriptors that connections of other
// hosts may take, and what each connection takes with its buffers.
constexpr std::size_t peer_bytes_divisor = 4;
constexpr std::size_t peer_connections_memory_divisor = 8;
constexpr std::size_t peer_descriptors_divisor = 4;
constexpr std::size_t bytes_per_peer_connection = 32768;

log_bounds bounds_of_log(std::size_t memory_bytes)
{
    const auto bytes = std::min(log_bounds().bytes_per_snapshot,
                                memory_bytes / log_memory_divisor);
    return {bytes, bytes / retained_log_divisor};
}

std::size_t peer_connections(const node_settings& settings)
{
    return std::min(settings.memory_bytes / peer_connections_memory_divisor /
                        bytes_per_peer_connection,
                    settings.max_descriptors / peer_descriptors_divisor);
}

} // namespace

core_limits limits_of(const node_settings& settings)
{
    const auto memory = settings.memory_bytes;
    return {job_room_limit(memory, settings.disk_bytes),
            worker_room_limit(memory),
            memory / runs_memory_divisor / bytes_per_run,
            bounds_of_log(memory),
            {peer_connections(settings), memory / peer_bytes_divisor}};
}

} // namespace limpetstack::fleet
