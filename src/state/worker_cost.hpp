#pragma once

#include <cstddef>

namespace limpetstack::fleet
{

class worker_record;

/// Returns an upper estimate of the memory, in bytes, that a worker takes on a
/// replica: its record, its part of the snapshots, and the leader's session
/// with it. It depends on the record alone, so that all replicas agree.
std::size_t worker_cost(const worker_record& worker);

} // namespace limpetstack::fleet
