// Ends runs whose lease has expired.
#include "coordination/fleet/worker_fleet.hpp"

namespace limpetstack::fleet
{
namespace
{

// Returns true when a reading of the worker's clock shows that it was up at the
// end of the attempt: it had not restarted before.
bool was_up_after(const worker_session& worker, const attempt_end& attempt)
{
    constexpr milliseconds delivery_time{100};
    return worker.clock.latest_reading() >=
           attempt.worker_time_ms + delivery_time.count();
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

// Returns true when the next incarnation of the worker may have accepted the
// attempt, on whose lower clock the lease is longer.
bool may_be_at_successor(const worker_fleet_options& options,
                         const worker_session& worker,
                         const std::optional<attempt_end>& attempt,
                         time_point now)
{
    return attempt && !was_up_after(worker, *attempt) &&
           now < longest_lease_end(options, attempt->at);
}

} // namespace

void worker_fleet::end_expired(worker_session& worker, time_point now)
{
    if (worker.runs.empty() && worker.unknown_runs.empty())
    {
        return;
    }
    const auto expiry = worker.clock.expiry_time();
    if (!expiry || now < *expiry)
    {
        return;
    }
    while (!worker.unknown_runs.empty())
    {
        const auto key = worker.unknown_runs.begin()->first;
        release_unknown_run(worker, key, "lease_over");
    }
    for (const auto& key : worker.runs)
    {
        auto& run = runs_.at(key);
        const bool waits =
            may_be_at_successor(options_, worker, run.open_attempt, now) ||
            may_be_at_successor(options_, worker, run.new_connection_attempt,
                                now);
        if (run.phase == run_phase::starting && !run.end_proposed &&
            worker.last_contact < *expiry)
        {
            mark_unreachable(worker, now);
        }
        if (!waits && run.phase != run_phase::proposed &&
            run.phase != run_phase::committed)
        {
            propose_end(run, run_lapsed, "", "lease_over");
        }
    }
}

} // namespace limpetstack::fleet
