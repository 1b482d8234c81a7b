#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetstack
{

/// Another daemon of the deployment, as named in the settings file.
struct peer_settings
{
    std::string host;
    std::string data_centre;
    std::string address; // IP:port of its gRPC listener.
    bool disk = false;   // It has a data folder.
    bool votes = false;  // It votes in the control group.
};

/// Intervals and limits, all with defaults.
struct timing_settings
{
    std::chrono::milliseconds heartbeat{100};
    std::chrono::milliseconds election_timeout{1000};
    std::chrono::milliseconds config_poll{500};
    std::chrono::milliseconds spread_interval{200};
    std::chrono::milliseconds digest_interval{2000};
    std::chrono::milliseconds host_timeout{2000};
    std::chrono::milliseconds announcement_lease{10000};
    std::chrono::milliseconds tombstone_retention{60000};
    std::chrono::milliseconds worker_lease{3000};
    std::chrono::milliseconds request_timeout{30000};
    std::chrono::milliseconds shutdown_timeout{60000};
};

/// Bounds on memory and sizes.
struct limit_settings
{
    std::uint64_t request_body_bytes = 1U << 20U;
    std::uint64_t document_bytes = 1U << 20U;
    std::uint32_t queue_length = 4096; // Each service and data centre.
    std::uint32_t snapshot_entries = 256;
    std::uint32_t http_threads = 64;
    std::uint64_t memory_bytes = 256U << 20U; // What the daemon may use.
};

/// Settings of one daemon, from its YAML file.
struct settings
{
    std::string host;
    std::string data_centre;
    std::string callers_address;   // IP:port; port 0 takes a free one.
    std::string operators_address; // IP:port.
    std::string peers_address;     // IP:port.
    std::string data_folder;       // Empty for a host without a disk.
    bool votes = false;
    std::vector<peer_settings> peers;
    timing_settings timing;
    limit_settings limits;
};

} // namespace limpetstack
