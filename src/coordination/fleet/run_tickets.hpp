#pragma once

#include "base/clock.hpp"
#include "state/fleet_state.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A run and the worker incarnation on which it is placed.
struct placed_run
{
    run_ref ref;
    worker_incarnation incarnation;
};

/// Access to the tickets of queues with a policy. The defaults serve a fleet
/// without policies.
struct run_tickets
{
    /// Returns the ticket for a start that is sent now: an empty one when the
    /// run's queue has no policy, no value when there is no valid ticket.
    std::function<std::optional<std::string>(const placed_run&, time_point)>
        find = [](const placed_run&, time_point)
    {
        return std::optional<std::string>(std::in_place);
    };
    /// Asks for tickets of runs without a valid one.
    std::function<void(const std::vector<placed_run>&, time_point)> renew =
        [](const std::vector<placed_run>&, time_point) {};
    /// Records that the worker refused the ticket of the run.
    std::function<void(const placed_run&, time_point)> refuse =
        [](const placed_run&, time_point) {};
};

} // namespace limpetstack::fleet
