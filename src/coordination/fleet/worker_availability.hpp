#pragma once

#include <array>

namespace limpetstack::fleet
{

/// Whether a worker may get placements, or why not.
enum class worker_availability
{
    usable,
    draining,   // It reported that it is about to leave.
    avoided,    // Runs failed or stalled there a short time ago.
    evacuated,  // Its data centre is evacuated.
    refusing,   // It refused a start, or did not answer it, just now.
    unreachable // It does not report, or does not answer the leader.
};

inline constexpr std::array all_availabilities{
    worker_availability::usable,   worker_availability::draining,
    worker_availability::avoided,  worker_availability::evacuated,
    worker_availability::refusing, worker_availability::unreachable};

/// Returns the name of the value for logs and metrics.
const char* name_of(worker_availability availability);

} // namespace limpetstack::fleet
