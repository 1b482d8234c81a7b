#pragma once

#include <cstddef>

namespace limpetstack::fleet
{

class accepted_job;

/// Returns an upper estimate of the memory, in bytes, that an accepted job
/// takes on a replica: its state, its part of the snapshots, and what the
/// scheduler holds for its waiting steps. It depends on the job alone, so that
/// all replicas agree.
std::size_t job_cost(const accepted_job& job);

} // namespace limpetstack::fleet
