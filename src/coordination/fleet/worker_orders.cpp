// Start and stop orders of the worker fleet, and the answers to them.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// An unanswered start is attempted this often before the run is stopped. All
// attempts together take less than the time that gang members wait for each
// other.
constexpr int max_start_attempts = 5;

// Time before a failed stop is repeated.
constexpr milliseconds order_retry_delay{150};

// Time between two list requests for a stopped run that the worker has not
// listed as ended.
constexpr milliseconds list_request_interval{500};

// Lease of a start on a worker that has no other runs. A worker that does not
// answer delays the subtask by this time only: afterwards it can not carry out
// the start any more.
constexpr milliseconds first_lease{1000};

// A worker that left this many orders in a row unanswered gets no placements
// until it answers a hold.
constexpr int max_unanswered_orders = 2;

// A worker that refused a start gets no placement for this time.
constexpr milliseconds refusal_pause{1000};

} // namespace

void worker_fleet::abort_gang(const live_run& run, const char* reason,
                              time_point now)
{
    for (const auto& key : gang_members(run.ref))
    {
        auto& member = runs_.at(key);
        if (!member.stop_requested)
        {
            member.stop_requested = true;
            stopping_.insert(key);
            log_event(log_level::info, "run_stopping",
                      {{"job", member.ref.job()},
                       {"run", key},
                       {"worker", member.incarnation.worker},
                       {"reason", reason}});
            send_stop(member, now);
        }
    }
}

void worker_fleet::stop(const std::string& key, const char* reason,
                        time_point now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.stop_requested)
    {
        return;
    }
    if (found->second.gang)
    {
        abort_gang(found->second, reason, now);
        return;
    }
    found->second.stop_requested = true;
    stopping_.insert(key);
    log_event(log_level::info, "run_stopping",
              {{"job", found->second.ref.job()},
               {"run", key},
               {"worker", found->second.incarnation.worker},
               {"reason", reason}});
    send_stop(found->second, now);
}

std::int64_t worker_fleet::grant_lease(worker_session& worker, time_point now)
{
    const auto until =
        worker.clock.worker_time(now) + options_.max_lease.count();
    worker.clock.grant(until);
    return until;
}

// Grants the lease of a start on a worker without other runs. All attempts of
// the start share it, so that the subtask is free again when it is over.
std::int64_t worker_fleet::grant_first_lease(live_run& run,
                                             worker_session& worker,
                                             time_point now)
{
    if (run.first_lease_end_ms == 0)
    {
        run.first_lease_end_ms =
            worker.clock.worker_time(now) + first_lease.count();
    }
    worker.clock.grant(run.first_lease_end_ms);
    return run.first_lease_end_ms;
}

// Counts orders without an answer. A worker that reports and answers none is
// unreachable, also when no hold is due.
void worker_fleet::record_order_answer(worker_session& worker,
                                       const order_answer& answer,
                                       time_point now)
{
    if (answer.result != order_result::unknown)
    {
        worker.unanswered_orders = 0;
        worker.last_contact = now;
        worker.clock.sample(answer.worker_time_ms, now);
        return;
    }
    ++worker.unanswered_orders;
    if (worker.unanswered_orders == max_unanswered_orders)
    {
        mark_unreachable(worker, answer.result, now);
    }
}

// Marks members of gangs for a stop unless the whole gang can start: all
// placements must be committed, and no member may have a requested stop.
void worker_fleet::check_gang_placements()
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
        const bool complete =
            step != nullptr && members.size() == step->subtasks.size() &&
            std::none_of(members.begin(), members.end(),
                         [this](const std::string& member)
                         {
                             return runs_.at(member).stop_requested;
                         });
        if (!complete)
        {
            found->second.stop_requested = true;
        }
    }
}

void worker_fleet::start_committed(time_point now)
{
    check_gang_placements();
    const auto keys = std::exchange(newly_committed_, {});
    for (const auto& key : keys)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second.phase != run_phase::committed)
        {
            continue;
        }
        auto* const worker = session_of(found->second.incarnation);
        const auto* const job = state_.find_job(found->second.ref.job());
        if (worker == nullptr || found->second.stop_requested ||
            job == nullptr || job->ended())
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
    run.changed_at = now;
    due_workers_.insert(run.incarnation.worker);
    ++run.start_attempts;
    start_order order;
    order.run = run.ref;
    order.worker = worker.record.id();
    order.payload = job->job.spec().payload();
    order.lease_end_ms = has_started_run(worker)
                             ? grant_lease(worker, now)
                             : grant_first_lease(run, worker, now);
    order.epoch = epoch_;
    order.checkpoint = run.gang ? step->checkpoint : subtask->checkpoint;
    order.ticket = run.ticket;
    const auto key = key_of(run.ref);
    if (run.start_attempts == 1)
    {
        record_start(run, worker, now);
        log_event(log_level::info, "run_starting",
                  {{"job", run.ref.job()},
                   {"run", key},
                   {"worker", worker.record.id()},
                   {"lease_end_ms", absl::StrCat(order.lease_end_ms)},
                   {"epoch", absl::StrCat(epoch_)}});
    }
    port_.start(worker.record, order,
                answer_handler(key, &worker_fleet::on_start_answer));
}

// Returns a callback that calls `handler` for the run, and that does nothing
// once this leadership is over.
std::function<void(const order_answer&)>
worker_fleet::answer_handler(const std::string& key, order_handler handler)
{
    return [this, key, handler,
            alive = std::weak_ptr<int>(alive_)](const order_answer& answer)
    {
        if (!alive.expired())
        {
            (this->*handler)(key, answer, clock_());
        }
    };
}

void worker_fleet::on_start_answer(const std::string& key,
                                   const order_answer& answer, time_point now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.phase != run_phase::starting ||
        found->second.end_proposed || found->second.worker_restarted)
    {
        return;
    }
    auto& run = found->second;
    auto* const worker = session_of(run.incarnation);
    counters_.add(
        absl::StrCat("starts_total{result=\"", name_of(answer.result), "\"}"));
    counters_.observe_latency(
        "order_ms", static_cast<double>((now - run.changed_at).count()));
    if (worker != nullptr)
    {
        record_order_answer(*worker, answer, now);
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
        if (worker != nullptr && worker->hold_failures == 0)
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
        if (run.start_attempts < max_start_attempts)
        {
            send_start(run, *worker, now);
        }
        else
        {
            worker->refuses_until =
                std::max(worker->refuses_until, now + refusal_pause);
            stop(key, "start_unanswered", now);
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
    const auto found = workers_.find(run.incarnation.worker);
    if (found == workers_.end())
    {
        propose_end(run, run_lapsed, "", "worker_gone");
        return;
    }
    run.stop_sent = true;
    run.changed_at = now;
    port_.stop(found->second.record, run.ref, epoch_,
               answer_handler(key_of(run.ref), &worker_fleet::on_stop_answer));
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
    auto* const worker = session_of(run.incarnation);
    if (worker != nullptr)
    {
        record_order_answer(*worker, answer, now);
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
        run.changed_at = now;
        if (run.worker_restarted)
        {
            propose_end(run, run_never, "", "displaced");
        }
        return;
    }
    run.stop_sent = false; // `advance` sends the stop again.
    run.changed_at = now;
}

// Repeats stops that were not acknowledged, and requests the lists of workers
// that should have listed the end of a stopped run by now.
void worker_fleet::retry_stops(time_point now)
{
    std::set<std::string> list_requests;
    for (const auto& key : stopping_)
    {
        auto& run = runs_.at(key);
        if (now - run.changed_at >= order_retry_delay)
        {
            send_stop(run, now);
        }
        // The longest stop is over: if the run was present, the worker lists it
        // as ended now.
        if (run.stop_acknowledged && !run.end_proposed &&
            !run.worker_restarted &&
            now - run.changed_at >= options_.max_stop_time &&
            now - run.lists_requested_at >= list_request_interval)
        {
            run.lists_requested_at = now;
            list_requests.insert(run.incarnation.worker);
        }
    }
    for (const auto& id : list_requests)
    {
        if (const auto found = workers_.find(id); found != workers_.end())
        {
            request_lists(found->second, now);
        }
    }
}

} // namespace limpetstack::fleet
