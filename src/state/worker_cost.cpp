#include "state/worker_cost.hpp"

#include "fleet.pb.h"

namespace limpetstack::fleet
{
namespace
{

// As for jobs: the state, two snapshots and a transfer.
constexpr std::size_t serialized_copies = 4;

// The leader's session, connections and indexes.
constexpr std::size_t bytes_per_worker = 4096;

} // namespace

std::size_t worker_cost(const worker_record& worker)
{
    return serialized_copies * worker.ByteSizeLong() + bytes_per_worker;
}

} // namespace limpetstack::fleet
