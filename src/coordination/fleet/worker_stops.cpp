// Stop orders of the worker fleet, and the answers to them.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <set>
#include <string>

namespace limpetstack::fleet
{
namespace
{

// Time between two list requests for a stopped run that the worker has not
// listed as ended.
constexpr milliseconds list_request_interval{500};

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
    const auto* const worker = session_of(run.location);
    if (worker == nullptr)
    {
        return; // No order reaches it; the run ends with its lease.
    }
    run.stop_sent = true;
    run.changed_at = now;
    ++run.stop_attempts;
    port_.stop(worker->record, run.ref, epoch_,
               timeout_of_attempt(run.stop_attempts, now),
               answer_handler(key_of(run.ref), *worker,
                              &worker_fleet::on_stop_answer));
}

void worker_fleet::on_stop_answer(const std::string& key,
                                  std::int64_t sent_reading_ms,
                                  const order_answer& answer, time_point now)
{
    const auto found = runs_.find(key);
    if (found == runs_.end() || found->second.end_proposed)
    {
        return;
    }
    auto& run = found->second;
    auto* const worker = session_of(run.location);
    if (worker != nullptr)
    {
        record_order_answer(*worker, sent_reading_ms, answer, now);
    }
    if (answer.result == order_result::newer_epoch)
    {
        deposed_ = true;
        return;
    }
    if (acknowledges_stop(answer.result))
    {
        run.stop_acknowledged = true;
        run.changed_at = now;
        return;
    }
    run.stop_invalid =
        run.stop_invalid || answer.result == order_result::invalid;
    run.stop_sent = false; // `advance` sends the stop again.
    run.changed_at = now;
    if (answer.result == order_result::unknown && worker != nullptr &&
        !worker->unreachable &&
        !answers_are_reliable(lost_share(answers_, now)))
    {
        send_stop(run, now);
    }
}

// Returns true when lists that were requested at `sent` show the effect of a
// stop that was acknowledged at `acknowledged_at`.
bool worker_fleet::is_stop_over(time_point acknowledged_at,
                                time_point sent) const
{
    return acknowledged_at + options_.max_stop_time <= sent;
}

// Sends a stop again that was acknowledged and had no effect.
void worker_fleet::repeat_stop(live_run& run, time_point now)
{
    log_event(log_level::warning, "stop_without_effect",
              {{"job", run.ref.job()},
               {"run", key_of(run.ref)},
               {"worker", run.incarnation.worker},
               {"epoch", absl::StrCat(epoch_)}});
    run.stop_acknowledged = false;
    run.stop_sent = false;
    send_stop(run, now);
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
