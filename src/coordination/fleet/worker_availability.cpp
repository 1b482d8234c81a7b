// Decides from reports and answers which workers may get placements.
#include "coordination/fleet/worker_fleet.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// A worker stays usable when its report is late by at most this much.
constexpr milliseconds report_tolerance{900};

} // namespace

const char* name_of(worker_availability availability)
{
    switch (availability)
    {
    case worker_availability::usable:
        return "usable";
    case worker_availability::draining:
        return "draining";
    case worker_availability::avoided:
        return "avoided";
    case worker_availability::refusing:
        return "refusing";
    case worker_availability::unreachable:
        break;
    }
    return "unreachable";
}

void worker_fleet::avoid(const std::string& worker, time_point until)
{
    if (const auto found = workers_.find(worker); found != workers_.end())
    {
        found->second.avoid_until = std::max(found->second.avoid_until, until);
    }
}

bool worker_fleet::is_silent(const worker_session& worker, time_point now) const
{
    const auto silence = now - std::max(worker.last_report, worker.last_answer);
    return silence > 2 * options_.report_interval + report_tolerance;
}

worker_availability worker_fleet::availability(const worker_session& worker,
                                               time_point now) const
{
    if (worker.record.draining())
    {
        return worker_availability::draining;
    }
    if (!worker.clock.has_reading() || worker.hold_failures > 0 ||
        is_silent(worker, now))
    {
        return worker_availability::unreachable;
    }
    if (now < worker.refuses_until)
    {
        return worker_availability::refusing;
    }
    return now < worker.avoid_until ? worker_availability::avoided
                                    : worker_availability::usable;
}

bool worker_fleet::is_present(const worker_session& worker,
                              time_point now) const
{
    const auto state = availability(worker, now);
    return state != worker_availability::unreachable &&
           state != worker_availability::draining;
}

} // namespace limpetstack::fleet
