#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/placement_choice.hpp"
#include "coordination/fleet/resource_amounts.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

using amounts_by_worker = std::map<std::string, resource_amounts>;

/// Workers that take no less urgent work, and no later single subtasks of the
/// gang's own priority, until the gang can start on them. When the gang is
/// overdue, they take no later gangs of its priority either.
struct gang_hold
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::int64_t priority = 0;
    std::uint64_t order = 0; // Order of acceptance of the job.
    time_point begun_at;
    bool overdue = false;   // It has waited longer than its queue allows.
    amounts_by_worker held; // What the gang needs of each worker.
};

/// Chooses the workers on which the gang of the request can start soonest:
/// those that lack the least free capacity, in one rack if the request is
/// limited to one. Workers of `previous` are preferred, so that they are not
/// exchanged while their runs end. `lasting_use` is the part of each worker's
/// capacity that does not become free. Returns what the gang needs of each
/// worker; empty when it does not fit.
amounts_by_worker
choose_workers_to_hold(const std::vector<placement_candidate>& candidates,
                       const amounts_by_worker& lasting_use,
                       const placement_request& request,
                       const amounts_by_worker& previous);

} // namespace limpetstack::fleet
