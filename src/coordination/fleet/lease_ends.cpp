// Ends runs whose lease has expired.
#include "coordination/fleet/worker_fleet.hpp"

namespace limpetstack::fleet
{
namespace
{

// Returns true when a reading of the worker's clock shows that it had not
// restarted before the last attempt to start the run.
bool was_up_after_start(const worker_session& worker, const live_run& run)
{
    constexpr milliseconds delivery_time{100};
    return worker.clock.latest_reading() >=
           run.last_sent_clock_ms + delivery_time.count();
}

// Returns when the longest lease has expired that an incarnation of a worker
// may grant itself at `from`.
time_point longest_lease_end(const worker_fleet_options& options,
                             time_point from)
{
    lease_clock clock(options.max_clock_drift, options.max_lease);
    clock.inherit_leases(from);
    return *clock.expiry_time();
}

} // namespace

// Ends the runs whose lease has expired. An unanswered start may have reached
// the next incarnation, on whose lower clock the lease is longer.
void worker_fleet::end_expired(worker_session& worker, time_point now)
{
    if (worker.runs.empty())
    {
        return;
    }
    const auto expiry = worker.clock.expiry_time();
    if (!expiry || now < *expiry)
    {
        return;
    }
    bool may_be_at_successor = false;
    for (const auto& key : worker.runs)
    {
        const auto& run = runs_.at(key);
        if (run.phase == run_phase::starting && !run.end_proposed)
        {
            mark_unreachable(worker);
            may_be_at_successor =
                may_be_at_successor ||
                (!was_up_after_start(worker, run) &&
                 now < longest_lease_end(options_, run.last_sent_at));
        }
    }
    if (may_be_at_successor)
    {
        return;
    }
    for (const auto& key : worker.runs)
    {
        auto& run = runs_.at(key);
        if (run.phase != run_phase::proposed &&
            run.phase != run_phase::committed)
        {
            propose_end(run, run_lapsed, "", "lease_over");
        }
    }
}

} // namespace limpetstack::fleet
