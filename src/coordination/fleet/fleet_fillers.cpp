// Moves fillers that stand still because of the serving runs beside them.
#include "coordination/fleet/fleet_scheduler.hpp"

#include <algorithm>
#include <string>

namespace limpetstack::fleet
{
namespace
{

// A filler whose pace has been 0 for this time is moved if another worker fits
// it. It loses the work since its last checkpoint.
constexpr milliseconds stopped_filler_limit{10000};

// Time between two moves, so that each takes the place of the one before it
// into account.
constexpr milliseconds filler_move_interval{2000};

} // namespace

// Returns true when a worker without serving runs has free capacity for the
// run.
bool fleet_scheduler::fits_elsewhere(const live_run& run, time_point now) const
{
    const auto* const job = state_.find_job(run.ref.job());
    if (job == nullptr)
    {
        return false;
    }
    const auto& spec = job->job.spec().steps(static_cast<int>(run.ref.step()));
    placement_request request;
    request.count = 1;
    request.need = run.need;
    request.service = queue_of(*job).service;
    request.required_label = spec.required_label();
    request.filler = true;
    const auto& workers = workers_.workers();
    return std::any_of(workers.begin(), workers.end(),
                       [&](const auto& entry)
                       {
                           const auto& worker = entry.second;
                           const placement_candidate candidate{
                               &worker, worker.capacity - worker.used, 0,
                               worker.filler_runs > 0, worker.serving_runs > 0};
                           return workers_.availability(worker, now) ==
                                      worker_availability::usable &&
                                  is_eligible(candidate, request) &&
                                  !would_share(candidate, request) &&
                                  count_fitting(candidate, candidate.free,
                                                request) > 0;
                       });
}

void fleet_scheduler::move_stopped_fillers(time_point now)
{
    if (now < next_filler_move_)
    {
        return;
    }
    for (const auto& [id, worker] : workers_.workers())
    {
        if (!worker.pace || !worker.pace->stopped_since ||
            now - *worker.pace->stopped_since < stopped_filler_limit)
        {
            continue;
        }
        for (const auto& key : worker.runs)
        {
            const auto& run = workers_.runs().at(key);
            if (run.filler && !run.lasting && !run.gang &&
                !run.stop_requested && run.pace.accepted == 0 &&
                fits_elsewhere(run, now))
            {
                next_filler_move_ = now + filler_move_interval;
                counters_.add("fillers_moved_total");
                workers_.stop(key, "stopped_by_pace", now);
                return;
            }
        }
    }
}

} // namespace limpetstack::fleet
