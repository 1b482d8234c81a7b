// Holds of the worker fleet, and the processing of the lists of running and
// ended runs that workers answer with.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// The longest time before a failed hold to a worker without runs is repeated.
constexpr milliseconds max_hold_retry_delay{1000};

// The leader accepts this many hold answers per second from workers on which no
// run ended. Each answer renews a lease, so in a small fleet, where holds are
// short, leases survive longer disconnections.
constexpr std::int64_t idle_holds_per_second = 100;
constexpr milliseconds shortest_hold_wait{500};

// A worker whose start has not been answered for this time is asked for its
// lists.
constexpr milliseconds late_start_answer{300};

// Returns the time before a failed hold is repeated. Nothing expires on a
// worker without runs, so its delay grows with the failures.
milliseconds hold_retry_delay(const worker_session& worker)
{
    if (!worker.runs.empty())
    {
        return order_retry_delay;
    }
    return std::min(order_retry_delay * worker.missed_answers,
                    max_hold_retry_delay);
}

// Returns the number of the end up to which the next list request acknowledges
// ends, 0 for none. The request may reach the next incarnation of the worker,
// which numbers its ends anew, so it names only what needs an acknowledgement,
// and nothing while an answer is missing.
std::uint64_t end_to_acknowledge(const worker_session& worker)
{
    const bool may_have_restarted =
        worker.replaced_at.has_value() || worker.missed_answers > 0;
    return may_have_restarted || worker.acknowledged_end >= worker.committed_end
               ? 0
               : worker.committed_end;
}

} // namespace

hold_order worker_fleet::make_hold_order(const worker_session& worker) const
{
    hold_order order;
    order.worker = worker.record.id();
    order.epoch = epoch_;
    order.last_recorded_end = end_to_acknowledge(worker);
    return order;
}

// Returns a callback that processes the lists, and that does nothing once this
// leadership is over.
std::function<void(const hold_answer&)>
worker_fleet::list_handler(const worker_session& worker, bool is_hold,
                           time_point sent)
{
    const worker_incarnation incarnation{worker.record.id(),
                                         worker.record.born_ms()};
    return [this, incarnation, is_hold, sent,
            sent_end = end_to_acknowledge(worker),
            alive = std::weak_ptr<int>(alive_)](const hold_answer& answer)
    {
        if (!alive.expired())
        {
            on_lists(incarnation, answer, sent, sent_end, is_hold, clock_());
        }
    };
}

milliseconds worker_fleet::hold_wait(const worker_session& worker,
                                     time_point now) const
{
    const milliseconds wait_for_size(
        static_cast<std::int64_t>(workers_.size()) * 1000 /
        idle_holds_per_second);
    return now < worker.short_holds_until || worker.record.draining() ||
                   worker.pace
               ? shortest_hold_wait
               : std::clamp(wait_for_size, shortest_hold_wait,
                            options_.max_hold_wait);
}

// Limits the holds that a new leader opens at once, so that a large fleet does
// not exhaust its connections. Workers with runs come first.
bool worker_fleet::may_confirm(const worker_session& worker) const
{
    constexpr std::size_t max_open_confirmations = 256;
    return worker.confirmed || !worker.runs.empty() ||
           open_confirmations_ < max_open_confirmations;
}

void worker_fleet::hold(worker_session& worker, time_point now)
{
    worker.holding = true;
    open_confirmations_ += worker.confirmed ? 0 : 1;
    auto order = make_hold_order(worker);
    const bool awaits_ends =
        has_started_run(worker) && !worker.unreachable && !worker.replaced_at;
    // An unreachable or leaving worker gets no new lease: this leader ends its
    // runs when the last granted lease has expired.
    const bool renews =
        awaits_ends && !worker.departing_since && !worker.removed;
    if (renews && worker.clock.has_reading())
    {
        order.lease_end_ms = grant_lease(worker, now);
    }
    // After a missing answer the lists are requested without a wait, because a
    // further missing answer shows sooner then.
    if (awaits_ends && worker.confirmed && worker.missed_answers == 0)
    {
        order.wait_limit_ms = hold_wait(worker, now).count();
    }
    port_.hold(worker.record, order, list_handler(worker, true, now));
}

void worker_fleet::request_lists(worker_session& worker, time_point now)
{
    port_.request_lists(worker.record, make_hold_order(worker),
                        list_handler(worker, false, now));
}

void worker_fleet::on_lists(const worker_incarnation& incarnation,
                            const hold_answer& answer, time_point sent,
                            std::uint64_t sent_end, bool is_hold,
                            time_point now)
{
    auto* const worker = session_of(incarnation);
    if (worker == nullptr)
    {
        return;
    }
    if (is_hold)
    {
        worker->holding = false;
    }
    due_workers_.insert(incarnation.worker);
    if (answer.result == order_result::newer_epoch)
    {
        deposed_ = true;
        return;
    }
    // Start times come from clocks that may be set back, so a lower one shows a
    // later incarnation as well.
    const bool from_successor = answer.result == order_result::accepted &&
                                incarnation.born_ms != 0 &&
                                answer.lists.born_ms != 0 &&
                                answer.lists.born_ms != incarnation.born_ms;
    if (from_successor)
    {
        record_successor(*worker, now);
    }
    if (answer.result != order_result::accepted || from_successor)
    {
        if (is_hold)
        {
            if (answer.connection_closed && !worker->closed_at)
            {
                worker->closed_at = now;
            }
            record_missing_answer(*worker, worker_question::hold, now);
            worker->retry_at = now + hold_retry_delay(*worker);
        }
        return;
    }
    if (!worker->confirmed)
    {
        log_event(log_level::info, "worker_confirmed",
                  {{"worker", incarnation.worker},
                   {"epoch", absl::StrCat(epoch_)},
                   {"running", absl::StrCat(answer.lists.running.size())},
                   {"ended", absl::StrCat(answer.lists.ended.size())}});
    }
    worker->confirmed = true;
    if (worker->replaced_at && answer.lists.born_ms != 0 &&
        sent >= *worker->replaced_at)
    {
        worker->replaced_at.reset(); // The answer was misleading.
    }
    worker->last_answer = now;
    record_owner(*worker, now);
    record_answer(*worker, now);
    worker->acknowledged_end = std::max(worker->acknowledged_end, sent_end);
    worker->clock.sample(answer.lists.worker_time_ms, now);
    std::set<std::string> seen;
    process_ended(*worker, answer.lists, seen, now);
    process_running(*worker, answer.lists, seen, sent, now);
    if (answer.lists.worker_time_ms >= worker->lists_time_ms)
    {
        sample_tails(*worker, sent, now);
    }
    // A full page of ends may be followed by further ends that it does not
    // contain, so a missing run may still be listed later.
    constexpr std::size_t ends_per_page = 500;
    if (answer.lists.ended.size() < ends_per_page)
    {
        end_missing(*worker, seen, sent, now);
        end_unstopped(*worker, answer.lists, seen, now);
        release_missing_runs(*worker, seen, sent);
    }
    worker->lists_time_ms =
        std::max(worker->lists_time_ms, answer.lists.worker_time_ms);
    if (worker->pending_ends.empty())
    {
        worker->committed_end = worker->listed_end;
    }
    if (is_hold && !has_started_run(*worker))
    {
        // The next hold would be answered at once as well.
        worker->retry_at = now + order_retry_delay;
    }
}

// Returns true when a start on the worker was answered, or a run of an earlier
// leader may be there: its lease must be renewed. Runs that were meant for an
// earlier incarnation are stopped and need no lease.
bool worker_fleet::has_started_run(const worker_session& worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [this](const std::string& key)
                       {
                           const auto& run = runs_.at(key);
                           return run.location == run.incarnation &&
                                  (run.phase == run_phase::present ||
                                   run.phase == run_phase::adopted);
                       });
}

void worker_fleet::process_ended(worker_session& worker,
                                 const worker_lists& lists,
                                 std::set<std::string>& seen, time_point now)
{
    for (const auto& item : lists.ended)
    {
        worker.listed_end = std::max(worker.listed_end, item.number);
        const auto key = key_of(item.run);
        seen.insert(key);
        release_unknown_run(worker, key, "listed");
        const auto found = runs_.find(key);
        if (found == runs_.end() ||
            (found->second.end_proposed && worker.pending_ends.count(key) == 0))
        {
            propose_late_end(worker, item);
            continue;
        }
        if (session_of(found->second.location) != &worker)
        {
            continue;
        }
        if (item.end == run_failed || item.end == run_done)
        {
            record_survival(found->second, lists.worker_time_ms);
        }
        // The end is acknowledged to the worker only when it is committed.
        worker.pending_ends.insert(key);
        if (item.end == run_done)
        {
            observe_end(found->second, now);
        }
        propose_end(found->second, item.end, item.checkpoint, "listed");
    }
}

// Proposes the end of a run that was ended as lapsed in the meantime, if it is
// done after all: its work need not be repeated.
void worker_fleet::propose_late_end(worker_session& worker,
                                    const listed_end& item)
{
    if (item.end != run_done || state_.find_subtask(item.run) == nullptr ||
        state_.is_subtask_done(item.run) ||
        !worker.pending_ends.insert(key_of(item.run)).second)
    {
        return;
    }
    log_event(log_level::info, "late_end",
              {{"job", item.run.job()},
               {"run", key_of(item.run)},
               {"worker", worker.record.id()},
               {"epoch", absl::StrCat(epoch_)}});
    fleet_command command;
    auto& ended = *command.mutable_end();
    *ended.mutable_run() = item.run;
    ended.set_worker(worker.record.id());
    ended.set_born_ms(worker.record.born_ms());
    ended.set_end(item.end);
    propose_(std::move(command));
}

// Records the runs of the lists, which were requested at `sent`.
void worker_fleet::process_running(worker_session& worker,
                                   const worker_lists& lists,
                                   std::set<std::string>& seen, time_point sent,
                                   time_point now)
{
    for (const auto& item : lists.running)
    {
        const auto key = key_of(item.run);
        seen.insert(key);
        const auto found = runs_.find(key);
        if (found == runs_.end() ||
            session_of(found->second.location) != &worker)
        {
            // Later lists may have shown the end of the run.
            if (lists.worker_time_ms >= worker.lists_time_ms)
            {
                record_unknown_run(worker, item.run, sent, now);
            }
            continue;
        }
        auto& run = found->second;
        const bool start_seen =
            run.phase == run_phase::present ||
            (run.phase == run_phase::starting && item.percent == 0);
        if (run.phase == run_phase::starting || run.phase == run_phase::adopted)
        {
            run.phase = run_phase::present;
            run.changed_at = now;
            run.started_at = now;
        }
        if (item.percent > run.percent || run.progressed_at < run.started_at ||
            (!item.checkpoint.empty() && item.checkpoint != run.checkpoint))
        {
            run.progressed_at = now;
        }
        if (run.present_since_ms == 0)
        {
            run.present_since_ms = lists.worker_time_ms;
        }
        record_survival(run, lists.worker_time_ms);
        run.listed_at = now;
        run.listed_by_incarnation =
            run.listed_by_incarnation ||
            (lists.born_ms != 0 && lists.born_ms == run.incarnation.born_ms);
        sample_progress(run, item.percent, start_seen, now);
        run.percent = item.percent;
        if (run.serves_users)
        {
            run.tail_ms = item.recent_figure;
        }
        if (!item.checkpoint.empty())
        {
            run.checkpoint = item.checkpoint;
        }
        if (run.stop_acknowledged && !run.end_proposed &&
            is_stop_over(run.changed_at, sent))
        {
            repeat_stop(run, now);
        }
    }
}

// Stops or ends runs that are missing in the worker's lists, which were
// requested at `sent`. An unanswered start may be carried out much later, so a
// missing run counts as ended only after the worker has acknowledged a stop.
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
            // may have stopped the run a moment ago, so its resources are not
            // free yet.
            run.phase = run_phase::present;
            run.changed_at = now;
            stop(key, "absent_after_takeover", now);
        }
        else if (sent_out && run.stop_acknowledged &&
                 is_stop_over(run.changed_at, sent))
        {
            propose_end(run, run_stopped, "", "absent_after_stop");
        }
        else if (run.phase == run_phase::present && run.changed_at < sent)
        {
            stop(key, "absent", now);
        }
    }
}

// Ends runs whose stops are answered as invalid. After the end of the lease of
// its start, a run that is missing in the lists can not start any more; it may
// only be stopping because of an order that was not answered.
void worker_fleet::end_unstopped(worker_session& worker,
                                 const worker_lists& lists,
                                 const std::set<std::string>& seen,
                                 time_point now)
{
    for (const auto& key : worker.runs)
    {
        auto& run = runs_.at(key);
        // The starts of an earlier leader have leases that this one inherited.
        const bool start_is_over =
            run.start_lease_end_ms > 0
                ? lists.worker_time_ms > run.start_lease_end_ms
                : worker.clock.inherited_leases_expired(now);
        if (!run.stop_invalid || run.stop_acknowledged || run.end_proposed ||
            !(run.location == run.incarnation) || seen.count(key) > 0 ||
            !start_is_over)
        {
            continue;
        }
        if (run.absent_since_ms == 0)
        {
            run.absent_since_ms = lists.worker_time_ms;
        }
        else if (lists.worker_time_ms - run.absent_since_ms >=
                 options_.max_stop_time.count())
        {
            propose_end(run, run_lapsed, "", "absent_after_lease");
        }
    }
}

// Returns true when the worker's lists are needed to follow the run. A start is
// usually answered by itself.
bool worker_fleet::needs_lists(const live_run& run, time_point now)
{
    switch (run.phase)
    {
    case run_phase::proposed:
    case run_phase::committed:
        return false;
    case run_phase::starting:
        return run.start_attempts > 1 || run.stop_requested ||
               now - run.changed_at >= late_start_answer;
    case run_phase::present:
    case run_phase::adopted:
        break;
    }
    return true;
}

bool worker_fleet::needs_hold(const worker_session& worker,
                              time_point now) const
{
    // Only an answer makes a worker usable again, so an unreachable one that
    // reports is asked even when no run is left on it.
    const bool may_answer_again =
        (worker.missed_answers > 0 || worker.unreachable) &&
        !is_silent(worker, now);
    return !worker.holding && worker.pending_ends.empty() &&
           (!worker.confirmed || may_answer_again ||
            !worker.unknown_runs.empty() ||
            worker.acknowledged_end < worker.committed_end ||
            std::any_of(worker.runs.begin(), worker.runs.end(),
                        [this, now](const std::string& key)
                        {
                            return needs_lists(runs_.at(key), now);
                        }));
}

} // namespace limpetstack::fleet
