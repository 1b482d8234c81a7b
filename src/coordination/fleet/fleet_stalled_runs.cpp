// Stops runs that make no progress.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"
#include "coordination/fleet/run_progress.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// A worker on which a run made no progress gets no placements for this time
// while others fit.
constexpr milliseconds avoid_after_stall{8000};

// A paced run takes as much longer as its pace is lower.
run_progress progress_of(const live_run& run)
{
    constexpr std::int64_t full_pace = 100;
    const auto pace =
        std::max<std::int64_t>(run.pace.accepted.value_or(full_pace), 1);
    return {run.percent, run.started_at, run.progressed_at, run.listed_at,
            milliseconds(run.estimate_ms * full_pace / pace)};
}

// Returns true when the run may be at work, so that a gang with it is judged as
// a whole. Runs that this leader has not seen listed never count as stalled.
bool is_at_work(const live_run& run)
{
    return run.phase >= run_phase::starting && !run.stop_requested &&
           !run.lasting && run.pace.accepted != 0;
}

} // namespace

void fleet_scheduler::stop_stalled_runs(time_point now)
{
    std::map<std::string, std::vector<const live_run*>> gangs;
    for (const auto& [key, run] : workers_.runs())
    {
        if (is_at_work(run))
        {
            gangs[run.gang ? gang_key(run.ref) : key].push_back(&run);
        }
    }
    // Stopping a run changes the runs of the fleet, so all are found first.
    std::vector<live_run> stalled;
    for (const auto& [key, runs] : gangs)
    {
        std::vector<run_progress> members;
        members.reserve(runs.size());
        for (const auto* const run : runs)
        {
            members.push_back(progress_of(*run));
        }
        for (const auto index : stalled_members(members))
        {
            stalled.push_back(*runs[index]);
        }
    }
    for (const auto& run : stalled)
    {
        stop_stalled_run(run, now);
    }
}

void fleet_scheduler::stop_stalled_run(const live_run& run, time_point now)
{
    const auto progress = progress_of(run);
    log_event(
        log_level::info, "run_stalled",
        {{"job", run.ref.job()},
         {"run", worker_fleet::key_of(run.ref)},
         {"worker", run.incarnation.worker},
         {"percent", absl::StrCat(run.percent)},
         {"ms_per_percent", absl::StrCat(time_per_percent(progress).count())},
         {"timeout_ms", absl::StrCat(stall_timeout(progress).count())}});
    counters_.add("runs_stalled_total");
    failed_workers_[id_of(run.ref)].insert(run.incarnation.worker);
    workers_.avoid(run.incarnation.worker, now + avoid_after_stall);
    workers_.stop(worker_fleet::key_of(run.ref), "no_progress", now);
}

} // namespace limpetstack::fleet
