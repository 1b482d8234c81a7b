#pragma once

#include "coordination/fleet/consensus_runner.hpp"
#include "transport/frame_link.hpp"

#include <cstddef>

namespace limpetstack::fleet
{

struct node_settings;

/// What a core host may keep. All of it follows from the memory, the disk and
/// the descriptors that its settings name.
struct core_limits
{
    const std::size_t job_room = 0;    // As `job_cost` counts it.
    const std::size_t worker_room = 0; // As `worker_cost` counts it.
    const std::size_t live_runs = 0;
    const log_bounds log;
    const frame_listener_limits peers;
};

/// Returns the limits of a core host with these settings.
core_limits limits_of(const node_settings& settings);

} // namespace limpetstack::fleet
