#pragma once

#include "coordination/fleet/fleet_scheduler.hpp"
#include "coordination/fleet/worker_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Settings of one host of the fleet daemon and of its deployment.
struct node_settings
{
    std::string name;
    std::string ip;
    std::string data_centre;
    std::string caller_address;  // Empty unless the host serves callers.
    std::string ready_address;   // Empty unless the host serves callers.
    std::string control_address; // Empty unless the host serves control.
    std::string peer_address;    // Where other hosts connect to this one.
    std::string metrics_address;
    std::string policy_address;     // Address of the policy service, or empty.
    std::vector<std::string> seeds; // Peer addresses of hosts with a disk.
    // True on the first start of the whole deployment.
    bool first_start = false;
    std::string data_folder; // Empty when the host has no disk.
    // Number of hosts with a disk that may be lost at the same time.
    std::size_t tolerated_losses = 1;
    // Descriptors that the process may have open at the same time.
    std::size_t max_descriptors = 4096;
    // Memory that the process may use.
    std::size_t memory_bytes = 256U << 20U;
    // Disk space that the process may use; 0: not limited.
    std::size_t disk_bytes = 0;
    // Time between the signal to stop and the kill.
    milliseconds stop_grace{6000};
    worker_fleet_options workers;
    fleet_scheduler_options scheduler;

    /// Returns true when the host has a disk and so holds a replica.
    bool is_core() const { return !data_folder.empty(); }
};

} // namespace limpetstack::fleet
