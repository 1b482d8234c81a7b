#pragma once

#include "coordination/fleet/fleet_scheduler.hpp"
#include "coordination/fleet/worker_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// What a host of the fleet daemon is told about itself and its deployment.
struct node_settings
{
    std::string name;
    std::string ip;
    std::string data_centre;
    std::string caller_address;  // Empty unless the host serves callers.
    std::string ready_address;   // Empty unless the host serves callers.
    std::string control_address; // Empty unless the host serves control.
    std::string peer_address;    // Where other hosts reach this one.
    std::string metrics_address;
    std::string policy_address;       // Of the policy service; may be empty.
    std::vector<std::string> seeds;   // Peer addresses of hosts with a disk.
    bool first_start = false;         // Of the whole deployment.
    std::string data_folder;          // Empty without a disk.
    std::size_t tolerated_losses = 1; // Of hosts with a disk, at once.
    milliseconds stop_grace{6000}; // Between the signal to stop and the kill.
    worker_fleet_options workers;
    fleet_scheduler_options scheduler;

    bool is_core() const { return !data_folder.empty(); }
};

} // namespace limpetstack::fleet
