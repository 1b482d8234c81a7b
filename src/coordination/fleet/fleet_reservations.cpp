// Reserves capacity for steps while runs are being stopped for them.
#include "coordination/fleet/fleet_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{

// Adds a reservation to the sums by worker (sign 1) or subtracts it (sign -1).
void fleet_scheduler::update_reserved(const reservation& item, int sign)
{
    for (const auto& [id, amount] : item.reserved_by_worker)
    {
        auto& sum = reserved_[id];
        sum = sign > 0 ? sum + amount : sum - amount;
    }
}

void fleet_scheduler::reserve(const pending_step_key& key, reservation item)
{
    update_reserved(item, 1);
    for (const auto& [id, amount] : item.reserved_by_worker)
    {
        if (auto* const candidate = find_candidate(candidates_, id))
        {
            change_free(*candidate, resource_amounts{} - amount);
        }
    }
    reservations_[key] = std::move(item);
}

void fleet_scheduler::unreserve(const pending_step_key& key)
{
    const auto found = reservations_.find(key);
    if (found == reservations_.end())
    {
        return;
    }
    update_reserved(found->second, -1);
    for (const auto& [id, amount] : found->second.reserved_by_worker)
    {
        if (auto* const candidate = find_candidate(candidates_, id))
        {
            change_free(*candidate, amount);
        }
    }
    reservations_.erase(found);
}

// Returns true when all reserved workers may get placements.
bool fleet_scheduler::is_usable(const reservation& item)
{
    const auto& reserved = item.reserved_by_worker;
    return std::all_of(reserved.begin(), reserved.end(),
                       [&](const auto& entry)
                       {
                           const auto* const found =
                               find_candidate(candidates_, entry.first);
                           return found != nullptr &&
                                  (item.last_resort || !found->last_resort);
                       });
}

// Takes the need of each started subtask out of the step's reservation, from
// the worker that it starts on if capacity is reserved there. The rest stays
// reserved for the other subtasks.
void fleet_scheduler::use_reservation(const pending_step_key& key,
                                      const std::vector<std::string>& workers,
                                      const resource_amounts& need)
{
    const auto found = reservations_.find(key);
    if (found == reservations_.end())
    {
        return;
    }
    auto rest = found->second;
    unreserve(key);
    for (const auto& id : workers)
    {
        auto at = rest.reserved_by_worker.find(id);
        if (at == rest.reserved_by_worker.end())
        {
            at = rest.reserved_by_worker.begin();
        }
        if (at == rest.reserved_by_worker.end())
        {
            return;
        }
        at->second = at->second - need;
        if (!fits(need, at->second))
        {
            rest.reserved_by_worker.erase(at);
        }
    }
    if (!rest.reserved_by_worker.empty())
    {
        reserve(key, std::move(rest));
    }
}

} // namespace limpetstack::fleet
