// Start orders of the worker fleet, and the answers to them.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// An unanswered start is attempted this often before the run is stopped. While
// the worker counts as reachable, it is attempted for a time that is shorter
// than the time for which gang members wait for each other.
constexpr int max_start_attempts = 5;
constexpr milliseconds start_time_limit{2400};

// Timeout of orders where many answers are lost. Each third attempt waits for
// the whole timeout, so that slow workers still answer some.
constexpr milliseconds short_order_timeout{100};
constexpr int attempts_with_long_timeout = 3;

// The longest time that an attempt to send an order takes, with the opening of
// a connection.
constexpr milliseconds longest_attempt{1000};

// Lease of a start on a worker that has no other runs, where few answers are
// lost. A worker that does not answer delays the subtask by this time only:
// afterwards it can not carry out the start any more.
constexpr milliseconds first_lease{1000};

// Lease of a worker that is about to leave. Runs that are on it when it leaves
// end when the lease is over, unless the worker lists their ends.
constexpr milliseconds leaving_lease{3000};

// A worker that refused a start gets no placement for this time.
constexpr milliseconds refusal_pause{1000};

} // namespace

std::int64_t worker_fleet::grant_lease(worker_session& worker, time_point now)
{
    const auto lease =
        worker.record.draining() ? leaving_lease : options_.max_lease;
    const auto until = worker.clock.worker_time(now) + lease.count();
    worker.clock.grant(until);
    return until;
}

// Returns the lease of a start. All attempts share it, so that a worker that
// answers none of them delays the subtask by one lease.
milliseconds worker_fleet::start_lease(bool has_started_run,
                                       time_point now) const
{
    const bool is_first =
        !has_started_run && answers_are_reliable(lost_share(answers_, now));
    return is_first ? first_lease : options_.max_lease;
}

// Records the answer to an order, or its absence. `sent_reading_ms` is the
// latest reading of the worker's clock when the order was sent. A worker that
// reports and answers none is unreachable, also when no hold is due.
void worker_fleet::record_order_answer(worker_session& worker,
                                       std::int64_t sent_reading_ms,
                                       const order_answer& answer,
                                       time_point now)
{
    if (answer.result == order_result::other_worker)
    {
        return; // Another incarnation answered.
    }
    if (answer.result != order_result::unknown)
    {
        record_answer(worker, now);
        worker.clock.sample(answer.worker_time_ms, now);
        if (answer.worker_time_ms > 0 &&
            answer.worker_time_ms < sent_reading_ms)
        {
            // A steady clock does not run backwards.
            record_successor(worker, now);
        }
        return;
    }
    record_missing_answer(worker, worker_question::order, now);
}

// Returns the timeout of an attempt to send an order. Attempts count from 1.
milliseconds worker_fleet::timeout_of_attempt(int attempt, time_point now) const
{
    return answers_are_reliable(lost_share(answers_, now)) ||
                   attempt % attempts_with_long_timeout == 0
               ? order_timeout
               : short_order_timeout;
}

// Returns true when a start that was not answered is attempted again.
bool worker_fleet::may_repeat_start(const live_run& run,
                                    const worker_session& worker,
                                    time_point now) const
{
    const auto expiry = worker.clock.expiry_time();
    return (!expiry || now < *expiry) && !worker.replaced_at &&
           !is_evacuated(worker) && !is_overfull(worker) &&
           !must_wait(run, unknown_subtasks()) &&
           (run.start_attempts < max_start_attempts ||
            (!worker.unreachable &&
             now - run.first_sent_at < start_time_limit));
}

// Returns true when the whole gang of the run can start: all its placements are
// committed, and no member has a requested stop.
bool worker_fleet::is_gang_complete(const live_run& run) const
{
    const auto* const step = state_.find_step(run.ref);
    const auto members = gang_members(run.ref);
    return step != nullptr && members.size() == step->subtask_count &&
           std::none_of(members.begin(), members.end(),
                        [this](const std::string& member)
                        {
                            return runs_.at(member).stop_requested;
                        });
}

// Stops gangs of which members are newly committed and that can not start. The
// members of a gang are committed together, so each gang is checked once.
void worker_fleet::check_gang_placements(time_point now)
{
    std::set<std::string> checked_gangs;
    for (const auto& key : newly_committed_)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || !found->second.gang)
        {
            continue;
        }
        const auto& run = found->second;
        if (checked_gangs.insert(gang_key(run.ref)).second &&
            !is_gang_complete(run))
        {
            abort_gang(run, "gang_incomplete", now);
        }
    }
}

void worker_fleet::start_committed(time_point now)
{
    check_gang_placements(now);
    const auto keys = std::exchange(newly_committed_, {});
    if (keys.empty())
    {
        return;
    }
    const auto unknown = unknown_subtasks();
    std::map<std::string, bool> started_workers;
    std::vector<placed_run> without_ticket;
    for (const auto& key : keys)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second.phase != run_phase::committed)
        {
            continue;
        }
        auto* const worker = session_of(found->second.location);
        const auto* const job = state_.find_job(found->second.ref.job());
        if (worker == nullptr || worker->removed ||
            found->second.stop_requested || job == nullptr || job->ended())
        {
            propose_end(found->second, run_never, "", "not_started");
            continue;
        }
        if (worker->unreachable || worker->replaced_at)
        {
            // The order would only grant a lease that nobody answers for.
            propose_end(found->second, run_never, "", "worker_unreachable");
            continue;
        }
        if (is_evacuated(*worker))
        {
            propose_end(found->second, run_never, "", "data_centre_evacuated");
            continue;
        }
        if (is_overfull(*worker))
        {
            propose_end(found->second, run_never, "", "worker_occupied");
            continue;
        }
        if (must_wait(found->second, unknown))
        {
            waiting_starts_.push_back(key);
            log_wait(found->second, "unknown_run");
            continue;
        }
        const auto ticket = ticket_for_start(found->second, now);
        if (!ticket)
        {
            wait_for_ticket(found->second, without_ticket, now);
            continue;
        }
        // No start is answered meanwhile, so this is the same for all runs of
        // a worker.
        const auto [has_started, added] =
            started_workers.try_emplace(worker->record.id());
        if (added)
        {
            has_started->second = has_started_run(*worker);
        }
        found->second.start_lease_end_ms =
            worker->clock.worker_time(now) +
            start_lease(has_started->second, now).count();
        send_start(found->second, *worker, *ticket, now);
    }
    if (!without_ticket.empty())
    {
        tickets_.renew(without_ticket, now);
    }
}

// Logs the first time that the start of the run waits.
void worker_fleet::log_wait(live_run& run, const char* reason) const
{
    if (!std::exchange(run.waits, true))
    {
        log_event(log_level::info, "run_waits",
                  {{"job", run.ref.job()},
                   {"run", key_of(run.ref)},
                   {"worker", run.location.worker},
                   {"reason", reason},
                   {"epoch", absl::StrCat(epoch_)}});
    }
}

void worker_fleet::send_start(live_run& run, worker_session& worker,
                              const std::string& ticket, time_point now)
{
    const auto* const job = state_.find_job(run.ref.job());
    const auto* const step = state_.find_step(run.ref);
    const auto* const subtask = state_.find_subtask(run.ref);
    if (job == nullptr || subtask == nullptr)
    {
        return;
    }
    run.phase = run_phase::starting;
    run.changed_at = now;
    due_workers_.insert(run.incarnation.worker);
    ++run.start_attempts;
    run.open_attempt =
        attempt_end{now + longest_attempt,
                    worker.clock.worker_time(now) + longest_attempt.count()};
    start_order order;
    order.run = run.ref;
    order.worker = worker.record.id();
    order.payload = job->job.spec().payload();
    order.lease_end_ms = run.start_lease_end_ms;
    worker.clock.grant(run.start_lease_end_ms);
    order.epoch = epoch_;
    order.checkpoint = run.gang ? step->checkpoint : subtask->checkpoint;
    order.ticket = ticket;
    run.ticket_wanted_at.reset();
    const auto key = key_of(run.ref);
    record_start(run, worker, now);
    if (run.start_attempts == 1)
    {
        run.first_sent_at = now;
        log_event(log_level::info, "run_starting",
                  {{"job", run.ref.job()},
                   {"run", key},
                   {"worker", worker.record.id()},
                   {"lease_end_ms", absl::StrCat(order.lease_end_ms)},
                   {"epoch", absl::StrCat(epoch_)}});
    }
    port_.start(worker.record, order,
                timeout_of_attempt(run.start_attempts, now),
                answer_handler(key, worker, &worker_fleet::on_start_answer));
}

// Returns a callback that calls `handler` for the run, and that does nothing
// once this leadership is over.
std::function<void(const order_answer&)> worker_fleet::answer_handler(
    const std::string& key, const worker_session& worker, order_handler handler)
{
    return [this, key, handler, reading = worker.clock.latest_reading(),
            alive = std::weak_ptr<int>(alive_)](const order_answer& answer)
    {
        if (!alive.expired())
        {
            (this->*handler)(key, reading, answer, clock_());
        }
    };
}

// Records the end of an attempt to start the run. An unanswered one on a new
// connection may have reached the next incarnation of the worker.
void worker_fleet::record_attempt_end(live_run& run, const order_answer& answer,
                                      time_point now)
{
    run.open_attempt.reset();
    if (answer.result == order_result::unknown && answer.on_new_connection)
    {
        const auto* const worker = session_of(run.location);
        run.new_connection_attempt = attempt_end{
            now, worker == nullptr ? 0 : worker->clock.worker_time(now)};
    }
}

// Keeps placements off a worker that refused a start or did not answer it.
void worker_fleet::pause_starts(worker_session& worker, time_point now)
{
    worker.refuses_until = std::max(worker.refuses_until, now + refusal_pause);
}

void worker_fleet::on_start_answer(const std::string& key,
                                   std::int64_t sent_reading_ms,
                                   const order_answer& answer, time_point now)
{
    const auto found = runs_.find(key);
    if (found != runs_.end())
    {
        record_attempt_end(found->second, answer, now);
    }
    if (found == runs_.end() || found->second.phase != run_phase::starting ||
        found->second.end_proposed ||
        !(found->second.location == found->second.incarnation))
    {
        return;
    }
    auto& run = found->second;
    auto* const worker = session_of(run.location);
    counters_.add(
        absl::StrCat("starts_total{result=\"", name_of(answer.result), "\"}"));
    counters_.observe_latency(
        "order_ms", static_cast<double>((now - run.changed_at).count()));
    if (worker != nullptr)
    {
        record_order_answer(*worker, sent_reading_ms, answer, now);
    }
    const auto refuse = [&](const char* reason, milliseconds pause)
    {
        if (worker != nullptr)
        {
            worker->refuses_until =
                std::max(worker->refuses_until, now + pause);
        }
        if (run.start_attempts > 1)
        {
            // An earlier attempt was not answered and may still be carried out.
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
                   {"worker", run.incarnation.worker},
                   {"result", name_of(answer.result)},
                   {"attempt", absl::StrCat(run.start_attempts)}});
    }
    switch (answer.result)
    {
    case order_result::accepted:
        run.phase = run_phase::present;
        run.changed_at = now;
        run.started_at = now;
        run.present_since_ms = answer.worker_time_ms;
        if (worker != nullptr)
        {
            // The next hold renews the first lease.
            worker->retry_at = now;
            due_workers_.insert(run.incarnation.worker);
        }
        break;
    case order_result::unknown:
        if (run.stop_requested || worker == nullptr)
        {
            break;
        }
        if (may_repeat_start(run, *worker, now))
        {
            repeat_start(run, *worker, now);
        }
        else
        {
            give_up_start(key, *worker, now);
        }
        break;
    case order_result::newer_epoch:
        deposed_ = true;
        break;
    case order_result::old_run:
        // The run ended or was stopped on the worker; its lists say how.
        run.phase = run_phase::present;
        run.changed_at = now;
        break;
    case order_result::no_capacity:
        refuse("no_room", refusal_pause);
        break;
    case order_result::unhealthy:
        refuse("worker_unhealthy", refusal_pause);
        break;
    case order_result::other_worker:
        if (worker != nullptr)
        {
            worker->refuses_until =
                std::max(worker->refuses_until, now + 5 * refusal_pause);
        }
        propose_end(run, run_never, "", "worker_gone");
        break;
    case order_result::expired:
        refuse("lease_expired", milliseconds(0));
        break;
    case order_result::bad_ticket:
        if (may_renew_ticket(run, now))
        {
            // The worker has not started the run, so the placement still holds.
            run.phase = run_phase::committed;
            run.changed_at = now;
            run.start_attempts = 0;
            newly_committed_.push_back(key);
        }
        else
        {
            refuse("bad_ticket", refusal_pause);
        }
        break;
    case order_result::invalid:
        refuse("invalid_order", refusal_pause);
        break;
    }
}

} // namespace limpetstack::fleet
