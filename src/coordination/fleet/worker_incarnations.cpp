// Begins and ends incarnations of workers.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
void worker_fleet::refresh_record(const worker_record& record, time_point now)
{
    const auto found = workers_.find(record.id());
    if (found == workers_.end())
    {
        record_crash_behind(record, now);
        move_orphans(add_session(record, now), now);
        return;
    }
    if (found->second.record.born_ms() == record.born_ms())
    {
        found->second.record = record;
        if (found->second.removed)
        {
            found->second.removed = false;
            found->second.removal_proposed = false;
        }
        found->second.capacity = to_amounts(record.capacity());
        return;
    }
    record_crash(found->second, now);
    const worker_incarnation earlier{record.id(),
                                     found->second.record.born_ms()};
    const auto keys = found->second.runs;
    close_connections(found->second.record, now);
    move_unproved_runs(keys, add_session(record, now), now);
    end_runs(keys, earlier, "worker_born_again");
}

// Moves runs whose start may have reached the next incarnation of their worker
// to that. A start reached the earlier one only if that has listed the run and
// no other attempt is under way. The attempts of an earlier leader are unknown.
void worker_fleet::move_unproved_runs(const std::set<std::string>& keys,
                                      worker_session& successor, time_point now)
{
    for (const auto& key : keys)
    {
        auto& run = runs_.at(key);
        const bool sent = run.phase != run_phase::proposed &&
                          run.phase != run_phase::committed;
        const bool reached_earlier_only =
            run.listed_by_incarnation && run.start_attempts == 1;
        if (sent && !reached_earlier_only && !run.end_proposed)
        {
            stop_at_successor(run, successor, now);
        }
    }
}

// Stops the run at the next incarnation of its worker and counts its resources
// there. It ends like any run that is stopped, at the latest when a lease has
// expired that the next incarnation gave it before now.
void worker_fleet::move_run(live_run& run, worker_session& successor,
                            time_point now)
{
    run.location = {successor.record.id(), successor.record.born_ms()};
    run.phase = run_phase::present;
    run.stop_requested = true;
    run.stop_sent = false;
    run.stop_acknowledged = false;
    run.changed_at = now;
    stopping_.insert(key_of(run.ref));
    occupy(successor, run);
    successor.clock.inherit_leases(now);
    log_event(log_level::info, "run_stopping",
              {{"job", run.ref.job()},
               {"run", key_of(run.ref)},
               {"worker", run.location.worker},
               {"born_ms", absl::StrCat(run.location.born_ms)},
               {"reason", "worker_restarted"}});
}

// Moves the run and stops it there. Wherever it was, its gang is broken: one
// incarnation has crashed, and the other one is told to stop it.
void worker_fleet::stop_at_successor(live_run& run, worker_session& successor,
                                     time_point now)
{
    move_run(run, successor, now);
    send_stop(run, now);
    if (run.gang)
    {
        abort_gang(run, "member_restarted", now);
    }
}

// Records that another incarnation answered for the worker, which may have
// accepted starts with its own longest lease.
void worker_fleet::record_successor(worker_session& worker, time_point now)
{
    if (worker.replaced_at)
    {
        return; // No start or lease was sent since the first such answer.
    }
    worker.replaced_at = now;
    worker.clock.inherit_leases(now);
    log_event(log_level::warning, "worker_replaced",
              {{"worker", worker.record.id()},
               {"born_ms", absl::StrCat(worker.record.born_ms())},
               {"runs", absl::StrCat(worker.runs.size())},
               {"epoch", absl::StrCat(epoch_)}});
}

// Closes the connections to the worker. Answers to orders that are under way
// get lost, so its unacknowledged stops are sent again.
void worker_fleet::close_connections(const worker_record& record,
                                     time_point now)
{
    port_.close_connections(record);
    for (const auto& key : stopping_)
    {
        auto& run = runs_.at(key);
        if (run.location.worker == record.id() && run.stop_sent)
        {
            run.stop_sent = false;
            run.changed_at = now;
        }
    }
}

// Ends those of the runs that are still on the incarnation.
void worker_fleet::end_runs(const std::set<std::string>& keys,
                            const worker_incarnation& incarnation,
                            const char* reason)
{
    for (const auto& key : keys)
    {
        auto& run = runs_.at(key);
        if (run.location == incarnation && run.phase != run_phase::proposed)
        {
            propose_end(run, run_lapsed, "", reason);
        }
    }
}

// Proposes the removal of a worker without runs that has been silent for too
// long: it crashed and is not coming back. A worker that was only disconnected
// is added again by its next report.
void worker_fleet::remove_silent(worker_session& worker, time_point now)
{
    const auto silence = now - std::max(worker.last_report, worker.last_answer);
    if (worker.runs.empty() && silence >= options_.remove_silent_after)
    {
        propose_removal(worker, "silent", false);
    }
}

// Proposes to remove the worker from the state. Reports of an incarnation that
// is `gone` are obsolete from then on.
void worker_fleet::propose_removal(worker_session& worker, const char* reason,
                                   bool gone)
{
    if (worker.removal_proposed)
    {
        return;
    }
    worker.removal_proposed = true;
    log_event(log_level::warning, "worker_removed",
              {{"worker", worker.record.id()},
               {"reason", reason},
               {"runs", absl::StrCat(worker.runs.size())},
               {"epoch", absl::StrCat(epoch_)}});
    fleet_command command;
    auto& removed = *command.mutable_remove_worker();
    removed.set_id(worker.record.id());
    removed.set_born_ms(worker.record.born_ms());
    removed.set_gone(gone);
    propose_(std::move(command));
}

// Records that the worker is up at its address.
void worker_fleet::record_owner(const worker_session& worker, time_point now)
{
    auto& owner = address_owners_[worker.record.address()];
    if (worker.record.born_ms() >= owner.born_ms)
    {
        owner = {worker.record.born_ms(), now};
    }
}

// Returns true when a younger incarnation at the worker's address was known or
// answered after the last contact with the worker. Both can not be up. The
// start times alone prove nothing: they come from clocks that may differ.
bool worker_fleet::is_displaced(const worker_session& worker) const
{
    const auto found = address_owners_.find(worker.record.address());
    return found != address_owners_.end() &&
           found->second.born_ms > worker.record.born_ms() &&
           found->second.seen_at >= worker.last_contact;
}

// Removes an unreachable worker that a younger incarnation at its address
// proves gone, so that its runs do not wait for the end of their lease.
void worker_fleet::remove_displaced(worker_session& worker, time_point now)
{
    if ((worker.unreachable || is_silent(worker, now)) &&
        !worker.removal_proposed && is_displaced(worker))
    {
        propose_removal(worker, "displaced", true);
    }
}

} // namespace limpetstack::fleet
