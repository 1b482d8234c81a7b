// Departures of workers, their removal from the state, and the ends of the runs
// that are left on them.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Time for which a departure awaits the ends of the worker's runs. A forwarded
// call fails after 900 ms, and the removal must be committed before that.
constexpr milliseconds departure_limit{600};

// Covers timers that fire late on the worker.
constexpr milliseconds stop_margin{100};

// Returns the time after the acknowledgement of a stop in which it is over,
// measured by a clock that may run slow.
milliseconds certain_stop_time(const worker_fleet_options& options)
{
    return milliseconds(static_cast<milliseconds::rep>(
               static_cast<double>(options.max_stop_time.count()) /
               (1 - options.max_clock_drift))) +
           stop_margin;
}

// Returns true when runs, known or not, are or may be at work on the worker.
bool occupies_resources(const worker_session& worker)
{
    return !worker.runs.empty() || !worker.unknown_runs.empty();
}

} // namespace

void worker_fleet::begin_departure(const worker_incarnation& incarnation,
                                   departure_handler ready, time_point now)
{
    auto* const worker = session_of(incarnation);
    if (worker != nullptr && !worker->departing_since)
    {
        worker->departing_since = now;
        log_event(log_level::info, "worker_departing",
                  {{"worker", incarnation.worker},
                   {"runs", absl::StrCat(worker->runs.size())},
                   {"epoch", absl::StrCat(epoch_)}});
        stop_all(*worker, "worker_leaves", now);
    }
    departures_.push_back({incarnation, std::move(ready)});
}

void worker_fleet::cancel_departures()
{
    for (const auto& item : std::exchange(departures_, {}))
    {
        item.ready(false);
    }
}

// Calls the handlers of departures whose worker may be removed now.
void worker_fleet::finish_departures(time_point now)
{
    const auto due = std::stable_partition(
        departures_.begin(), departures_.end(),
        [this, now](const departure& item)
        {
            const auto* const worker = session_of(item.incarnation);
            return worker != nullptr && !worker->removed &&
                   occupies_resources(*worker) && worker->departing_since &&
                   now - *worker->departing_since < departure_limit;
        });
    const std::vector<departure> ready(
        std::make_move_iterator(due),
        std::make_move_iterator(departures_.end()));
    departures_.erase(due, departures_.end());
    for (const auto& item : ready)
    {
        item.ready(true);
    }
}

void worker_fleet::stop_all(const worker_session& worker, const char* reason,
                            time_point now)
{
    const auto keys = worker.runs;
    for (const auto& key : keys)
    {
        if (!runs_.at(key).end_proposed)
        {
            stop(key, reason, now);
        }
    }
}

// Keeps the worker until its runs have ended: it may not have received the
// answer to its departure, and then runs on for some seconds.
void worker_fleet::begin_removal(worker_session& worker, time_point now)
{
    worker.removed = true;
    worker.removal_proposed = true;
    removed_workers_.insert(worker.record.id());
    if (!worker.clock.expiry_time())
    {
        worker.clock.inherit_leases(now);
    }
    end_proved_runs(worker, now);
    stop_all(worker, "worker_removed", now);
    if (occupies_resources(worker) && !worker.unreachable && !worker.holding)
    {
        request_lists(worker, now);
    }
    finish_removals(now);
}

// Ends the runs of a removed worker that have certainly ended. Others end when
// the worker lists their end or its leases have expired.
void worker_fleet::end_proved_runs(const worker_session& worker, time_point now)
{
    const bool displaced =
        (worker.unreachable || is_silent(worker, now)) && is_displaced(worker);
    const auto keys = worker.runs;
    for (const auto& key : keys)
    {
        auto& run = runs_.at(key);
        if (run.phase == run_phase::proposed)
        {
            continue; // The state refuses the placement.
        }
        if (displaced)
        {
            propose_end(run, run_lapsed, "", "displaced");
        }
        else if (run.stop_acknowledged &&
                 now - run.changed_at >= certain_stop_time(options_))
        {
            propose_end(run, run_stopped, "", "stopped_before_departure");
        }
    }
}

void worker_fleet::finish_removals(time_point now)
{
    for (auto at = removed_workers_.begin(); at != removed_workers_.end();)
    {
        const auto found = workers_.find(*at);
        const bool replaced = found == workers_.end() || !found->second.removed;
        if (!replaced)
        {
            end_proved_runs(found->second, now);
        }
        if (!replaced && occupies_resources(found->second))
        {
            ++at;
            continue;
        }
        if (!replaced)
        {
            close_connections(found->second.record, now);
            workers_.erase(found);
        }
        at = removed_workers_.erase(at);
    }
}

// Keeps a run whose worker was removed under an earlier leader. No order can
// reach the worker, so only the end of its leases proves the end of the run.
void worker_fleet::orphan_run(const std::string& key, time_point now)
{
    lease_clock leases(options_.max_clock_drift, options_.max_lease);
    leases.inherit_leases(now + options_.leadership_overlap);
    orphans_end_at_ = *leases.expiry_time();
    orphans_.insert(key);
    const auto& run = runs_.at(key);
    log_event(log_level::info, "run_orphaned",
              {{"job", run.ref.job()},
               {"run", key},
               {"worker", run.location.worker},
               {"born_ms", absl::StrCat(run.location.born_ms)},
               {"epoch", absl::StrCat(epoch_)}});
}

// Moves the orphaned runs of the worker's earlier incarnations to it, because
// it may have received their start.
void worker_fleet::move_orphans(worker_session& successor, time_point now)
{
    const auto orphans = orphans_;
    for (const auto& key : orphans)
    {
        auto& run = runs_.at(key);
        if (run.location.worker == successor.record.id() &&
            run.location.born_ms < successor.record.born_ms() &&
            !run.end_proposed)
        {
            orphans_.erase(key);
            stop_at_successor(run, successor, now);
        }
    }
}

void worker_fleet::end_orphans(time_point now)
{
    if (now < orphans_end_at_)
    {
        return;
    }
    for (const auto& key : std::exchange(orphans_, {}))
    {
        propose_end(runs_.at(key), run_lapsed, "", "lease_over");
    }
}

} // namespace limpetstack::fleet
