// Finds out that a worker crashed, and which runs may have caused it.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// A run that started at most this long before its worker crashed may have
// caused the crash.
constexpr milliseconds crash_window{300};

// The crash of a worker that has run for a shorter time may have the same cause
// as the one before it.
constexpr milliseconds steady_after{4000};

// Time for which a run is on trial: a start is answered and the window passes.
constexpr milliseconds trial_time{1000};

} // namespace

void worker_fleet::record_start(const live_run& run, worker_session& worker,
                                time_point now)
{
    auto& starts = worker.recent_starts;
    while (!starts.empty() && now - starts.front().at > crash_window)
    {
        starts.pop_front();
    }
    starts.push_back({run.ref, now});
}

bool worker_fleet::is_quiet(const worker_session& worker, time_point now) const
{
    const auto& starts = worker.recent_starts;
    const bool recent =
        !starts.empty() && now - starts.back().at <= crash_window;
    return !recent && std::none_of(worker.runs.begin(), worker.runs.end(),
                                   [this](const std::string& key)
                                   {
                                       const auto phase = runs_.at(key).phase;
                                       return phase == run_phase::proposed ||
                                              phase == run_phase::committed ||
                                              phase == run_phase::starting;
                                   });
}

bool worker_fleet::is_steady(const worker_session& worker, time_point now)
{
    return now - worker.added_at >= steady_after;
}

void worker_fleet::begin_trial(const std::string& worker, time_point now)
{
    if (const auto found = workers_.find(worker); found != workers_.end())
    {
        found->second.trial_until = now + trial_time;
    }
}

// Returns the runs that started shortly before the worker was lost. A worker
// that closed its connection crashed at that moment; one that fell silent may
// have crashed at any time after its last answer.
std::vector<run_ref> worker_fleet::crash_suspects(const worker_session& worker)
{
    const auto lost_at = worker.closed_at.value_or(worker.last_contact);
    std::vector<run_ref> suspects;
    for (const auto& start : worker.recent_starts)
    {
        if (lost_at - start.at <= crash_window)
        {
            suspects.push_back(start.run);
        }
    }
    return suspects;
}

// Proposes to record the crash of a worker whose next incarnation has reported.
void worker_fleet::record_crash(worker_session& worker)
{
    if (worker.crash_recorded || worker.record.draining())
    {
        return;
    }
    worker.crash_recorded = true;
    const auto suspects = crash_suspects(worker);
    const bool one_job =
        !suspects.empty() &&
        std::all_of(suspects.begin(), suspects.end(),
                    [&suspects](const run_ref& run)
                    {
                        return run.job() == suspects.front().job();
                    });
    const bool conclusive =
        one_job && worker.closed_at && is_steady(worker, *worker.closed_at);
    counters_.add("worker_crashes_total");
    std::string names;
    for (const auto& run : suspects)
    {
        absl::StrAppend(&names, names.empty() ? "" : ",", key_of(run));
    }
    log_event(log_level::warning, "worker_crashed",
              {{"worker", worker.record.id()},
               {"runs", absl::StrCat(worker.runs.size())},
               {"suspects", names},
               {"conclusive", conclusive ? "yes" : "no"},
               {"closed", worker.closed_at ? "yes" : "no"},
               {"epoch", absl::StrCat(epoch_)}});
    if (suspects.empty())
    {
        return;
    }
    fleet_command command;
    auto& crash = *command.mutable_crash();
    crash.set_worker(worker.record.id());
    crash.set_born_ms(worker.record.born_ms());
    crash.set_conclusive(conclusive);
    for (const auto& run : suspects)
    {
        *crash.add_suspects() = run;
    }
    propose_(std::move(command));
}

// A worker that crashed may come back under another id. A younger incarnation
// at the address of one that does not answer proves that the latter is gone.
void worker_fleet::record_crash_behind(const worker_record& successor,
                                       time_point now)
{
    for (auto& [id, worker] : workers_)
    {
        if (id != successor.id() &&
            worker.record.address() == successor.address() &&
            worker.record.born_ms() < successor.born_ms() &&
            (worker.unreachable || is_silent(worker, now)))
        {
            record_crash(worker);
        }
    }
}

} // namespace limpetstack::fleet
