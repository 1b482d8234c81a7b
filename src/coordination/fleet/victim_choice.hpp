#pragma once

#include "coordination/fleet/placement_choice.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A run that may be stopped for a more urgent step, with the work that is lost
/// by stopping it (and its gang), in core-milliseconds.
struct victim
{
    std::string key;
    resource_amounts need;
    double cost = 0;
};

/// Runs to stop and the room on each worker that must be kept until they have
/// ended.
struct victim_plan
{
    std::vector<std::string> keys;
    std::map<std::string, resource_amounts> rooms;
    double cost = 0;
};

/// Chooses the cheapest runs whose end makes room for the whole request;
/// nothing when no choice does. `victims` holds, for each worker, the runs that
/// may be stopped there.
std::optional<victim_plan>
choose_victims(const std::vector<worker_room>& rooms,
               const std::map<std::string, std::vector<victim>>& victims,
               const placement_request& request);

} // namespace limpetstack::fleet
