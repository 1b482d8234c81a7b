// Decides from the replicated state which runs must not go on, and stops them.
// A leader that begins between a command and the stops that it asks for reaches
// the same decision.
#include "coordination/fleet/worker_fleet.hpp"

#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

// Returns true when another run has done the run's subtask or gang.
bool worker_fleet::is_superseded(const live_run& run) const
{
    const auto* const step = state_.find_step(run.ref);
    if (step == nullptr || !step->done.contains(run.ref.index()))
    {
        return false;
    }
    // The members of the run that completed a gang end by themselves. The end
    // of a run that completes a single subtask removes that run.
    return !run.gang ||
           (step->done_run != 0 && step->done_run != run.ref.run());
}

// Returns true when a gang's run that an earlier leader placed can not become
// or stay whole: a member has ended, is being stopped, or was not placed.
bool worker_fleet::is_gang_broken(const live_run& run) const
{
    const auto* const step = state_.find_step(run.ref);
    return run.gang && run.phase == run_phase::adopted && step != nullptr &&
           !is_done(*step) && !is_gang_complete(run);
}

// Returns why the run must not go on; nullptr if it may. Does not look at the
// other members of a gang.
const char* worker_fleet::obsolete_reason(const live_run& run) const
{
    const auto* const job = state_.find_job(run.ref.job());
    if (job != nullptr && job->cancelled)
    {
        return "job_cancelled";
    }
    if (job != nullptr && job->failed)
    {
        return "job_failed";
    }
    return is_superseded(run) ? "already_done" : nullptr;
}

// Stops the obsolete ones of the runs whose keys begin with `prefix`.
void worker_fleet::stop_obsolete_runs(const std::string& prefix, time_point now)
{
    std::vector<std::string> keys;
    for (auto at = runs_.lower_bound(prefix);
         at != runs_.end() && at->first.compare(0, prefix.size(), prefix) == 0;
         ++at)
    {
        if (!at->second.stop_requested)
        {
            keys.push_back(at->first);
        }
    }
    std::set<std::string> checked_gangs;
    for (const auto& key : keys)
    {
        const auto found = runs_.find(key);
        // Stopping one member of a gang has stopped the others.
        if (found == runs_.end() || found->second.stop_requested)
        {
            continue;
        }
        const auto& run = found->second;
        if (const auto* const reason = obsolete_reason(run))
        {
            stop(key, reason, now);
        }
        else if (run.gang && checked_gangs.insert(gang_key(run.ref)).second &&
                 is_gang_broken(run))
        {
            stop(key, "member_ended", now);
        }
    }
}

} // namespace limpetstack::fleet
