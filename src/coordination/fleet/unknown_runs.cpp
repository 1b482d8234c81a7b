// Runs that a worker lists although the leader does not have them there: their
// end was a wrong conclusion, or an order was carried out late. They are
// stopped, and occupy the worker until they have certainly ended.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

// Returns the step of a run that a worker listed; nothing if the job is not in
// the replicated state.
const step_spec* worker_fleet::find_spec(const run_ref& run) const
{
    const auto* const job = state_.find_job(run.job());
    return job != nullptr && run.step() < static_cast<std::uint32_t>(
                                              job->job.spec().steps_size())
               ? &job->job.spec().steps(static_cast<int>(run.step()))
               : nullptr;
}

// Returns what a run that the worker lists occupies there; without the run's
// job, the whole worker.
resource_amounts worker_fleet::need_on(const worker_session& worker,
                                       const run_ref& run) const
{
    const auto* const spec = find_spec(run);
    return spec == nullptr ? worker.capacity : counted_need(*spec);
}

// Stops the run, which lists show that were requested at `sent`, and counts its
// resources. Its lease may come from an order that this leader did not send.
void worker_fleet::record_unknown_run(worker_session& worker,
                                      const run_ref& run, time_point sent,
                                      time_point now)
{
    const auto key = key_of(run);
    const auto [at, added] = worker.unknown_runs.try_emplace(key);
    if (!added)
    {
        // An acknowledged stop that had no effect is sent again.
        at->second.stop_acknowledged =
            at->second.stop_acknowledged &&
            !is_stop_over(at->second.changed_at, sent);
        return;
    }
    workers_with_unknown_runs_.insert(worker.record.id());
    auto& unknown = at->second;
    unknown.ref = run;
    unknown.need = need_on(worker, run);
    worker.used = worker.used + unknown.need;
    worker.clock.inherit_leases(now);
    const auto ended = recent_ends_.find(key);
    const bool known = ended != recent_ends_.end();
    counters_.add(absl::StrCat("unknown_runs_total{ended_as=\"",
                               known ? ended->second.reason : "", "\"}"));
    log_event(log_level::warning, "unknown_run_stopped",
              {{"job", run.job()},
               {"run", key},
               {"worker", worker.record.id()},
               {"born_ms", absl::StrCat(worker.record.born_ms())},
               {"ended_as", known ? ended->second.reason : ""},
               {"ended_ms_ago",
                known ? absl::StrCat((now - ended->second.at).count()) : ""},
               {"epoch", absl::StrCat(epoch_)}});
    report_second_runs(worker, run);
    stop_unknown_run(worker, unknown, now);
}

// Reports the other runs of the unknown run's subtask that may be at work.
void worker_fleet::report_second_runs(const worker_session& worker,
                                      const run_ref& run)
{
    const auto* const spec = find_spec(run);
    if (spec == nullptr || spec->speculative())
    {
        return;
    }
    const auto prefix = absl::StrCat(subtask_key(run), "#");
    for (auto at = runs_.lower_bound(prefix);
         at != runs_.end() && at->first.compare(0, prefix.size(), prefix) == 0;
         ++at)
    {
        const auto& other = at->second;
        if (other.phase == run_phase::proposed ||
            other.phase == run_phase::committed)
        {
            continue;
        }
        counters_.add("subtasks_running_twice_total");
        log_event(log_level::error, "subtask_runs_twice",
                  {{"job", run.job()},
                   {"run", key_of(run)},
                   {"worker", worker.record.id()},
                   {"other_run", at->first},
                   {"other_worker", other.location.worker},
                   {"epoch", absl::StrCat(epoch_)}});
    }
}

void worker_fleet::stop_unknown_run(const worker_session& worker,
                                    unknown_run& run, time_point now)
{
    run.stop_sent = true;
    run.changed_at = now;
    ++run.stop_attempts;
    const worker_incarnation incarnation{worker.record.id(),
                                         worker.record.born_ms()};
    port_.stop(worker.record, run.ref, epoch_,
               timeout_of_attempt(run.stop_attempts, now),
               [this, incarnation, key = key_of(run.ref),
                sent_reading_ms = worker.clock.latest_reading(),
                alive = std::weak_ptr<int>(alive_)](const order_answer& answer)
               {
                   if (!alive.expired())
                   {
                       on_unknown_stop_answer(incarnation, key, sent_reading_ms,
                                              answer, clock_());
                   }
               });
}

void worker_fleet::on_unknown_stop_answer(const worker_incarnation& incarnation,
                                          const std::string& key,
                                          std::int64_t sent_reading_ms,
                                          const order_answer& answer,
                                          time_point now)
{
    auto* const worker = session_of(incarnation);
    if (worker == nullptr)
    {
        return;
    }
    record_order_answer(*worker, sent_reading_ms, answer, now);
    if (answer.result == order_result::newer_epoch)
    {
        deposed_ = true;
        return;
    }
    const auto found = worker->unknown_runs.find(key);
    if (found == worker->unknown_runs.end())
    {
        return;
    }
    auto& run = found->second;
    run.stop_sent = false;
    run.stop_acknowledged =
        run.stop_acknowledged || acknowledges_stop(answer.result);
    run.changed_at = now;
}

void worker_fleet::retry_unknown_stops(worker_session& worker, time_point now)
{
    for (auto& [key, run] : worker.unknown_runs)
    {
        if (!run.stop_sent && !run.stop_acknowledged &&
            now - run.changed_at >= order_retry_delay)
        {
            stop_unknown_run(worker, run, now);
        }
    }
}

// Returns the keys of the subtasks with an unknown run, of which no other run
// may start meanwhile.
std::set<std::string> worker_fleet::unknown_subtasks() const
{
    std::set<std::string> subtasks;
    for (const auto& id : workers_with_unknown_runs_)
    {
        const auto found = workers_.find(id);
        if (found == workers_.end())
        {
            continue;
        }
        for (const auto& [key, run] : found->second.unknown_runs)
        {
            const auto* const spec = find_spec(run.ref);
            if (spec != nullptr && !spec->speculative())
            {
                subtasks.insert(subtask_key(run.ref));
            }
        }
    }
    return subtasks;
}

// Returns true when the start of the run waits for the end of an unknown run of
// one of the subtasks. All members of a gang start together.
bool worker_fleet::must_wait(const live_run& run,
                             const std::set<std::string>& unknown) const
{
    if (unknown.empty() || !run.gang)
    {
        return unknown.count(subtask_key(run.ref)) > 0;
    }
    const auto members = gang_members(run.ref);
    return std::any_of(members.begin(), members.end(),
                       [&](const std::string& key)
                       {
                           return unknown.count(
                                      subtask_key(runs_.at(key).ref)) > 0;
                       });
}

// Returns true when the runs that are placed on the worker do not fit beside
// its unknown runs.
bool worker_fleet::is_overfull(const worker_session& worker)
{
    return !worker.unknown_runs.empty() && !fits(worker.used, worker.capacity);
}

// Frees the resources of an unknown run that has ended, if there is one.
void worker_fleet::release_unknown_run(worker_session& worker,
                                       const std::string& key,
                                       const char* reason)
{
    const auto found = worker.unknown_runs.find(key);
    if (found == worker.unknown_runs.end())
    {
        return;
    }
    log_event(log_level::info, "unknown_run_ended",
              {{"job", found->second.ref.job()},
               {"run", key},
               {"worker", worker.record.id()},
               {"reason", reason},
               {"epoch", absl::StrCat(epoch_)}});
    worker.used = worker.used - found->second.need;
    worker.unknown_runs.erase(found);
    if (worker.unknown_runs.empty())
    {
        workers_with_unknown_runs_.erase(worker.record.id());
    }
}

// Releases unknown runs that are missing in the worker's lists, which were
// requested at `sent`, after the longest time of an acknowledged stop. A run
// that is stopping is not listed.
void worker_fleet::release_missing_runs(worker_session& worker,
                                        const std::set<std::string>& seen,
                                        time_point sent)
{
    std::vector<std::string> ended;
    for (const auto& [key, run] : worker.unknown_runs)
    {
        if (seen.count(key) == 0 && run.stop_acknowledged &&
            is_stop_over(run.changed_at, sent))
        {
            ended.push_back(key);
        }
    }
    for (const auto& key : ended)
    {
        release_unknown_run(worker, key, "absent_after_stop");
    }
}

} // namespace limpetstack::fleet
