#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// An unanswered start is repeated so often before it is stopped; the attempts
// together stay below the time that gang members wait for each other.
constexpr int max_start_attempts = 5;

// Between two attempts of a stop or a hold that failed.
constexpr milliseconds order_retry_delay{150};

// After a hold without an answer, holds wait less for a while, because a lost
// answer is noticed only when the wait is over.
constexpr milliseconds unsteady_time{8000};
constexpr milliseconds unsteady_hold_wait{500};

// Between two passes over all workers for what only time makes due.
constexpr milliseconds scan_interval{40};

// Between two looks for a run that was stopped and is not listed as ended.
constexpr milliseconds look_interval{500};

// A worker that refused a start gets no placement for this long.
constexpr milliseconds refusal_pause{1000};

// Late reports by this much do not make a worker unusable.
constexpr milliseconds report_slack{900};

} // namespace

amounts operator+(const amounts& a, const amounts& b)
{
    return {a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb,
            a.accelerators + b.accelerators};
}

amounts operator-(const amounts& a, const amounts& b)
{
    return {a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb,
            a.accelerators - b.accelerators};
}

amounts to_amounts(const resources& value)
{
    return {value.cpu_milli(), value.memory_mb(), value.accelerators()};
}

amounts counted_need(const step_spec& step)
{
    auto need = to_amounts(step.need());
    if (step.filler())
    {
        need.cpu_milli = 0;
    }
    return need;
}

bool fits(const amounts& need, const amounts& room)
{
    return need.cpu_milli <= room.cpu_milli &&
           need.memory_mb <= room.memory_mb &&
           need.accelerators <= room.accelerators;
}

std::string worker_fleet::key_of(const run_ref& run)
{
    return absl::StrCat(run.job(), ".", run.occurrence(), ".", run.step(), ".",
                        run.index(), "#", run.run());
}

worker_fleet::worker_fleet(const worker_fleet_options& options,
                           const fleet_state& state, worker_port& port,
                           proposer propose, clock_reader clock,
                           std::uint64_t epoch, metrics& counters)
    : options_(options)
    , state_(state)
    , port_(port)
    , propose_(std::move(propose))
    , clock_(std::move(clock))
    , epoch_(epoch)
    , counters_(counters)
{
    const auto now = clock_();
    for (const auto& [id, record] : state_.workers())
    {
        add_session(record, now).clock.inherit(now);
    }
    for (const auto& [id, job] : state_.jobs())
    {
        for (const auto& [number, occurrence] : job.occurrences)
        {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
            {
                const auto& subtasks = occurrence.steps[s].subtasks;
                for (std::size_t i = 0; i < subtasks.size(); ++i)
                {
                    for (const auto& active : subtasks[i].active)
                    {
                        run_ref ref;
                        ref.set_job(id);
                        ref.set_occurrence(number);
                        ref.set_step(static_cast<std::uint32_t>(s));
                        ref.set_index(static_cast<std::uint32_t>(i));
                        ref.set_run(active.run);
                        add_run(ref, active.where, run_phase::adopted, now);
                    }
                }
            }
        }
    }
    // Runs on an incarnation that is gone ended with it.
    std::vector<std::string> lost;
    for (const auto& [key, run] : runs_)
    {
        if (session_of(run.where) == nullptr)
        {
            lost.push_back(key);
        }
    }
    for (const auto& key : lost)
    {
        propose_end(runs_.at(key), run_lapsed, "", "worker_gone");
    }
}

worker_session& worker_fleet::add_session(const worker_record& record,
                                          time_point now)
{
    auto& worker =
        workers_
            .insert_or_assign(
                record.id(), worker_session(lease_clock(options_.clock_slowness,
                                                        options_.max_lease)))
            .first->second;
    worker.record = record;
    worker.capacity = to_amounts(record.capacity());
    worker.last_report = now;
    due_.insert(record.id());
    return worker;
}

live_run& worker_fleet::add_run(const run_ref& run, const incarnation& where,
                                run_phase phase, time_point now)
{
    const auto key = key_of(run);
    auto& live = runs_[key];
    live.ref = run;
    live.where = where;
    live.phase = phase;
    live.since = now;
    live.started_at = now;
    if (const auto* const job = state_.find_job(run.job()))
    {
        const auto& step = job->job.spec().steps(static_cast<int>(run.step()));
        live.need = counted_need(step);
        live.gang = step.gang();
        live.checkpointable = step.checkpointable();
        live.lasting = step.lasting();
        live.filler = step.filler();
        live.serves_users = step.tail_latency_ms() > 0;
    }
    if (auto* const worker = session_of(where))
    {
        worker->runs.insert(key);
        worker->used = worker->used + live.need;
        worker->fillers += live.filler ? 1 : 0;
        worker->serving += live.serves_users ? 1 : 0;
    }
    return live;
}

worker_session* worker_fleet::session_of(const incarnation& where)
{
    const auto found = workers_.find(where.worker);
    return found != workers_.end() &&
                   found->second.record.born_ms() == where.born_ms
               ? &found->second
               : nullptr;
}

void worker_fleet::release(const std::string& key)
{
    const auto found = runs_.find(key);
    if (found == runs_.end())
    {
        return;
    }
    if (auto* const worker = session_of(found->second.where);
        worker != nullptr && worker->runs.erase(key) > 0)
    {
        worker->used = worker->used - found->second.need;
        worker->fillers -= found->second.filler ? 1 : 0;
        worker->serving -= found->second.serves_users ? 1 : 0;
    }
    stopping_.erase(key);
    runs_.erase(found);
}

void worker_fleet::place(const run_ref& run, const worker_session& worker,
                         const step_spec& step, std::int64_t priority,
                         time_point now)
{
    const incarnation where{worker.record.id(), worker.record.born_ms()};
    auto& live = add_run(run, where, run_phase::proposed, now);
    live.priority = priority;
    live.gang = step.gang();
    fleet_command command;
    auto& placed = *command.mutable_place();
    *placed.mutable_run() = run;
    placed.set_worker(where.worker);
    placed.set_born_ms(where.born_ms);
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
    counters_.add(
        absl::StrCat("run_ends_total{end=\"", run_end_Name(end), "\"}"));
    log_event(log_level::info, "run_ended",
              {{"job", run.ref.job()},
               {"run", key_of(run.ref)},
               {"worker", run.where.worker},
               {"end", run_end_Name(end)},
               {"reason", reason},
               {"epoch", absl::StrCat(epoch_)}});
    fleet_command command;
    auto& ended = *command.mutable_end();
    *ended.mutable_run() = run.ref;
    ended.set_worker(run.where.worker);
    ended.set_born_ms(run.where.born_ms);
    ended.set_end(end);
    ended.set_checkpoint(checkpoint.empty() ? run.checkpoint : checkpoint);
    propose_(std::move(command));
}

void worker_fleet::note_report(const worker_report& report, time_point now)
{
    auto* const worker =
        session_of({report.worker.id(), report.worker.born_ms()});
    if (worker == nullptr || report.sequence < worker->last_sequence)
    {
        return;
    }
    worker->last_sequence = report.sequence;
    worker->last_report = now;
    worker->clock.sample(report.clock_ms, now);
}

void worker_fleet::on_applied(const fleet_command& command, applied result,
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
        if (result != applied::changed)
        {
            release(key);
            return;
        }
        found->second.phase = run_phase::committed;
        found->second.since = now;
        newly_committed_.push_back(key);
        return;
    }
    case fleet_command::kEnd:
    {
        const auto key = key_of(command.end().run());
        const auto found = runs_.find(key);
        if (found == runs_.end())
        {
            return;
        }
        const auto run = found->second;
        release(key);
        if (auto* const worker = session_of(run.where))
        {
            due_.insert(run.where.worker);
            worker->pending_ends.erase(key);
            if (worker->pending_ends.empty())
            {
                worker->last_seen = worker->listed_end;
            }
        }
        if (run.gang && command.end().end() != run_done)
        {
            abort_gang(run, "member_ended", now);
        }
        return;
    }
    case fleet_command::kWorker:
        if (result == applied::changed)
        {
            refresh_record(command.worker(), now);
        }
        return;
    case fleet_command::kRemoveWorker:
        if (result == applied::changed)
        {
            const auto found = workers_.find(command.remove_worker().id());
            if (found != workers_.end())
            {
                lose_incarnation({found->first, found->second.record.born_ms()},
                                 "worker_left", now);
                port_.forget(found->second.record);
                workers_.erase(found);
            }
        }
        return;
    default:
        return;
    }
}

void worker_fleet::refresh_record(const worker_record& record, time_point now)
{
    const auto found = workers_.find(record.id());
    if (found == workers_.end())
    {
        add_session(record, now);
        return;
    }
    if (found->second.record.born_ms() == record.born_ms())
    {
        found->second.record = record;
        found->second.capacity = to_amounts(record.capacity());
        return;
    }
    port_.forget(found->second.record);
    lose_incarnation({record.id(), found->second.record.born_ms()},
                     "worker_born_again", now);
    add_session(record, now);
}

void worker_fleet::lose_incarnation(const incarnation& where,
                                    const char* reason, time_point now)
{
    for (auto& [key, run] : runs_)
    {
        if (!(run.where == where))
        {
            continue;
        }
        if (run.phase == run_phase::starting)
        {
            // The start may still arrive, at the next incarnation.
            run.displaced = true;
            stopping_.insert(key);
            run.stop_wanted = true;
            run.stop_sent = false;
            run.since = now;
        }
        else if (run.phase != run_phase::proposed)
        {
            propose_end(run, run_lapsed, "", reason);
        }
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

void worker_fleet::abort_gang(const live_run& run, const char* reason,
                              time_point now)
{
    for (const auto& key : gang_members(run.ref))
    {
        auto& member = runs_.at(key);
        if (!member.stop_wanted)
        {
            member.stop_wanted = true;
            stopping_.insert(key);
            log_event(log_level::info, "run_stopping",
                      {{"job", member.ref.job()},
                       {"run", key},
                       {"worker", member.where.worker},
                       {"reason", reason}});
            send_stop(member, now);
        }
    }
}

void worker_fleet::stop(const std::string& key, const char* reason,
                        time_point now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.stop_wanted)
    {
        return;
    }
    if (found->second.gang)
    {
        abort_gang(found->second, reason, now);
        return;
    }
    found->second.stop_wanted = true;
    stopping_.insert(key);
    log_event(log_level::info, "run_stopping",
              {{"job", found->second.ref.job()},
               {"run", key},
               {"worker", found->second.where.worker},
               {"reason", reason}});
    send_stop(found->second, now);
}

void worker_fleet::avoid(const std::string& worker, time_point until)
{
    if (const auto found = workers_.find(worker); found != workers_.end())
    {
        found->second.avoid_until = std::max(found->second.avoid_until, until);
    }
}

bool worker_fleet::is_usable(const worker_session& worker, time_point now) const
{
    const auto silence = now - std::max(worker.last_report, worker.last_answer);
    return !worker.record.draining() && worker.clock.known() &&
           worker.hold_failures == 0 && now >= worker.avoid_until &&
           silence <= 2 * options_.report_interval + report_slack;
}

std::int64_t worker_fleet::lease_end(worker_session& worker, time_point now)
{
    const auto until =
        worker.clock.worker_time(now) + options_.max_lease.count();
    worker.clock.grant(until);
    return until;
}

// A gang starts only when the placements of all its members are committed.
void worker_fleet::check_gangs()
{
    for (const auto& key : newly_committed_)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || !found->second.gang)
        {
            continue;
        }
        const auto* const step = state_.find_step(found->second.ref);
        const auto members = gang_members(found->second.ref);
        const bool whole = step != nullptr &&
                           members.size() == step->subtasks.size() &&
                           std::none_of(members.begin(), members.end(),
                                        [this](const std::string& member)
                                        {
                                            return runs_.at(member).stop_wanted;
                                        });
        if (!whole)
        {
            found->second.stop_wanted = true;
        }
    }
}

void worker_fleet::start_committed(time_point now)
{
    check_gangs();
    const auto keys = std::exchange(newly_committed_, {});
    for (const auto& key : keys)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second.phase != run_phase::committed)
        {
            continue;
        }
        auto* const worker = session_of(found->second.where);
        const auto* const job = state_.find_job(found->second.ref.job());
        if (worker == nullptr || found->second.stop_wanted || job == nullptr ||
            job->ended())
        {
            propose_end(found->second, run_never, "", "not_started");
            continue;
        }
        send_start(found->second, *worker, now);
    }
}

void worker_fleet::send_start(live_run& run, worker_session& worker,
                              time_point now)
{
    const auto* const job = state_.find_job(run.ref.job());
    const auto* const step = state_.find_step(run.ref);
    const auto* const subtask = state_.find_subtask(run.ref);
    if (job == nullptr || subtask == nullptr)
    {
        return;
    }
    run.phase = run_phase::starting;
    run.since = now;
    due_.insert(run.where.worker);
    ++run.start_attempts;
    start_order order;
    order.run = run.ref;
    order.worker = worker.record.id();
    order.payload = job->job.spec().payload();
    order.until_ms = lease_end(worker, now);
    order.epoch = epoch_;
    order.checkpoint = run.gang ? step->checkpoint : subtask->checkpoint;
    const auto key = key_of(run.ref);
    if (run.start_attempts == 1)
    {
        log_event(log_level::info, "run_starting",
                  {{"job", run.ref.job()},
                   {"run", key},
                   {"worker", worker.record.id()},
                   {"until_ms", absl::StrCat(order.until_ms)},
                   {"epoch", absl::StrCat(epoch_)}});
    }
    port_.start(worker.record, order,
                [this, key,
                 alive = std::weak_ptr<int>(alive_)](const order_answer& answer)
                {
                    if (!alive.expired())
                    {
                        on_start_answer(key, answer, clock_());
                    }
                });
}

void worker_fleet::on_start_answer(const std::string& key,
                                   const order_answer& answer, time_point now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.phase != run_phase::starting ||
        found->second.end_proposed || found->second.displaced)
    {
        return;
    }
    auto& run = found->second;
    auto* const worker = session_of(run.where);
    counters_.add(
        absl::StrCat("starts_total{result=\"", name_of(answer.result), "\"}"));
    counters_.observe_latency("order_ms",
                              static_cast<double>((now - run.since).count()));
    if (worker != nullptr)
    {
        worker->clock.sample(answer.clock_ms, now);
    }
    const auto refuse = [&](const char* reason, milliseconds pause)
    {
        if (worker != nullptr)
        {
            worker->avoid_until = std::max(worker->avoid_until, now + pause);
        }
        if (run.start_attempts > 1)
        {
            // An earlier attempt had no answer and may have its effect yet.
            stop(key, reason, now);
            return;
        }
        propose_end(run, run_never, "", reason);
    };
    if (answer.result != order_result::accepted || run.start_attempts > 1)
    {
        log_event(log_level::info, "start_answered",
                  {{"job", run.ref.job()},
                   {"run", key},
                   {"worker", run.where.worker},
                   {"result", name_of(answer.result)},
                   {"attempt", absl::StrCat(run.start_attempts)}});
    }
    switch (answer.result)
    {
    case order_result::accepted:
        run.phase = run_phase::present;
        run.since = now;
        run.started_at = now;
        break;
    case order_result::unknown:
        if (run.stop_wanted || worker == nullptr)
        {
            break;
        }
        if (run.start_attempts < max_start_attempts)
        {
            send_start(run, *worker, now);
        }
        else
        {
            worker->avoid_until = now + refusal_pause;
            stop(key, "start_unanswered", now);
        }
        break;
    case order_result::newer_epoch:
        deposed_ = true;
        break;
    case order_result::old_run:
        // It ended or was stopped there; the lists tell how.
        run.phase = run_phase::present;
        run.since = now;
        break;
    case order_result::no_room:
        refuse("no_room", refusal_pause);
        break;
    case order_result::unhealthy:
        refuse("worker_unhealthy", refusal_pause);
        break;
    case order_result::other_worker:
        if (worker != nullptr)
        {
            worker->avoid_until = now + 5 * refusal_pause;
        }
        propose_end(run, run_never, "", "worker_gone");
        break;
    case order_result::expired:
        refuse("lease_expired", milliseconds(0));
        break;
    case order_result::bad_ticket:
        refuse("bad_ticket", milliseconds(0));
        break;
    case order_result::invalid:
        refuse("invalid_order", refusal_pause);
        break;
    }
}

void worker_fleet::send_stop(live_run& run, time_point now)
{
    if (run.end_proposed || run.phase == run_phase::proposed || run.stop_sent ||
        run.stop_acknowledged)
    {
        return;
    }
    if (run.phase == run_phase::committed)
    {
        propose_end(run, run_never, "", "stopped_before_start");
        return;
    }
    const auto found = workers_.find(run.where.worker);
    if (found == workers_.end())
    {
        propose_end(run, run_lapsed, "", "worker_gone");
        return;
    }
    run.stop_sent = true;
    run.since = now;
    const auto key = key_of(run.ref);
    port_.stop(found->second.record, run.ref, epoch_,
               [this, key,
                alive = std::weak_ptr<int>(alive_)](const order_answer& answer)
               {
                   if (!alive.expired())
                   {
                       on_stop_answer(key, answer, clock_());
                   }
               });
}

void worker_fleet::on_stop_answer(const std::string& key,
                                  const order_answer& answer, time_point now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.end_proposed)
    {
        return;
    }
    auto& run = found->second;
    auto* const worker = session_of(run.where);
    if (worker != nullptr)
    {
        worker->clock.sample(answer.clock_ms, now);
    }
    if (answer.result == order_result::newer_epoch)
    {
        deposed_ = true;
        return;
    }
    if (answer.result == order_result::accepted ||
        answer.result == order_result::old_run ||
        answer.result == order_result::invalid)
    {
        run.stop_acknowledged = true;
        run.since = now;
        if (run.displaced)
        {
            propose_end(run, run_never, "", "displaced");
        }
        return;
    }
    run.stop_sent = false; // Sent again by `advance`.
    run.since = now;
}

void worker_fleet::hold(worker_session& worker, time_point now)
{
    worker.holding = true;
    hold_order order;
    order.worker = worker.record.id();
    order.epoch = epoch_;
    order.last_seen = worker.last_seen;
    // A worker that does not answer must not be granted more time: its runs end
    // for this leader when the last grant is over.
    if (!worker.runs.empty() && worker.clock.known() &&
        worker.hold_failures == 0)
    {
        order.until_ms = lease_end(worker, now);
    }
    if (!worker.runs.empty() && worker.confirmed && worker.hold_failures == 0)
    {
        const bool unsteady = now < worker.unsteady_until;
        order.wait_ms =
            (unsteady ? unsteady_hold_wait : options_.hold_wait).count();
    }
    const incarnation where{worker.record.id(), worker.record.born_ms()};
    port_.hold(worker.record, order,
               [this, where, now, told = order.last_seen,
                alive = std::weak_ptr<int>(alive_)](const hold_answer& answer)
               {
                   if (!alive.expired())
                   {
                       on_lists(where, answer, now, told, true, clock_());
                   }
               });
}

void worker_fleet::look(worker_session& worker, time_point now)
{
    hold_order order;
    order.worker = worker.record.id();
    order.epoch = epoch_;
    order.last_seen = worker.last_seen;
    const incarnation where{worker.record.id(), worker.record.born_ms()};
    port_.look(worker.record, order,
               [this, where, now, told = order.last_seen,
                alive = std::weak_ptr<int>(alive_)](const hold_answer& answer)
               {
                   if (!alive.expired())
                   {
                       on_lists(where, answer, now, told, false, clock_());
                   }
               });
}

void worker_fleet::on_lists(const incarnation& where, const hold_answer& answer,
                            time_point sent, std::uint64_t told, bool is_hold,
                            time_point now)
{
    auto* const worker = session_of(where);
    if (worker == nullptr)
    {
        return;
    }
    if (is_hold)
    {
        worker->holding = false;
    }
    due_.insert(where.worker);
    if (answer.result == order_result::newer_epoch)
    {
        deposed_ = true;
        return;
    }
    if (answer.result != order_result::accepted ||
        (answer.lists.born_ms != 0 && where.born_ms != 0 &&
         answer.lists.born_ms != where.born_ms))
    {
        if (is_hold)
        {
            ++worker->hold_failures;
            worker->unsteady_until = now + unsteady_time;
            worker->retry_at = now + order_retry_delay;
        }
        return;
    }
    if (!worker->confirmed || worker->hold_failures > 0)
    {
        log_event(log_level::info, "worker_confirmed",
                  {{"worker", where.worker},
                   {"epoch", absl::StrCat(epoch_)},
                   {"running", absl::StrCat(answer.lists.running.size())},
                   {"ended", absl::StrCat(answer.lists.ended.size())}});
    }
    worker->confirmed = true;
    worker->hold_failures = 0;
    worker->last_answer = now;
    worker->acknowledged_end = std::max(worker->acknowledged_end, told);
    worker->clock.sample(answer.lists.clock_ms, now);
    std::set<std::string> seen;
    take_ended(*worker, answer.lists, seen);
    take_running(*worker, answer.lists, seen, now);
    // A full page of ends may hide others.
    constexpr std::size_t ends_per_page = 500;
    if (answer.lists.ended.size() < ends_per_page)
    {
        end_missing(*worker, seen, sent, now);
    }
    if (worker->pending_ends.empty())
    {
        worker->last_seen = worker->listed_end;
    }
}

void worker_fleet::take_ended(worker_session& worker, const worker_lists& lists,
                              std::set<std::string>& seen)
{
    for (const auto& item : lists.ended)
    {
        worker.listed_end = std::max(worker.listed_end, item.number);
        const auto key = key_of(item.run);
        seen.insert(key);
        const auto found = runs_.find(key);
        if (found == runs_.end() || session_of(found->second.where) != &worker)
        {
            continue;
        }
        // The end counts as noted only when it is committed.
        worker.pending_ends.insert(key);
        propose_end(found->second, item.end, item.checkpoint, "listed");
    }
}

void worker_fleet::take_running(worker_session& worker,
                                const worker_lists& lists,
                                std::set<std::string>& seen, time_point now)
{
    for (const auto& item : lists.running)
    {
        const auto key = key_of(item.run);
        seen.insert(key);
        const auto found = runs_.find(key);
        if (found == runs_.end() || session_of(found->second.where) != &worker)
        {
            log_event(log_level::warning, "unknown_run_stopped",
                      {{"job", item.run.job()},
                       {"run", key},
                       {"worker", worker.record.id()}});
            port_.stop(worker.record, item.run, epoch_,
                       [](const order_answer&) {});
            continue;
        }
        auto& run = found->second;
        if (run.phase == run_phase::starting || run.phase == run_phase::adopted)
        {
            run.phase = run_phase::present;
            run.since = now;
            run.started_at = now;
        }
        if (item.percent > run.percent || run.progressed_at < run.started_at)
        {
            run.progressed_at = now;
        }
        run.listed_at = now;
        run.percent = item.percent;
        run.load = item.load;
        if (!item.checkpoint.empty())
        {
            run.checkpoint = item.checkpoint;
        }
    }
}

// Ends runs that the worker would have to list if they were or could become
// present: `sent` is when the lists were asked for. An order without an answer
// may be carried out much later, so that only a stop makes an absence final.
void worker_fleet::end_missing(worker_session& worker,
                               const std::set<std::string>& seen,
                               time_point sent, time_point now)
{
    for (const auto& key : worker.runs)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || seen.count(key) > 0 ||
            found->second.end_proposed)
        {
            continue;
        }
        auto& run = found->second;
        const bool sent_out =
            run.phase == run_phase::starting || run.phase == run_phase::present;
        if (run.phase == run_phase::adopted)
        {
            // Orders of earlier epochs have no effect any more, but one of them
            // may have stopped the run a moment ago: its room is not free yet.
            run.phase = run_phase::present;
            run.since = now;
            stop(key, "absent_after_takeover", now);
        }
        else if (sent_out && run.stop_acknowledged &&
                 run.since + options_.stop_time <= sent)
        {
            propose_end(run, run_stopped, "", "absent_after_stop");
        }
        else if (run.phase == run_phase::present && run.since < sent)
        {
            stop(key, "absent", now);
        }
    }
}

bool worker_fleet::needs_hold(const worker_session& worker) const
{
    return !worker.holding && worker.pending_ends.empty() &&
           (!worker.confirmed || worker.acknowledged_end < worker.last_seen ||
            std::any_of(worker.runs.begin(), worker.runs.end(),
                        [this](const std::string& key)
                        {
                            const auto phase = runs_.at(key).phase;
                            return phase != run_phase::proposed &&
                                   phase != run_phase::committed;
                        }));
}

void worker_fleet::end_lapsed(worker_session& worker, time_point now)
{
    if (worker.runs.empty())
    {
        return;
    }
    const auto lapse = worker.clock.lapse_time();
    if (!lapse || now < *lapse)
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

// Repeats stops that were not acknowledged, and asks for the lists of workers
// that should have listed the end of a stopped run.
void worker_fleet::retry_stops(time_point now)
{
    std::set<std::string> looks;
    for (const auto& key : stopping_)
    {
        auto& run = runs_.at(key);
        if (now - run.since >= order_retry_delay)
        {
            send_stop(run, now);
        }
        // A run that was there is listed as ended by now.
        if (run.stop_acknowledged && !run.end_proposed && !run.displaced &&
            now - run.since >= options_.stop_time &&
            now - run.looked_at >= look_interval)
        {
            run.looked_at = now;
            looks.insert(run.where.worker);
        }
    }
    for (const auto& id : looks)
    {
        if (const auto found = workers_.find(id); found != workers_.end())
        {
            look(found->second, now);
        }
    }
}

void worker_fleet::serve(worker_session& worker, time_point now)
{
    end_lapsed(worker, now);
    if (now >= worker.retry_at && needs_hold(worker))
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
    start_committed(now);
    for (const auto& id : std::exchange(due_, {}))
    {
        if (const auto found = workers_.find(id); found != workers_.end())
        {
            serve(found->second, now);
        }
    }
    if (now - scanned_at_ < scan_interval)
    {
        return;
    }
    scanned_at_ = now;
    for (auto& [id, worker] : workers_)
    {
        serve(worker, now);
    }
    retry_stops(now);
}

} // namespace limpetstack::fleet
