// Decides how evacuations affect the placement of steps.
#include "coordination/fleet/fleet_scheduler.hpp"

#include <string>

namespace limpetstack::fleet
{

// Returns true when the worker is slow because it was not used during an
// evacuation.
bool fleet_scheduler::is_cold(const worker_session& worker,
                              time_point now) const
{
    return now < worker.warm_at &&
           returned_data_centres_.count(worker.record.data_centre()) > 0;
}

// Returns true when all workers of the rack are in evacuated data centres.
// Waiting for them would take as long as the evacuation.
bool fleet_scheduler::is_rack_evacuated(const std::string& rack) const
{
    if (rack.empty() || state_.evacuated().empty())
    {
        return false;
    }
    bool known = false;
    for (const auto& [id, worker] : workers_.workers())
    {
        if (worker.record.rack() == rack)
        {
            if (!workers_.is_evacuated(worker))
            {
                return false;
            }
            known = true;
        }
    }
    return known;
}

// Returns true when the request would fit if nothing were evacuated.
bool fleet_scheduler::would_fit_with_evacuated(
    const placement_request& request) const
{
    std::uint32_t slots = 0;
    bool any_evacuated = false;
    for (const auto& [id, worker] : workers_.workers())
    {
        const placement_candidate candidate{&worker,
                                            worker.capacity - worker.used};
        if (is_eligible(candidate, request))
        {
            slots += count_fitting(candidate, candidate.free, request);
            any_evacuated = any_evacuated || workers_.is_evacuated(worker);
        }
    }
    return any_evacuated &&
           slots >= (request.all_or_nothing ? request.count : 1U);
}

} // namespace limpetstack::fleet
