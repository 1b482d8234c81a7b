#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/resource_amounts.hpp"

namespace limpetstack::fleet
{

/// A run that a worker listed although the leader does not have it there. It
/// occupies the worker until it has certainly ended.
struct unknown_run
{
    run_ref ref;
    resource_amounts need;
    bool stop_sent = false;
    bool stop_acknowledged = false;
    int stop_attempts = 0;
    time_point changed_at; // The last change of the progress of the stop order.
};

} // namespace limpetstack::fleet
