#pragma once

#include "coordination/fleet/placement_choice.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A run that may be preempted for a more urgent step. `cost` is the work that
/// is lost by stopping it (and its gang), in core-milliseconds.
struct victim
{
    std::string key; // Key of the run.
    resource_amounts need;
    double cost = 0;
};

/// Runs to stop, and the capacity to reserve on each worker until they have
/// ended.
struct victim_plan
{
    std::vector<std::string> keys; // Keys of the runs to stop.
    std::map<std::string, resource_amounts> reserved_by_worker;
    double cost = 0;
    bool other_racks = false; // Uses racks that the request only tolerates.
};

/// Chooses the cheapest runs whose end frees enough capacity for all subtasks
/// of the request. Returns nothing when no choice frees enough. `victims`
/// holds, for each worker, the runs that may be stopped there.
std::optional<victim_plan>
choose_victims(const std::vector<placement_candidate>& candidates,
               const std::map<std::string, std::vector<victim>>& victims,
               const placement_request& request);

} // namespace limpetstack::fleet
