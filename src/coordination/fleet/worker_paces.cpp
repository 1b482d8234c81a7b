// Paces the fillers of the worker fleet on workers that also serve users.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr int full_pace = 100;

// A worker on which a filler had to be stopped takes no fillers beside serving
// runs for this time, which doubles each time.
constexpr milliseconds first_filler_pause{10000};
constexpr milliseconds max_filler_pause{60000};

// Returns the ratio of the run's tail latency to its target, empty when the
// lists that arrived at `now` do not tell it.
std::optional<double> load_of(const live_run& run, time_point now)
{
    return run.tail_ms && run.listed_at == now
               ? std::optional<double>(
                     *run.tail_ms /
                     static_cast<double>(run.tail_latency_target_ms))
               : std::nullopt;
}

} // namespace

bool worker_fleet::refuses_fillers(const worker_session& worker, time_point now)
{
    return worker.serving_runs > 0 && now < worker.no_fillers_until;
}

bool worker_fleet::is_paceable(const live_run& run)
{
    return run.filler && run.phase == run_phase::present &&
           run.location == run.incarnation && !run.stop_requested &&
           !run.end_proposed;
}

// Changes the pace of the worker's fillers after it has listed its runs. The
// highest load counts, and any unknown one while no known one is over 1.
void worker_fleet::sample_tails(worker_session& worker, time_point sent,
                                time_point now)
{
    if (!worker.pace)
    {
        return;
    }
    double highest = 0;
    bool all_known = true;
    for (const auto& key : worker.runs)
    {
        const auto& run = runs_.at(key);
        if (run.serves_users)
        {
            const auto load = load_of(run, now);
            highest = std::max(highest, load.value_or(0));
            all_known = all_known && load;
        }
    }
    const tail_sample sample{all_known || highest > 1
                                 ? std::optional<double>(highest)
                                 : std::nullopt,
                             sent, now};
    set_pace(worker, pace_after(*worker.pace, sample, options_.pace),
             sample.load);
}

void worker_fleet::set_pace(worker_session& worker, const filler_pace& pace,
                            std::optional<double> load)
{
    const auto earlier = worker.pace;
    worker.pace = pace;
    if (earlier && earlier->percent == pace.percent)
    {
        return;
    }
    due_workers_.insert(worker.record.id());
    log_event(log_level::info, "fillers_paced",
              {{"worker", worker.record.id()},
               {"percent", absl::StrCat(pace.percent)},
               {"earlier", earlier ? absl::StrCat(earlier->percent) : ""},
               {"load", load ? absl::StrCat(*load) : "unknown"},
               {"fillers", absl::StrCat(worker.filler_runs)},
               {"serving", absl::StrCat(worker.serving_runs)},
               {"epoch", absl::StrCat(epoch_)}});
}

// Begins, goes on with or ends the pacing of the worker's fillers, and sends
// the orders that are due.
void worker_fleet::advance_pace(worker_session& worker, time_point now)
{
    if (worker.filler_runs == 0)
    {
        worker.pace.reset();
        return;
    }
    if (worker.serving_runs == 0)
    {
        worker.pace.reset();
    }
    else
    {
        set_pace(worker,
                 worker.pace
                     ? pace_without_sample(*worker.pace, now, options_.pace)
                     : restarted_pace(std::nullopt, now),
                 std::nullopt);
    }
    if (worker.unreachable || worker.replaced_at)
    {
        return; // Orders would not arrive.
    }
    std::vector<std::string> unpaced;
    for (const auto& key : worker.runs)
    {
        auto& run = runs_.at(key);
        if (!is_paceable(run))
        {
            continue;
        }
        if (worker.pace && run.pace.accepted != 0 && !run.lasting &&
            must_stop_filler(*worker.pace, !worker.pace_not_supported, now,
                             options_.pace))
        {
            unpaced.push_back(key);
        }
        else if (!worker.pace_not_supported)
        {
            send_pace(run, worker, now);
        }
    }
    if (!unpaced.empty())
    {
        stop_unpaced(worker, unpaced, now);
    }
}

void worker_fleet::send_pace(live_run& run, const worker_session& worker,
                             time_point now)
{
    const auto percent = worker.pace ? worker.pace->percent : full_pace;
    if (!is_pace_due(run.pace, percent, now))
    {
        return;
    }
    run.pace = pace_sent(run.pace, percent, now);
    port_.pace(
        worker.record, {run.ref, worker.record.id(), percent, epoch_},
        order_timeout,
        answer_handler(key_of(run.ref), worker, &worker_fleet::on_pace_answer));
}

void worker_fleet::on_pace_answer(const std::string& key,
                                  std::int64_t sent_reading_ms,
                                  const order_answer& answer, time_point now)
{
    counters_.add(absl::StrCat("pace_orders_total{result=\"",
                               answer.not_supported ? "not_supported"
                                                    : name_of(answer.result),
                               "\"}"));
    const auto found = runs_.find(key);
    if (found == runs_.end() || !found->second.pace.order_open)
    {
        return;
    }
    auto& run = found->second;
    auto* const worker = session_of(run.location);
    if (worker == nullptr)
    {
        return;
    }
    due_workers_.insert(worker->record.id());
    if (answer.not_supported)
    {
        record_answer(*worker, now);
        if (!std::exchange(worker->pace_not_supported, true))
        {
            log_event(log_level::warning, "pace_not_supported",
                      {{"worker", worker->record.id()},
                       {"epoch", absl::StrCat(epoch_)}});
        }
        run.pace = pace_failed(run.pace, true, now);
        return;
    }
    record_order_answer(*worker, sent_reading_ms, answer, now);
    if (answer.result == order_result::newer_epoch)
    {
        deposed_ = true;
        return;
    }
    if (answer.result != order_result::accepted)
    {
        run.pace =
            pace_failed(run.pace, answer.result != order_result::unknown, now);
        return;
    }
    const bool changed = run.pace.accepted != run.pace.sent;
    run.pace = pace_accepted(run.pace, now);
    if (changed)
    {
        // The run is judged by its progress at the new pace only.
        run.progressed_at = now;
        if (worker->pace)
        {
            worker->pace = accepted_pace(*worker->pace, now);
        }
    }
}

// Stops fillers that harm serving runs and can not be paced.
void worker_fleet::stop_unpaced(worker_session& worker,
                                const std::vector<std::string>& keys,
                                time_point now)
{
    worker.filler_pause =
        worker.filler_pause == milliseconds(0)
            ? first_filler_pause
            : std::min(2 * worker.filler_pause, max_filler_pause);
    worker.no_fillers_until = now + worker.filler_pause;
    counters_.add("fillers_stopped_total", keys.size());
    for (const auto& key : keys)
    {
        stop(key, "tail_over_target", now);
    }
}

} // namespace limpetstack::fleet
