// Finds out that a worker crashed, and which runs may have caused it.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"
#include "coordination/fleet/crash_evidence.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

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

// Workers that are lost at most this long before or after a crash may have been
// lost for the same cause.
constexpr milliseconds loss_window{4000};

// Losses are kept for this time, in which the crashes near them are recorded.
constexpr milliseconds max_loss_age{60000};

// Time for which a run is on trial: a start is answered and the window passes.
constexpr milliseconds trial_time{1000};

} // namespace

// Records an attempt to start the run; only the last one counts that was made
// while nothing showed that the worker was down.
void worker_fleet::record_start(const live_run& run, worker_session& worker,
                                time_point now)
{
    if (worker.closed_at)
    {
        return;
    }
    auto& starts = worker.recent_starts;
    const auto key = key_of(run.ref);
    starts.erase(std::remove_if(starts.begin(), starts.end(),
                                [&key](const recent_start& start)
                                {
                                    return key_of(start.run) == key;
                                }),
                 starts.end());
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

// Returns when the worker last answered or reported. It was lost between then
// and the time at which its connection was found closed.
time_point worker_fleet::last_sign_of_life(const worker_session& worker)
{
    return std::max(worker.last_contact, worker.last_report);
}

// Returns the runs that the worker may not have outlived: those of which the
// start was sent at most a short time before its last sign of life, and runs of
// an earlier leader that nothing has shown to go on, if workers have crashed
// under their subtasks before.
std::vector<run_ref>
worker_fleet::crash_suspects(const worker_session& worker) const
{
    std::vector<run_ref> suspects;
    for (const auto& start : worker.recent_starts)
    {
        if (last_sign_of_life(worker) - start.at <= crash_window)
        {
            suspects.push_back(start.run);
        }
    }
    for (const auto& key : worker.runs)
    {
        const auto& run = runs_.at(key);
        const auto* const subtask = run.phase == run_phase::adopted
                                        ? state_.find_subtask(run.ref)
                                        : nullptr;
        if (subtask != nullptr && !subtask->crashes.empty())
        {
            suspects.push_back(run.ref);
        }
    }
    return suspects;
}

// Returns true when the worker accepted the start of the run.
bool worker_fleet::was_accepted(const run_ref& run) const
{
    const auto found = runs_.find(key_of(run));
    return found != runs_.end() && found->second.present_since_ms > 0;
}

// Returns what the crash of the worker says about the suspects. Their start is
// its cause if the worker accepted it, closed the connection a short time
// later, had been up for some time, and if few other workers were lost.
crash_cause worker_fleet::cause_of_crash(const worker_session& worker,
                                         const std::vector<run_ref>& suspects,
                                         bool losses_rare) const
{
    const auto& starts = worker.recent_starts;
    const bool started_just_before =
        worker.closed_at && !starts.empty() &&
        *worker.closed_at - starts.back().at <= crash_window;
    if (suspects.empty() || !started_just_before || !losses_rare ||
        !is_steady(worker, *worker.closed_at) ||
        !std::all_of(suspects.begin(), suspects.end(),
                     [this](const run_ref& run)
                     {
                         return was_accepted(run);
                     }))
    {
        return crash_cause::unknown;
    }
    const bool one_job =
        std::all_of(suspects.begin(), suspects.end(),
                    [&suspects](const run_ref& run)
                    {
                        return run.job() == suspects.front().job();
                    });
    return one_job ? crash_cause::sole : crash_cause::shared;
}

// Returns when the worker was found to be lost, if it was lost for a reason
// other than a run that it had just accepted.
std::optional<time_point>
worker_fleet::unexplained_loss(const worker_session& worker) const
{
    if ((!worker.closed_at && !worker.unreachable) || worker.crash_recorded ||
        worker.record.draining())
    {
        return std::nullopt;
    }
    const auto suspects = crash_suspects(worker);
    const bool explained = std::any_of(suspects.begin(), suspects.end(),
                                       [this](const run_ref& run)
                                       {
                                           return was_accepted(run);
                                       });
    return explained ? std::nullopt
                     : std::optional(
                           worker.closed_at.value_or(worker.unreachable_since));
}

// Returns true when few workers were lost for unexplained reasons within a few
// seconds of `at`. A leader that has just begun can not know that.
bool worker_fleet::are_losses_rare(time_point at) const
{
    if (at - began_at_ < loss_window)
    {
        return false;
    }
    const auto is_near = [at](time_point lost_at)
    {
        return lost_at >= at - loss_window && lost_at <= at + loss_window;
    };
    auto losses = std::count_if(unexplained_losses_.begin(),
                                unexplained_losses_.end(), is_near);
    losses += std::count_if(workers_.begin(), workers_.end(),
                            [this, &is_near](const auto& item)
                            {
                                const auto lost_at =
                                    unexplained_loss(item.second);
                                return lost_at && is_near(*lost_at);
                            });
    return is_rare(static_cast<std::size_t>(losses), workers_.size());
}

void worker_fleet::record_unexplained_loss(time_point lost_at, time_point now)
{
    while (!unexplained_losses_.empty() &&
           unexplained_losses_.front() < now - max_loss_age)
    {
        unexplained_losses_.pop_front();
    }
    unexplained_losses_.push_back(lost_at);
}

// Lets the live runs of the subtasks under which a worker crashed show again
// that they have outlived their start.
void worker_fleet::on_crash_applied(const worker_crash& crash)
{
    for (const auto& suspect : crash.suspects())
    {
        const auto prefix = subtask_key(suspect) + "#";
        for (auto at = runs_.lower_bound(prefix);
             at != runs_.end() &&
             at->first.compare(0, prefix.size(), prefix) == 0;
             ++at)
        {
            at->second.outlived_start = false;
        }
    }
}

// Proposes to record that the run did not crash its worker, if earlier runs of
// its subtask may have. `worker_time_ms` is a time at which the worker was up.
void worker_fleet::record_survival(live_run& run, std::int64_t worker_time_ms)
{
    if (run.outlived_start || run.present_since_ms == 0 ||
        worker_time_ms - run.present_since_ms < crash_window.count() ||
        !(run.location == run.incarnation))
    {
        return;
    }
    run.outlived_start = true;
    const auto* const subtask = state_.find_subtask(run.ref);
    if (subtask == nullptr || subtask->crashes.empty())
    {
        return;
    }
    log_event(log_level::info, "crashes_refuted",
              {{"job", run.ref.job()},
               {"run", key_of(run.ref)},
               {"worker", run.location.worker},
               {"crashes", describe(subtask->crashes)},
               {"epoch", absl::StrCat(epoch_)}});
    fleet_command command;
    *command.mutable_survived_run() = run.ref;
    propose_(std::move(command));
}

// Proposes to record the crash of a worker whose next incarnation has reported.
void worker_fleet::record_crash(worker_session& worker, time_point now)
{
    if (worker.crash_recorded || worker.record.draining())
    {
        return;
    }
    worker.crash_recorded = true;
    const auto suspects = crash_suspects(worker);
    const auto lost_at = worker.closed_at.value_or(last_sign_of_life(worker));
    const bool losses_rare = are_losses_rare(lost_at);
    const auto cause = cause_of_crash(worker, suspects, losses_rare);
    log_crash(worker, suspects, cause, losses_rare, now - lost_at);
    const auto may_have_run = [this](const run_ref& run)
    {
        const auto found = runs_.find(key_of(run));
        return was_accepted(run) || (found != runs_.end() &&
                                     found->second.phase == run_phase::adopted);
    };
    const bool had_started =
        std::any_of(suspects.begin(), suspects.end(), may_have_run);
    if (!had_started)
    {
        record_unexplained_loss(lost_at, now);
    }
    // While many workers are lost, a start that was not accepted says nothing.
    if (suspects.empty() || (!had_started && !losses_rare))
    {
        return;
    }
    fleet_command command;
    auto& crash = *command.mutable_crash();
    crash.set_worker(worker.record.id());
    crash.set_born_ms(worker.record.born_ms());
    crash.set_address(worker.record.address());
    crash.set_at_ms(wall_ms_());
    crash.set_conclusive(cause == crash_cause::sole);
    crash.set_shared(cause == crash_cause::shared);
    for (const auto& run : suspects)
    {
        *crash.add_suspects() = run;
    }
    propose_(std::move(command));
}

void worker_fleet::log_crash(const worker_session& worker,
                             const std::vector<run_ref>& suspects,
                             crash_cause cause, bool losses_rare,
                             milliseconds since_loss) const
{
    counters_.add("worker_crashes_total");
    std::string names;
    bool accepted = true;
    for (const auto& run : suspects)
    {
        absl::StrAppend(&names, names.empty() ? "" : ",", key_of(run));
        accepted = accepted && was_accepted(run);
    }
    const bool steady =
        worker.closed_at && is_steady(worker, *worker.closed_at);
    log_event(log_level::warning, "worker_crashed",
              {{"worker", worker.record.id()},
               {"runs", absl::StrCat(worker.runs.size())},
               {"suspects", names},
               {"conclusive", cause == crash_cause::unknown ? "no" : "yes"},
               {"closed", worker.closed_at ? "yes" : "no"},
               {"accepted", accepted ? "yes" : "no"},
               {"steady", steady ? "yes" : "no"},
               {"losses_rare", losses_rare ? "yes" : "no"},
               {"lost_ms_ago", absl::StrCat(since_loss.count())},
               {"epoch", absl::StrCat(epoch_)}});
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
            record_crash(worker, now);
        }
    }
}

} // namespace limpetstack::fleet
