#include "support/shared_workers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick{20};
constexpr std::size_t ticks_in_figure = 25; // Half a second.
constexpr double figure_noise = 0.1;
constexpr milliseconds pace_delay{100};
constexpr milliseconds impact_limit{4000};
constexpr milliseconds stop_time{300};
constexpr milliseconds report_interval{1000};
constexpr milliseconds round_interval{100};
constexpr double full_pace = 100;

} // namespace

shared_workers::shared_workers(fleet_fixture& fixture, unsigned seed)
    : fixture_(fixture)
    , random_(seed)
{
}

void shared_workers::add(const std::string& id)
{
    fixture_.add_worker(id, "r1");
    workers_[id];
}

void shared_workers::set_disturbance(const std::string& job, double share,
                                     double variation)
{
    disturbances_[job] = {share, variation};
}

void shared_workers::later(milliseconds delay, std::function<void()> run)
{
    delayed_.push_back({fixture_.now + delay, std::move(run)});
}

void shared_workers::run_due()
{
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
}

order_answer shared_workers::answered(order_result result) const
{
    order_answer answer;
    answer.result = result;
    answer.worker_time_ms = fixture_.worker_clock();
    return answer;
}

void shared_workers::take_start(const fake_worker_port::sent_start& item)
{
    auto& at = workers_[item.order.worker];
    const auto* const job = fixture_.state.find_job(item.order.run.job());
    const auto& step =
        job->job.spec().steps(static_cast<int>(item.order.run.step()));
    worker_run run;
    run.ref = item.order.run;
    run.filler = step.filler();
    run.lasting = step.lasting();
    run.target_ms = static_cast<double>(step.tail_latency_ms());
    run.work_ms = static_cast<double>(step.estimate_ms());
    run.work_left_ms = run.work_ms;
    at.runs.emplace(worker_fleet::key_of(item.order.run), run);
    ++starts_of[item.order.run.job()];
    item.done(answered(order_result::accepted));
}

void shared_workers::take_stop(const fake_worker_port::sent_stop& item)
{
    auto& runs = workers_[item.worker].runs;
    if (const auto found = runs.find(worker_fleet::key_of(item.run));
        found != runs.end() && !found->second.stopping)
    {
        found->second.stopping = true;
        found->second.stops_at = fixture_.now + stop_time;
    }
    item.done(answered(order_result::accepted));
}

void shared_workers::set_percent(const pace_order& order)
{
    auto& at = workers_[order.worker];
    if (order.epoch < at.epoch)
    {
        return;
    }
    at.epoch = order.epoch;
    later(pace_delay,
          [this, order]
          {
              auto& runs = workers_[order.worker].runs;
              if (const auto found = runs.find(worker_fleet::key_of(order.run));
                  found != runs.end())
              {
                  found->second.percent = order.percent;
              }
          });
}

void shared_workers::take_pace(const fake_worker_port::sent_pace& item)
{
    ++pace_orders;
    if (!supports_pace)
    {
        auto refused = answered(order_result::unknown);
        refused.not_supported = true;
        item.done(refused);
        return;
    }
    const bool late = chance(faults.late);
    if (late)
    {
        later(milliseconds(2000 + random_() % 6000),
              [this, order = item.order]
              {
                  set_percent(order);
              });
    }
    else
    {
        set_percent(item.order);
    }
    if (late || chance(faults.lost_answer))
    {
        later(order_timeout,
              [done = item.done]
              {
                  done(order_answer());
              });
        return;
    }
    item.done(answered(order_result::accepted));
}

hold_answer shared_workers::lists_of(worker& from)
{
    std::uniform_real_distribution<double> noise(1 - figure_noise,
                                                 1 + figure_noise);
    hold_answer answer;
    answer.result = order_result::accepted;
    answer.lists.worker_time_ms = fixture_.worker_clock();
    for (const auto& [key, run] : from.runs)
    {
        if (run.stopping)
        {
            continue;
        }
        const auto percent =
            run.lasting ? full_pace
                        : full_pace * (1 - run.work_left_ms / run.work_ms);
        listed_run row{run.ref, "", static_cast<int>(percent), {}};
        if (lists_figures && run.target_ms > 0 && !run.tails.empty())
        {
            row.recent_figure =
                noise(random_) *
                std::accumulate(run.tails.begin(), run.tails.end(), 0.0) /
                static_cast<double>(run.tails.size());
        }
        answer.lists.running.push_back(row);
    }
    answer.lists.ended = from.ended;
    return answer;
}

void shared_workers::take_hold(const fake_worker_port::sent_hold& item)
{
    auto& at = workers_[item.order.worker];
    at.epoch = std::max(at.epoch, item.order.epoch);
    at.ended.erase(std::remove_if(at.ended.begin(), at.ended.end(),
                                  [&](const listed_end& end)
                                  {
                                      return end.number <=
                                             item.order.last_recorded_end;
                                  }),
                   at.ended.end());
    const milliseconds wait(at.ended.empty() ? item.order.wait_limit_ms : 0);
    later(wait,
          [this, id = item.order.worker, done = item.done]
          {
              done(lists_of(workers_[id]));
          });
}

void shared_workers::take_orders()
{
    auto& port = fixture_.port;
    for (const auto& item : std::exchange(port.starts, {}))
    {
        take_start(item);
    }
    for (const auto& item : std::exchange(port.stops, {}))
    {
        take_stop(item);
    }
    for (const auto& item : std::exchange(port.paces, {}))
    {
        take_pace(item);
    }
    for (const auto& item : std::exchange(port.holds, {}))
    {
        take_hold(item);
    }
    for (const auto& item : std::exchange(port.list_requests, {}))
    {
        take_hold(item);
    }
}

// Returns the share of the target by which the filler raises the tails now.
double shared_workers::disturbance_of(const worker_run& run) const
{
    constexpr double period_ms = 7000;
    const auto found = disturbances_.find(run.ref.job());
    if (found == disturbances_.end())
    {
        return 0;
    }
    const auto& item = found->second;
    const auto phase = static_cast<double>(fixture_.worker_clock()) / period_ms;
    return item.share *
           (1 + item.variation * std::sin(2 * std::acos(-1.0) * phase)) *
           run.percent / full_pace;
}

void shared_workers::finish(worker& at, const std::string& key, run_end end)
{
    at.ended.push_back({at.next_end++, at.runs.at(key).ref, end, ""});
    at.runs.erase(key);
}

// Records a violation when the run has been over its target for the impact
// limit, would not be without fillers, and these work on.
void shared_workers::judge(const std::string& id, worker_run& run,
                           double fillers)
{
    run.tails.push_back((own_load_ + fillers) * run.target_ms);
    if (run.tails.size() > ticks_in_figure)
    {
        run.tails.pop_front();
    }
    const bool harmed =
        fillers > 0 && own_load_ + fillers > 1 && own_load_ <= 1;
    run.harmed_for = harmed ? run.harmed_for + tick : milliseconds(0);
    if (run.harmed_for >= impact_limit && !std::exchange(run.reported, true))
    {
        violations.push_back(absl::StrCat(worker_fleet::key_of(run.ref), " on ",
                                          id, " at ", fixture_.worker_clock()));
    }
}

void shared_workers::work(const std::string& id, worker& at)
{
    double fillers = 0;
    bool serves = false;
    std::vector<std::pair<std::string, run_end>> ends;
    for (auto& [key, run] : at.runs)
    {
        fillers += run.filler ? disturbance_of(run) : 0;
        serves = serves || run.target_ms > 0;
    }
    for (auto& [key, run] : at.runs)
    {
        const auto done =
            static_cast<double>(tick.count()) * run.percent / full_pace;
        if (run.filler && serves)
        {
            filler_work_ms_ += done;
            filler_time_ms_ += static_cast<double>(tick.count());
        }
        if (run.target_ms > 0)
        {
            judge(id, run, fillers);
        }
        run.work_left_ms -= done;
        if (run.stopping)
        {
            if (fixture_.now >= run.stops_at)
            {
                ends.emplace_back(key, run_stopped);
            }
        }
        else if (!run.lasting && run.work_left_ms <= 0)
        {
            ends.emplace_back(key, run_done);
        }
    }
    for (const auto& [key, end] : ends)
    {
        finish(at, key, end);
    }
}

void shared_workers::advance(milliseconds time)
{
    for (milliseconds passed{0}; passed < time; passed += tick)
    {
        fixture_.advance(tick);
        run_due();
        if (fixture_.now >= next_report_)
        {
            next_report_ = fixture_.now + report_interval;
            for (const auto& [id, at] : workers_)
            {
                fixture_.report(id);
            }
        }
        if (fixture_.now >= next_round_)
        {
            next_round_ = fixture_.now + round_interval;
            fixture_.schedule();
        }
        fixture_.commit();
        take_orders();
        for (auto& [id, at] : workers_)
        {
            work(id, at);
        }
    }
}

void shared_workers::change_leader()
{
    fixture_.port = fake_worker_port();
    fixture_.start_leader();
}

double shared_workers::take_filler_share()
{
    const auto time = std::exchange(filler_time_ms_, 0);
    const auto done = std::exchange(filler_work_ms_, 0);
    return time > 0 ? done / time : 0;
}

std::size_t shared_workers::running(const std::string& job) const
{
    std::size_t count = 0;
    for (const auto& [id, at] : workers_)
    {
        count += static_cast<std::size_t>(std::count_if(
            at.runs.begin(), at.runs.end(),
            [&job](const auto& entry)
            {
                return entry.second.ref.job() == job && !entry.second.stopping;
            }));
    }
    return count;
}

} // namespace limpetstack::fleet
