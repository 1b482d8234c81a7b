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

/// A replica's storage, opened.
struct replica_storage
{
    std::unique_ptr<data_folder> folder;
    std::unique_ptr<log_store> log;
    stored_log content;
    std::uint64_t id = 0;
};

/// Opens the data folder. On the first start of the deployment the seeds found
/// the group: each writes the same founding members, which follow from the
/// addresses of the seeds alone. Every other host gets a random identity and
/// joins later.
absl::StatusOr<replica_storage> open_replica(const node_settings& settings);

/// Returns the identity of a founding member.
std::uint64_t founder_id(const std::string& peer_address);

} // namespace limpetstack::fleet
