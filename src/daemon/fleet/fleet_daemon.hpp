#pragma once

#include "daemon/fleet/node_settings.hpp"
#include "protocol/external_protocol.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace limpetstack::fleet
{

/// Options of `run_fleet_daemon`.
struct fleet_daemon_options
{
    std::string settings_path;
    std::function<absl::StatusOr<node_settings>(const std::string&)>
        decode_settings;
    // Name of the header in which callers state their time limit.
    std::string deadline_header;
    const external_protocol& protocol;
};

/// Runs a host of the fleet until SIGTERM or SIGINT and returns the exit code.
/// The settings are read again on SIGHUP and when the settings file changes.
int run_fleet_daemon(const fleet_daemon_options& options);

} // namespace limpetstack::fleet
