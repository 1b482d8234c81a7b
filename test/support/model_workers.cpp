#include "support/model_workers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr std::int64_t max_lease_ms = 6000;
constexpr milliseconds crash_after_start{10};

} // namespace

model_workers::model_workers(fleet_fixture& fixture, unsigned seed)
    : fixture_(fixture)
    , random_(seed)
    , last_time_(fixture.now)
{
}

void model_workers::add(const std::string& id, const std::string& rack,
                        const std::string& label)
{
    fixture_.add_worker(id, rack, 1, "service", label);
    workers_[id].record = fixture_.state.workers().at(id);
}

void model_workers::set_disconnected(const std::string& id, bool disconnected)
{
    workers_[id].disconnected = disconnected;
}

void model_workers::set_failing(const std::string& id, bool failing)
{
    workers_[id].failing = failing;
}

std::string model_workers::subtask_of(const run_ref& run)
{
    return absl::StrCat(run.job(), ".", run.step(), ".", run.index());
}

order_result model_workers::start(const std::string& id,
                                  const start_order& order)
{
    auto& worker = workers_[id];
    if (order.epoch < worker.epoch)
    {
        return order_result::newer_epoch;
    }
    worker.epoch = order.epoch;
    const auto clock = clock_of(worker);
    const auto until = std::min(order.lease_end_ms, clock + max_lease_ms);
    const auto key = worker_fleet::key_of(order.run);
    if (order.lease_end_ms <= clock)
    {
        return order_result::expired;
    }
    worker.lease_until = std::max(worker.lease_until, until);
    if (worker.runs.count(key) > 0)
    {
        return order_result::accepted;
    }
    const auto subtask = subtask_of(order.run);
    if (order.run.run() <= worker.highest_ended[subtask])
    {
        return order_result::old_run;
    }
    ++starts;
    ++starts_of[subtask];
    started.insert(subtask);
    if (crashing.count(subtask) > 0)
    {
        delayed_.push_back({fixture_.now + crash_after_start, [this, id]
                            {
                                crash(id);
                            }});
    }
    for (const auto& [other, state] : workers_)
    {
        for (const auto& [running, item] : state.runs)
        {
            if (subtask_of(item.run) == subtask)
            {
                violations.push_back(absl::StrCat("two runs of ", subtask,
                                                  " on ", id, " and ", other));
            }
        }
    }
    if (recorded_done_.count(subtask) > 0)
    {
        violations.push_back("start after the recorded end of " + subtask);
    }
    model_run run;
    run.run = order.run;
    const auto* const job = fixture_.state.find_job(order.run.job());
    if (job == nullptr)
    {
        violations.push_back("start of an unknown job " + order.run.job());
        return order_result::invalid;
    }
    const auto& step =
        job->job.spec().steps(static_cast<int>(order.run.step()));
    run.need = counted_need(step);
    run.gang = step.gang();
    run.remaining = milliseconds(step.estimate_ms() / 2 + random_() % 3000);
    if (faults.failed > 0 && chance(faults.failed))
    {
        run.end = run_failed;
        run.remaining = milliseconds(static_cast<std::int64_t>(random_()) %
                                     run.remaining.count());
    }
    run.duration = run.remaining;
    resource_amounts used = run.need;
    for (const auto& [running, item] : worker.runs)
    {
        used = used + item.need;
    }
    if (!fits(used, {32000, 131072, 8}))
    {
        violations.push_back("capacity of " + id + " exceeded by " + key);
    }
    worker.runs[key] = run;
    return order_result::accepted;
}

order_result model_workers::stop(const std::string& id, const run_ref& run,
                                 std::uint64_t epoch)
{
    auto& worker = workers_[id];
    if (epoch < worker.epoch)
    {
        return order_result::newer_epoch;
    }
    worker.epoch = epoch;
    auto& highest = worker.highest_ended[subtask_of(run)];
    highest = std::max(highest, run.run());
    const auto found = worker.runs.find(worker_fleet::key_of(run));
    if (found != worker.runs.end() && !found->second.stopping)
    {
        found->second.stopping = true;
        found->second.stopping_until = fixture_.now + stop_time;
    }
    return order_result::accepted;
}

hold_answer model_workers::hold(const std::string& id, const hold_order& order)
{
    auto& worker = workers_[id];
    hold_answer answer;
    if (order.epoch < worker.epoch)
    {
        answer.result = order_result::newer_epoch;
        return answer;
    }
    worker.epoch = order.epoch;
    const auto clock = clock_of(worker);
    if (order.lease_end_ms)
    {
        worker.lease_until =
            std::max(worker.lease_until,
                     std::min(*order.lease_end_ms, clock + max_lease_ms));
    }
    for (const auto& item : worker.ended)
    {
        if (item.number <= order.last_recorded_end && item.end == run_done &&
            item.number > worker.expired_ends)
        {
            recorded_done_.insert(subtask_of(item.run));
        }
    }
    worker.ended.erase(std::remove_if(worker.ended.begin(), worker.ended.end(),
                                      [&](const listed_end& item)
                                      {
                                          return item.number <=
                                                 order.last_recorded_end;
                                      }),
                       worker.ended.end());
    answer.result = order_result::accepted;
    answer.lists.worker_time_ms = clock;
    answer.lists.born_ms = worker.record.born_ms();
    for (const auto& [key, run] : worker.runs)
    {
        // A run that is stopping is not listed as running.
        if (!run.stopping)
        {
            const auto percent =
                reports_progress && run.duration > milliseconds(0)
                    ? 100 - 100 * run.remaining / run.duration
                    : 10;
            answer.lists.running.push_back(
                {run.run, "", static_cast<int>(percent)});
        }
    }
    answer.lists.ended = worker.ended;
    return answer;
}

void model_workers::finish(model_worker& worker, const std::string& key,
                           run_end end)
{
    const auto run = worker.runs.at(key).run;
    worker.runs.erase(key);
    auto& highest = worker.highest_ended[subtask_of(run)];
    highest = std::max(highest, run.run());
    worker.ended.push_back({worker.next_end++, run, end, ""});
}

// Carries out an order now, late or not at all, according to the faults. Calls
// `answer` only when the answer arrives.
void model_workers::deliver(const std::string& id,
                            const std::function<void()>& carry_out,
                            const std::function<void()>& answer)
{
    if (workers_[id].disconnected || workers_[id].crashed)
    {
        return;
    }
    if (chance(faults.late))
    {
        delayed_.push_back(
            {fixture_.now + milliseconds(2000 + random_() % 10000),
             [this, id, carry_out, process = workers_[id].process]
             {
                 if (workers_[id].process == process)
                 {
                     carry_out();
                 }
             }});
        return;
    }
    carry_out();
    if (!chance(faults.lost_answer))
    {
        answer();
    }
}

// Opens a connection for orders if the worker is up and has none of this
// leader. Returns true when it opened one.
bool model_workers::connect(const std::string& id)
{
    auto& worker = workers_[id];
    if (worker.disconnected || worker.crashed ||
        worker.connected_epoch == fixture_.epoch)
    {
        return false;
    }
    worker.connected_epoch = fixture_.epoch;
    return true;
}

// Carries out an order and answers it, or reports a timeout when the answer is
// lost.
void model_workers::take_order(const std::string& id,
                               const std::function<order_result()>& carry_out,
                               milliseconds timeout,
                               const fake_worker_port::order_callback& done)
{
    const auto result = std::make_shared<order_answer>();
    bool answered = false;
    const bool opened = connect(id);
    deliver(
        id,
        [this, id, carry_out, result]
        {
            result->result = carry_out();
            result->worker_time_ms = clock_of(workers_[id]);
        },
        [&answered]
        {
            answered = true;
        });
    if (answered)
    {
        done(*result);
        return;
    }
    // A call without an answer closes its connection.
    workers_[id].connected_epoch = 0;
    delayed_.push_back({fixture_.now + timeout, [done, opened]
                        {
                            order_answer missing;
                            missing.on_new_connection = opened;
                            done(missing);
                        }});
}

void model_workers::take_orders()
{
    auto& port = fixture_.port;
    for (auto& item : std::exchange(port.starts, {}))
    {
        if (chance(faults.refused))
        {
            item.done({order_result::unhealthy,
                       clock_of(workers_[item.order.worker])});
            continue;
        }
        take_order(
            item.order.worker,
            [this, order = item.order]
            {
                return start(order.worker, order);
            },
            item.timeout, item.done);
    }
    for (auto& item : std::exchange(port.stops, {}))
    {
        take_order(
            item.worker,
            [this, id = item.worker, run = item.run, epoch = fixture_.epoch]
            {
                return stop(id, run, epoch);
            },
            item.timeout, item.done);
    }
    auto lists = std::exchange(port.holds, {});
    for (auto& item : std::exchange(port.list_requests, {}))
    {
        lists.push_back(std::move(item));
    }
    for (auto& item : lists)
    {
        const auto result = std::make_shared<hold_answer>();
        const auto answered = std::make_shared<bool>(false);
        deliver(
            item.order.worker,
            [this, order = item.order, result]
            {
                *result = hold(order.worker, order);
            },
            [&]
            {
                *answered = true;
            });
        if (workers_[item.order.worker].crashed)
        {
            hold_answer closed;
            closed.connection_closed = true;
            delayed_.push_back({fixture_.now, [done = item.done, closed]
                                {
                                    done(closed);
                                }});
            continue;
        }
        const auto wait = milliseconds(
            *answered ? std::min<std::int64_t>(item.order.wait_limit_ms, 100)
            : item.order.wait_limit_ms > 0 ? item.order.wait_limit_ms + 600
                                           : order_timeout.count());
        delayed_.push_back({fixture_.now + wait,
                            [done = item.done, result, ok = *answered]
                            {
                                done(ok ? *result : hold_answer());
                            }});
    }
}

// Ends all members of a gang that are not stopping, on all workers. A run whose
// key is `except` stays.
void model_workers::end_gang(const run_ref& run, run_end end,
                             const std::string& except)
{
    for (auto& [id, worker] : workers_)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : worker.runs)
        {
            if (key != except && item.run.job() == run.job() &&
                item.run.step() == run.step() && item.run.run() == run.run() &&
                !item.stopping)
            {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys)
        {
            finish(worker, key, end);
        }
    }
}

void model_workers::advance_time()
{
    const auto passed = fixture_.now - last_time_;
    last_time_ = fixture_.now;
    std::vector<std::pair<run_ref, run_end>> gang_ends;
    for (auto& [id, worker] : workers_)
    {
        std::vector<std::pair<std::string, run_end>> ends;
        const bool lease_expired = clock_of(worker) > worker.lease_until;
        if (lease_expired)
        {
            worker.expired_ends = worker.next_end - 1;
        }
        for (auto& [key, run] : worker.runs)
        {
            run.remaining -= passed;
            if (lease_expired)
            {
                ends.emplace_back(key, run_lapsed);
            }
            else if (run.stopping)
            {
                if (fixture_.now >= run.stopping_until)
                {
                    ends.emplace_back(key, run_stopped);
                }
            }
            else if (run.remaining <= milliseconds(0))
            {
                ends.emplace_back(key, worker.failing ? run_failed : run.end);
            }
        }
        for (const auto& [key, end] : ends)
        {
            const auto run = worker.runs.at(key);
            finish(worker, key, end);
            if (run.gang)
            {
                gang_ends.emplace_back(run.run,
                                       end == run_done ? run_done : run_broken);
            }
        }
    }
    for (const auto& [run, end] : gang_ends)
    {
        end_gang(run, end, "");
    }
}

void model_workers::advance()
{
    advance_time();
    std::vector<std::function<void()>> due;
    for (auto at = delayed_.begin(); at != delayed_.end();)
    {
        if (at->at <= fixture_.now)
        {
            due.push_back(std::move(at->run));
            at = delayed_.erase(at);
        }
        else
        {
            ++at;
        }
    }
    for (const auto& run : due)
    {
        run();
    }
    fixture_.commit();
    take_orders();
    fixture_.commit();
}

} // namespace limpetstack::fleet
