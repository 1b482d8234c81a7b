#pragma once

#include "daemon/fleet/node_settings.hpp"
#include "state/data_folder.hpp"
#include "state/log_store.hpp"
#include "state/stored_log.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>

namespace limpetstack::fleet
{

/// The opened storage of a replica.
struct replica_storage
{
    std::unique_ptr<data_folder> folder;
    std::unique_ptr<log_store> log;
    stored_log content;   // Log and snapshot as read from the disk.
    std::uint64_t id = 0; // Identity of the replica.
};

/// Opens the data folder. On the first start of the deployment the seeds form
/// the consensus group: each seed writes the same list of founding members,
/// which depends on nothing but the addresses of the seeds. Every other host
/// gets a random identity and joins later.
absl::StatusOr<replica_storage> open_replica(const node_settings& settings);

/// Returns the replica identity of the founding member with this peer address.
std::uint64_t founder_id(const std::string& peer_address);

} // namespace limpetstack::fleet
