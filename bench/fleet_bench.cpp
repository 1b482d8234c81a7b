// Measures the time that the fleet scheduler takes per run and per round at
// several fleet sizes, on a manual clock with simulated workers that answer at
// once.
#include "support/fleet_fixture.hpp"

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace limpetstack;
using namespace limpetstack::fleet;

// Orders the earliest end first in std::priority_queue.
struct planned_end
{
    time_point at;
    std::string key;
    bool operator<(const planned_end& other) const { return other.at < at; }
};

struct measurement
{
    double us_per_run = 0;
    double us_per_round = 0;
    std::size_t runs = 0;
};

step_spec random_step(std::mt19937& random)
{
    static constexpr std::int64_t accelerator_counts[] = {1, 1, 1, 2, 4, 8, 8};
    auto step = make_step(1 + random() % 12, accelerator_counts[random() % 7],
                          random() % 2 == 0);
    step.mutable_need()->set_cpu_milli(2800);
    step.mutable_need()->set_memory_mb(8000);
    step.set_same_rack(random() % 2 == 0);
    return step;
}

// Accepts every start and stop at once and records when each run ends. Drops
// holds and list requests without an answer.
void serve_workers(fleet_fixture& fixture,
                   std::priority_queue<planned_end>& ends, std::mt19937& random)
{
    while (!fixture.port.starts.empty())
    {
        const auto start = fixture.port.starts.front();
        fixture.port.starts.pop_front();
        start.done({order_result::accepted, fixture.worker_clock()});
        ends.push({fixture.now + milliseconds(2000 + random() % 8000),
                   worker_fleet::key_of(start.order.run)});
    }
    while (!fixture.port.stops.empty())
    {
        const auto stop = fixture.port.stops.front();
        fixture.port.stops.pop_front();
        stop.done({order_result::accepted, fixture.worker_clock()});
        ends.push({fixture.now, worker_fleet::key_of(stop.run)});
    }
    fixture.port.list_requests.clear();
    fixture.port.holds.clear();
}

// Applies the ends of all runs that are due.
void apply_due_ends(fleet_fixture& fixture,
                    std::priority_queue<planned_end>& ends)
{
    while (!ends.empty() && ends.top().at <= fixture.now)
    {
        const auto found = fixture.workers->runs().find(ends.top().key);
        ends.pop();
        if (found == fixture.workers->runs().end())
        {
            continue;
        }
        fleet_command command;
        auto& ended = *command.mutable_end();
        *ended.mutable_run() = found->second.ref;
        ended.set_worker(found->second.incarnation.worker);
        ended.set_born_ms(found->second.incarnation.born_ms);
        ended.set_end(found->second.stop_requested ? run_stopped : run_done);
        fixture.apply(command);
    }
}

// Runs the scheduler for `seconds` of simulated time.
measurement measure(int workers, double jobs_per_second, int seconds)
{
    fleet_fixture fixture;
    std::mt19937 random(20261204);
    for (int i = 0; i < workers; ++i)
    {
        fixture.add_worker("w" + std::to_string(i),
                           "r" + std::to_string(i / 20));
    }
    fixture.commit();
    std::priority_queue<planned_end> ends;
    constexpr int steps_per_second = 50;
    double spent_us = 0;
    std::size_t rounds = 0;
    std::size_t runs = 0;
    double jobs_due = 0;
    int jobs = 0;
    static const char* const queues[] = {"urgent", "normal", "low"};
    for (int i = 0; i < seconds * steps_per_second; ++i)
    {
        const auto began = std::chrono::steady_clock::now();
        fixture.now += milliseconds(1000 / steps_per_second);
        fixture.wall_ms += 1000 / steps_per_second;
        if (i % steps_per_second == 0)
        {
            for (int w = 0; w < workers; ++w)
            {
                fixture.report("w" + std::to_string(w));
            }
        }
        for (jobs_due += jobs_per_second / steps_per_second; jobs_due >= 1;
             --jobs_due)
        {
            fixture.submit("job" + std::to_string(jobs++), random_step(random),
                           queues[random() % 3]);
        }
        apply_due_ends(fixture, ends);
        fixture.schedule();
        runs += fixture.port.starts.size();
        serve_workers(fixture, ends, random);
        fixture.commit();
        ++rounds;
        spent_us += std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - began)
                        .count();
    }
    return {spent_us / static_cast<double>(runs),
            spent_us / static_cast<double>(rounds), runs};
}

struct speed_measurement
{
    double us_per_observation = 0;
    double us_per_classification = 0;
};

// Measures the estimation of worker speed: gangs of five on workers of three
// speeds, each worker observed 30 times, and the classes after each time.
speed_measurement measure_speed(std::size_t workers)
{
    constexpr std::size_t gang_size = 5;
    constexpr int rounds = 30;
    static constexpr double speeds[] = {0.6, 1.0, 1.6};
    std::mt19937 random(20261204);
    std::normal_distribution<double> noise(0, 0.2);
    std::vector<speed_estimate> estimates(workers);
    const time_point now{milliseconds(1000)};
    std::size_t observations = 0;
    double observing_us = 0;
    double classifying_us = 0;
    std::size_t classes = 0;
    const auto us_since = [](std::chrono::steady_clock::time_point began)
    {
        return std::chrono::duration<double, std::micro>(
                   std::chrono::steady_clock::now() - began)
            .count();
    };
    for (int round = 0; round < rounds; ++round)
    {
        const auto began = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < workers; ++i)
        {
            std::vector<run_time> others;
            for (std::size_t k = 1; k < gang_size; ++k)
            {
                const auto other = (i + k * 7 + k * round) % workers;
                others.push_back({noise(random) - std::log(speeds[other % 3]),
                                  estimates[other].log_speed,
                                  certainty_of(estimates[other], now), false});
            }
            const run_time run{noise(random) - std::log(speeds[i % 3]),
                               estimates[i].log_speed, 0, false};
            record_speed(estimates[i], observed_speed(run, others), now);
            ++observations;
        }
        observing_us += us_since(began);
        const auto classified = std::chrono::steady_clock::now();
        classes += classify_speeds(estimates, now).count();
        classifying_us += us_since(classified);
    }
    std::fprintf(stderr, "%zu workers: %.1f classes on average\n", workers,
                 static_cast<double>(classes) / rounds);
    return {observing_us / static_cast<double>(observations),
            classifying_us / rounds};
}

} // namespace

// Without arguments it measures three fleet sizes. With two arguments, the
// number of workers and the jobs per second, it measures that size.
int main(int argc, char** argv)
{
    std::vector<std::pair<int, double>> sizes{{48, 3.2}, {350, 17}, {2400, 80}};
    if (argc == 3)
    {
        sizes = {{std::atoi(argv[1]), std::atof(argv[2])}};
    }
    std::printf("%8s %8s %10s %12s %12s\n", "workers", "jobs/s", "runs",
                "us a run", "us a round");
    for (const auto& [workers, rate] : sizes)
    {
        const auto result = measure(workers, rate, 30);
        std::printf("%8d %8.1f %10zu %12.1f %12.1f\n", workers, rate,
                    result.runs, result.us_per_run, result.us_per_round);
    }
    std::printf("%8s %8s %16s %18s\n", "workers", "bytes", "us an observation",
                "us a classification");
    for (const std::size_t workers : {350, 2400})
    {
        const auto result = measure_speed(workers);
        std::printf("%8zu %8zu %16.2f %18.1f\n", workers,
                    sizeof(speed_estimate), result.us_per_observation,
                    result.us_per_classification);
    }
    return EXIT_SUCCESS;
}
