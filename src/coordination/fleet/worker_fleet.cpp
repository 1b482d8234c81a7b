#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Time between two scans of all workers for timeouts that have expired.
constexpr milliseconds scan_interval{40};

} // namespace

std::string subtask_key(const run_ref& run)
{
    return absl::StrCat(run.job(), ".", run.occurrence(), ".", run.step(), ".",
                        run.index());
}

std::string gang_key(const run_ref& run)
{
    return absl::StrCat(run.job(), ".", run.occurrence(), ".", run.step(), "#",
                        run.run());
}

std::string worker_fleet::key_of(const run_ref& run)
{
    return absl::StrCat(subtask_key(run), "#", run.run());
}

worker_fleet::worker_fleet(const worker_fleet_options& options,
                           const fleet_state& state, worker_port& port,
                           proposer propose, clock_reader clock,
                           wall_clock_reader wall_ms, std::uint64_t epoch,
                           metrics& counters)
    : options_(options)
    , state_(state)
    , port_(port)
    , propose_(std::move(propose))
    , clock_(std::move(clock))
    , wall_ms_(std::move(wall_ms))
    , epoch_(epoch)
    , counters_(counters)
    , began_at_(clock_())
{
    const auto now = began_at_;
    for (const auto& [id, record] : state_.workers())
    {
        add_session(record, now)
            .clock.inherit_leases(now + options_.leadership_overlap);
    }
    for (auto& [address, owner] : address_owners_)
    {
        owner.seen_at = {};
    }
    for (const auto& [id, job] : state_.jobs())
    {
        for (const auto& [number, occurrence] : job.occurrences)
        {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
            {
                adopt_runs(id, number, static_cast<std::uint32_t>(s),
                           occurrence.steps[s], now);
            }
        }
    }
    // Runs on an incarnation that is not in the state may be at the next one,
    // which may have received their start.
    for (auto& [key, run] : runs_)
    {
        if (session_of(run.location) != nullptr)
        {
            continue;
        }
        const auto found = workers_.find(run.location.worker);
        if (found != workers_.end() &&
            found->second.record.born_ms() > run.location.born_ms)
        {
            move_run(run, found->second, now);
        }
        else
        {
            orphan_run(key, now);
        }
    }
}

// Takes over the runs of the step that earlier leaders placed.
void worker_fleet::adopt_runs(const std::string& job, std::uint32_t occurrence,
                              std::uint32_t step, const step_state& state,
                              time_point now)
{
    run_ref ref;
    ref.set_job(job);
    ref.set_occurrence(occurrence);
    ref.set_step(step);
    for (const auto& [first, end] : state.active.ranges())
    {
        for (auto index = first; index < end; ++index)
        {
            ref.set_index(index);
            for (const auto& active : state.subtasks.at(index).active)
            {
                ref.set_run(active.run);
                add_run(ref, active.incarnation, run_phase::adopted, now);
            }
        }
    }
}

worker_session& worker_fleet::add_session(const worker_record& record,
                                          time_point now)
{
    auto& worker =
        workers_
            .insert_or_assign(
                record.id(), worker_session(lease_clock(
                                 options_.max_clock_drift, options_.max_lease)))
            .first->second;
    worker.record = record;
    worker.capacity = to_amounts(record.capacity());
    worker.last_report = now;
    worker.last_contact = now;
    worker.added_at = now;
    record_owner(worker, now);
    due_workers_.insert(record.id());
    return worker;
}

live_run& worker_fleet::add_run(const run_ref& run,
                                const worker_incarnation& incarnation,
                                run_phase phase, time_point now)
{
    const auto key = key_of(run);
    auto& live = runs_[key];
    live.ref = run;
    live.incarnation = incarnation;
    live.location = incarnation;
    live.phase = phase;
    live.changed_at = now;
    live.started_at = now;
    if (const auto* const job = state_.find_job(run.job()))
    {
        const auto& step = job->job.spec().steps(static_cast<int>(run.step()));
        live.need = counted_need(step);
        live.gang = step.gang();
        live.checkpointable = step.checkpointable();
        live.lasting = step.lasting();
        live.estimate_ms = step.estimate_ms();
        live.filler = step.filler();
        live.serves_users = step.tail_latency_ms() > 0;
        live.tail_latency_target_ms = step.tail_latency_ms();
    }
    if (phase == run_phase::adopted)
    {
        live.pace.accepted.reset(); // An earlier leader may have changed it.
    }
    if (auto* const worker = session_of(incarnation))
    {
        occupy(*worker, live);
    }
    return live;
}

// Counts the run's resources on the worker.
void worker_fleet::occupy(worker_session& worker, const live_run& run)
{
    worker.runs.insert(key_of(run.ref));
    worker.used = worker.used + run.need;
    worker.filler_runs += run.filler ? 1 : 0;
    worker.serving_runs += run.serves_users ? 1 : 0;
    if (run.filler || run.serves_users)
    {
        due_workers_.insert(worker.record.id()); // Its fillers may be paced.
    }
    if (worker.pace && (run.filler || run.serves_users))
    {
        set_pace(worker, restarted_pace(worker.pace, run.changed_at),
                 std::nullopt);
    }
}

worker_session* worker_fleet::session_of(const worker_incarnation& incarnation)
{
    const auto found = workers_.find(incarnation.worker);
    return found != workers_.end() &&
                   found->second.record.born_ms() == incarnation.born_ms
               ? &found->second
               : nullptr;
}

void worker_fleet::remove_run(const std::string& key)
{
    const auto found = runs_.find(key);
    if (found == runs_.end())
    {
        return;
    }
    if (auto* const worker = session_of(found->second.location);
        worker != nullptr && worker->runs.erase(key) > 0)
    {
        worker->used = worker->used - found->second.need;
        worker->filler_runs -= found->second.filler ? 1 : 0;
        worker->serving_runs -= found->second.serves_users ? 1 : 0;
    }
    stopping_.erase(key);
    orphans_.erase(key);
    runs_.erase(found);
}

void worker_fleet::place(const run_ref& run, const worker_session& worker,
                         const step_spec& step, std::int64_t priority,
                         time_point now)
{
    const worker_incarnation incarnation{worker.record.id(),
                                         worker.record.born_ms()};
    auto& live = add_run(run, incarnation, run_phase::proposed, now);
    live.priority = priority;
    live.gang = step.gang();
    fleet_command command;
    auto& placed = *command.mutable_place();
    *placed.mutable_run() = run;
    placed.set_worker(incarnation.worker);
    placed.set_born_ms(incarnation.born_ms);
    propose_(std::move(command));
}

void worker_fleet::propose_end(live_run& run, run_end end,
                               const std::string& checkpoint,
                               const char* reason)
{
    if (run.end_proposed)
    {
        return;
    }
    run.end_proposed = true;
    log_end(run, end, reason, clock_());
    fleet_command command;
    auto& ended = *command.mutable_end();
    *ended.mutable_run() = run.ref;
    ended.set_worker(run.incarnation.worker);
    ended.set_born_ms(run.incarnation.born_ms);
    ended.set_end(end);
    ended.set_checkpoint(checkpoint.empty() ? run.checkpoint : checkpoint);
    propose_(std::move(command));
}

void worker_fleet::record_report(const worker_report& report, time_point now)
{
    auto* const worker =
        session_of({report.worker.id(), report.worker.born_ms()});
    if (worker == nullptr || report.sequence < worker->last_sequence)
    {
        return;
    }
    worker->last_sequence = report.sequence;
    worker->last_report = now;
    worker->reported = true;
    worker->warm_at = now + milliseconds(report.warm_up_left_ms);
    worker->clock.sample(report.worker_time_ms, now);
}

void worker_fleet::on_applied(const fleet_command& command, apply_result result,
                              time_point now)
{
    switch (command.body_case())
    {
    case fleet_command::kPlace:
    {
        const auto key = key_of(command.place().run());
        const auto found = runs_.find(key);
        if (found == runs_.end())
        {
            return;
        }
        if (result != apply_result::changed)
        {
            remove_run(key);
            return;
        }
        found->second.phase = run_phase::committed;
        found->second.changed_at = now;
        newly_committed_.push_back(key);
        return;
    }
    case fleet_command::kCancel:
        stop_obsolete_runs(command.cancel().job() + ".", now);
        return;
    case fleet_command::kFail:
        stop_obsolete_runs(command.fail().job() + ".", now);
        return;
    case fleet_command::kCrash:
        on_crash_applied(command.crash());
        break;
    case fleet_command::kEnd:
        on_end_applied(command.end(), now);
        return;
    case fleet_command::kWorker:
        if (result == apply_result::changed)
        {
            refresh_record(command.worker(), now);
        }
        return;
    case fleet_command::kRemoveWorker:
        if (result == apply_result::changed)
        {
            const auto found = workers_.find(command.remove_worker().id());
            if (found != workers_.end())
            {
                begin_removal(found->second, now);
            }
        }
        return;
    case fleet_command::kEvacuation:
        log_evacuation(command.evacuation(), result);
        return;
    default:
        return;
    }
}

void worker_fleet::on_end_applied(const ended_run& ended, time_point now)
{
    ended_before_start_ = false;
    const auto key = key_of(ended.run());
    const auto found = runs_.find(key);
    const auto location =
        found == runs_.end()
            ? worker_incarnation{ended.worker(), ended.born_ms()}
            : found->second.location;
    if (auto* const worker = session_of(location))
    {
        due_workers_.insert(ended.worker());
        worker->pending_ends.erase(key);
        if (worker->pending_ends.empty())
        {
            worker->committed_end = worker->listed_end;
        }
    }
    std::optional<live_run> run;
    if (found != runs_.end())
    {
        run = found->second;
        remove_run(key);
    }
    if (ended.end() == run_done)
    {
        stop_obsolete_runs(subtask_key(ended.run()) + "#", now);
    }
    if (!run)
    {
        return;
    }
    ended_before_start_ =
        run->phase == run_phase::committed || run->phase == run_phase::starting;
    // A requested stop of one member is one of the whole gang.
    if (run->gang && ended.end() != run_done && !run->stop_requested)
    {
        abort_gang(*run, "member_ended", now);
    }
}

std::vector<std::string> worker_fleet::gang_members(const run_ref& ref) const
{
    std::vector<std::string> keys;
    const auto prefix =
        absl::StrCat(ref.job(), ".", ref.occurrence(), ".", ref.step(), ".");
    for (auto at = runs_.lower_bound(prefix);
         at != runs_.end() && at->first.compare(0, prefix.size(), prefix) == 0;
         ++at)
    {
        if (at->second.ref.run() == ref.run())
        {
            keys.push_back(at->first);
        }
    }
    return keys;
}

void worker_fleet::advance_worker(worker_session& worker, time_point now)
{
    end_expired(worker, now);
    remove_silent(worker, now);
    remove_displaced(worker, now);
    retry_unknown_stops(worker, now);
    advance_pace(worker, now);
    if (now >= worker.retry_at && needs_hold(worker, now) &&
        may_confirm(worker))
    {
        hold(worker, now);
    }
}

void worker_fleet::advance(time_point now)
{
    if (deposed_)
    {
        return;
    }
    if (!std::exchange(checked_adopted_runs_, true))
    {
        stop_obsolete_runs("", now);
    }
    start_committed(now);
    finish_departures(now);
    for (const auto& id : std::exchange(due_workers_, {}))
    {
        if (const auto found = workers_.find(id); found != workers_.end())
        {
            advance_worker(found->second, now);
        }
    }
    if (now - scanned_at_ < scan_interval)
    {
        return;
    }
    scanned_at_ = now;
    resume_starts(now);
    open_confirmations_ = static_cast<std::size_t>(std::count_if(
        workers_.begin(), workers_.end(),
        [](const auto& entry)
        {
            return entry.second.holding && !entry.second.confirmed;
        }));
    finish_removals(now);
    end_orphans(now);
    for (auto& [id, worker] : workers_)
    {
        advance_worker(worker, now);
    }
    retry_stops(now);
}

} // namespace limpetstack::fleet
