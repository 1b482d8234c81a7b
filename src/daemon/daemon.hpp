#pragma once

#include <absl/status/status.h>

namespace limpetstack
{

struct settings;

/// Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully:
/// requests in progress are finished first. An error says why it could not
/// start. With `found_group`, an empty data folder becomes the first member of
/// a new control group.
absl::Status run_daemon(const settings& own, bool found_group);

} // namespace limpetstack
