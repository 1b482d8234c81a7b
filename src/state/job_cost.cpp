#include "state/job_cost.hpp"

#include "fleet.pb.h"
#include "state/fleet_state.hpp"

#include <algorithm>
#include <cstdint>

namespace limpetstack::fleet
{
namespace
{

// Copies of a job's serialized form at the same time: the state, the snapshot
// in memory, the next snapshot while it is written, and its transfer.
constexpr std::size_t serialized_copies = 4;

// Records and indexes of a job, beside its serialized form.
constexpr std::size_t bytes_per_job = 2048;

// The specification of a step.
constexpr std::size_t bytes_per_step = 512;

// The state of a step of an occurrence that has begun, and what the scheduler
// holds while it waits.
constexpr std::size_t bytes_per_waiting_step = 1536;

// The scheduler takes up occurrences of a job until it holds this many steps.
constexpr std::uint64_t max_waiting_steps = 1024;

} // namespace

std::size_t job_cost(const accepted_job& job)
{
    const auto steps = static_cast<std::uint64_t>(job.spec().steps_size());
    const auto waiting = std::min(steps * occurrence_count(job.spec()),
                                  std::max(steps, max_waiting_steps));
    return serialized_copies * job.ByteSizeLong() + bytes_per_job +
           bytes_per_step * steps + bytes_per_waiting_step * waiting;
}

} // namespace limpetstack::fleet
