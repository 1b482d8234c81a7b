// Observes the speed of workers from the progress and the ends that they list.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace limpetstack::fleet
{
namespace
{

// Progress is listed in whole percent; below this, rounding and the time that
// messages take blur the speed.
constexpr int min_percent = 10;
constexpr int all_percent = 100;
constexpr double min_time_ms = 200;

// A run of this time is judged by its slope, long before its end.
constexpr milliseconds long_run{5000};
constexpr int min_percent_of_long_run = 20;
constexpr int percent_between_attempts = 10;

// The runs of a step, beside the one that is judged.
constexpr std::size_t min_other_runs = 2;

// A member of a gang that takes this many times the median is logged.
constexpr double slowest_factor = 1.5;

constexpr milliseconds classification_interval{1000};

double ms_between(time_point from, time_point to)
{
    return static_cast<double>((to - from).count());
}

// Returns the time of the whole run after a part of it. The listed percent is
// rounded down.
double whole_time(double part_ms, int percent)
{
    return part_ms * all_percent / (percent + 0.5);
}

std::string step_key(const run_ref& run)
{
    return absl::StrCat(run.job(), ".", run.occurrence(), ".", run.step());
}

} // namespace

// Records the listed percent of the run. `start_seen`: the leader knows when it
// began.
void worker_fleet::sample_progress(live_run& run, int percent, bool start_seen,
                                   time_point now)
{
    run.speed_observed =
        run.speed_observed || !start_seen || run.lasting || run.filler;
    if (run.speed_observed || run.stop_requested)
    {
        return;
    }
    if (percent >= all_percent)
    {
        run.done_listed_at = run.done_listed_at.value_or(now);
        return;
    }
    if (percent >= min_percent)
    {
        run.sampled_percent = percent;
        run.sampled_at = now;
    }
    // The attempts are limited, because each looks at the whole gang.
    if (now - run.started_at < long_run || percent < min_percent_of_long_run ||
        percent / percent_between_attempts ==
            run.percent / percent_between_attempts)
    {
        return;
    }
    if (run.gang)
    {
        observe_gang(run, false, now);
    }
    else
    {
        observe_single(
            run, whole_time(ms_between(run.started_at, now), percent), now);
    }
}

// Observes the speed of a run that its worker lists as done.
void worker_fleet::observe_end(live_run& run, time_point now)
{
    if (run.speed_observed || run.lasting || run.filler ||
        run.phase != run_phase::present || run.stop_requested)
    {
        return;
    }
    if (run.gang)
    {
        observe_gang(run, true, now);
    }
    else
    {
        observe_single(run, ms_between(run.started_at, now), now);
    }
}

void worker_fleet::observe_single(live_run& run, double time_ms, time_point now)
{
    run.speed_observed = true;
    // A later run may have started from a checkpoint of an earlier one.
    if (time_ms < min_time_ms || (run.checkpointable && run.ref.run() > 1))
    {
        return;
    }
    const auto& times = step_times_.add(
        step_key(run.ref), {run.location.worker, std::log(time_ms)});
    if (times.size() <= min_other_runs)
    {
        return;
    }
    const std::vector<step_run> runs(times.begin(), times.end());
    // The first runs of a step are judged as soon as there are enough.
    record_speeds(runs, std::vector<bool>(runs.size(), false),
                  runs.size() == min_other_runs + 1 ? 0 : runs.size() - 1, now);
}

// Observes the speeds of the members of a gang, which all began when the last
// one was present. Each is known from the last percent that shows it. A member
// that was done at its first listing took at most the time until then.
void worker_fleet::observe_gang(live_run& run, bool ended, time_point now)
{
    std::vector<live_run*> members;
    time_point began_at;
    for (const auto& key : gang_members(run.ref))
    {
        auto& member = runs_.at(key);
        if (member.phase != run_phase::present || member.speed_observed ||
            member.stop_requested)
        {
            return;
        }
        began_at = std::max(began_at, member.started_at);
        members.push_back(&member);
    }
    std::vector<step_run> runs;
    std::vector<bool> upper_bounds;
    for (const auto* const member : members)
    {
        const auto sampled_ms = ms_between(began_at, member->sampled_at);
        const bool sampled =
            member->sampled_percent > 0 && sampled_ms >= min_time_ms;
        const auto done_at = member->done_listed_at.value_or(now);
        if (!sampled && !ended && !member->done_listed_at)
        {
            return; // Another attempt follows.
        }
        const auto time_ms =
            sampled ? whole_time(sampled_ms, member->sampled_percent)
                    : ms_between(began_at, done_at);
        runs.push_back({member->location.worker,
                        std::log(std::max(time_ms, min_time_ms))});
        upper_bounds.push_back(!sampled);
    }
    for (auto* const member : members)
    {
        member->speed_observed = true;
    }
    if (ended)
    {
        log_slowest(run.ref, runs, now);
    }
    record_speeds(runs, upper_bounds, 0, now);
}

// Records the speeds that the times of the runs from `first` on show beside all
// of them. A run with an upper bound of its time shows nothing about others,
// and about its own worker only when that is faster than thought.
void worker_fleet::record_speeds(const std::vector<step_run>& runs,
                                 const std::vector<bool>& upper_bounds,
                                 std::size_t first, time_point now)
{
    std::vector<run_time> times;
    times.reserve(runs.size());
    for (std::size_t i = 0; i < runs.size(); ++i)
    {
        run_time time{runs[i].log_time, 0, 0, upper_bounds[i]};
        const auto worker = workers_.find(runs[i].worker);
        if (worker != workers_.end())
        {
            time.log_speed = worker->second.speed.log_speed;
            time.certainty = certainty_of(worker->second.speed, now);
        }
        times.push_back(time);
    }
    for (auto i = first; i < runs.size(); ++i)
    {
        const auto worker = workers_.find(runs[i].worker);
        std::vector<run_time> others;
        for (std::size_t j = 0; j < runs.size(); ++j)
        {
            if (j != i && !upper_bounds[j])
            {
                others.push_back(times[j]);
            }
        }
        if (worker == workers_.end() || others.empty())
        {
            continue;
        }
        const auto speed = observed_speed(times[i], others);
        if (!upper_bounds[i] || speed > times[i].log_speed)
        {
            record_speed(worker->second.speed, speed, now);
            counters_.add("speed_observations_total");
        }
    }
}

// Logs the slowest member of a gang that is done, when it took much longer than
// the others.
void worker_fleet::log_slowest(const run_ref& ref,
                               const std::vector<step_run>& runs,
                               time_point now) const
{
    auto order = runs;
    std::sort(order.begin(), order.end(),
              [](const step_run& a, const step_run& b)
              {
                  return a.log_time < b.log_time;
              });
    const auto& slowest = order.back();
    const auto median_ms = std::exp(order[(order.size() - 1) / 2].log_time);
    const auto worker = workers_.find(slowest.worker);
    if (std::exp(slowest.log_time) <= slowest_factor * median_ms ||
        worker == workers_.end())
    {
        return;
    }
    const auto& speed = worker->second.speed;
    log_event(
        log_level::info, "gang_slowest",
        {{"job", ref.job()},
         {"worker", slowest.worker},
         {"time_ms", absl::StrCat(std::llround(std::exp(slowest.log_time)))},
         {"median_ms", absl::StrCat(std::llround(median_ms))},
         {"speed", absl::StrCat(speed_of(speed, speed_classes_, now))},
         {"observations", absl::StrCat(speed.count)},
         {"age_ms", speed.count == 0
                        ? std::string()
                        : absl::StrCat((now - speed.last).count())}});
}

const speed_classes& worker_fleet::refreshed_speed_classes(time_point now)
{
    if (now - speeds_classified_at_ < classification_interval)
    {
        return speed_classes_;
    }
    speeds_classified_at_ = now;
    std::vector<speed_estimate> estimates;
    estimates.reserve(workers_.size());
    for (const auto& [id, worker] : workers_)
    {
        estimates.push_back(worker.speed);
    }
    speed_classes_ = classify_speeds(estimates, now);
    std::vector<std::size_t> sizes(max_speed_classes);
    for (const auto& estimate : estimates)
    {
        ++sizes[class_of(estimate, speed_classes_, now)];
    }
    counters_.set("worker_speed_classes",
                  static_cast<double>(speed_classes_.count()));
    for (std::size_t i = 0; i < sizes.size(); ++i)
    {
        counters_.set(absl::StrCat("workers_by_speed{class=\"", i, "\"}"),
                      static_cast<double>(sizes[i]));
    }
    return speed_classes_;
}

} // namespace limpetstack::fleet
