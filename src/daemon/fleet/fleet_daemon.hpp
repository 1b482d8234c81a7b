#pragma once

#include "daemon/fleet/node_settings.hpp"
#include "protocol/external_protocol.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace limpetstack::fleet
{

/// What the daemon is started with.
struct fleet_daemon_options
{
    std::string settings_path;
    std::function<absl::StatusOr<node_settings>(const std::string&)>
        decode_settings;
    std::string deadline_header; // Of callers' requests.
    const external_protocol& protocol;
};

/// Runs a host of the fleet until SIGTERM or SIGINT and returns the exit code.
/// SIGHUP and a changed settings file reload the settings.
int run_fleet_daemon(const fleet_daemon_options& options);

} // namespace limpetstack::fleet
