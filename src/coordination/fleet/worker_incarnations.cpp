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
        add_session(record, now);
        return;
    }
    if (found->second.record.born_ms() == record.born_ms())
    {
        found->second.record = record;
        found->second.capacity = to_amounts(record.capacity());
        return;
    }
    record_crash(found->second);
    close_connections(found->second.record, now);
    end_incarnation({record.id(), found->second.record.born_ms()},
                    "worker_born_again", now);
    add_session(record, now);
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
        if (run.incarnation.worker == record.id() && run.stop_sent)
        {
            run.stop_sent = false;
            run.changed_at = now;
        }
    }
}

void worker_fleet::end_incarnation(const worker_incarnation& incarnation,
                                   const char* reason, time_point now)
{
    for (auto& [key, run] : runs_)
    {
        if (!(run.incarnation == incarnation))
        {
            continue;
        }
        if (run.phase == run_phase::starting)
        {
            // The start order may still arrive, at the next incarnation.
            run.worker_restarted = true;
            stopping_.insert(key);
            run.stop_requested = true;
            run.stop_sent = false;
            run.changed_at = now;
        }
        else if (run.phase != run_phase::proposed)
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
    if (worker.removal_proposed || !worker.runs.empty() ||
        silence < options_.remove_silent_after)
    {
        return;
    }
    worker.removal_proposed = true;
    log_event(log_level::warning, "silent_worker_removed",
              {{"worker", worker.record.id()},
               {"silence_ms", absl::StrCat(silence.count())},
               {"epoch", absl::StrCat(epoch_)}});
    fleet_command command;
    auto& removed = *command.mutable_remove_worker();
    removed.set_id(worker.record.id());
    removed.set_born_ms(worker.record.born_ms());
    propose_(std::move(command));
}

} // namespace limpetstack::fleet
