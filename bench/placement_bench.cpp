// Measures placement and reclaim decisions on a loaded fleet, and job
// completion time and fragmentation for the shapes of both deployments beside
// plain baselines. It holds an arrival list, a worker table and a clock; it
// simulates no cluster, messages or faults.

#include "bench/placement/arrivals.hpp"
#include "bench/placement/tables.hpp"
#include "coordination/job_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace limpetstack;
using namespace limpetstack::bench;

constexpr int seeds = 5;
const std::string flooding_account = "account1";
// A gang that was stopped repeats this much of its work after its checkpoint.
constexpr milliseconds restart_cost{60 * 1000};

struct outcome
{
    std::map<std::string, std::vector<double>> completion_s; // By class.
    double fragmentation = 0; // Average over time.
    double reclaims = 0;
    double victims = 0;
};

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const auto value : values)
    {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/// Returns the part of the gang that free accelerators could form in one rack
/// that does not fit in any rack.
double fragmentation(const worker_index& index)
{
    const resources whole{worker_accelerators, 0, 0};
    std::uint32_t free = 0;
    for (const auto& worker : index.workers("dc1", ""))
    {
        free += index.free(worker)->accelerators;
    }
    const auto possible =
        std::min<std::uint32_t>(free / worker_accelerators, workers_per_rack);
    return possible == 0 ? 0
                         : 1 - static_cast<double>(
                                   index.largest_rack_gang("dc1", whole)) /
                                   possible;
}

struct run_state
{
    arrival job;
    milliseconds left{0};
    time_point started{};
    std::uint32_t attempt = 0;
    bool running = false;
};

outcome simulate(table& subject, const std::vector<arrival>& arrivals)
{
    using event = std::tuple<time_point, std::string, std::uint32_t>;
    std::priority_queue<event, std::vector<event>, std::greater<>> ends;
    std::map<std::string, run_state> jobs;
    outcome result;
    double weighted = 0;
    double total = 0;
    time_point now{};
    std::size_t next = 0;
    while (next < arrivals.size() || !ends.empty())
    {
        const auto arrival_at =
            next < arrivals.size() ? arrivals[next].at : time_point::max();
        const auto end_at =
            ends.empty() ? time_point::max() : std::get<0>(ends.top());
        const auto then = std::min(arrival_at, end_at);
        if (next < arrivals.size())
        {
            const auto time = static_cast<double>((then - now).count());
            weighted += time * fragmentation(subject.workers());
            total += time;
        }
        now = then;
        if (arrival_at <= end_at)
        {
            const auto& a = arrivals[next++];
            jobs[a.job.id] = {a, a.run_time, {}, 0, false};
            subject.submit(a.job, false);
        }
        else
        {
            const auto [at, id, attempt] = ends.top();
            ends.pop();
            auto& job = jobs.at(id);
            if (!job.running || job.attempt != attempt)
            {
                continue;
            }
            job.running = false;
            subject.finished(id, job.job.run_time);
            const auto seconds =
                static_cast<double>((now - job.job.at).count()) / 1000;
            const auto name = class_of(job.job.job);
            result.completion_s["all"].push_back(seconds);
            result.completion_s[name].push_back(seconds);
            if (job.job.job.account != flooding_account)
            {
                result.completion_s["others"].push_back(seconds);
            }
        }
        for (bool again = true; again;)
        {
            again = false;
            for (const auto& decision : subject.decide(now))
            {
                result.reclaims += decision.victims.empty() ? 0 : 1;
                result.victims += static_cast<double>(decision.victims.size());
                for (const auto& victim : decision.victims)
                {
                    auto& stopped = jobs.at(victim);
                    stopped.left += restart_cost - (now - stopped.started);
                    stopped.running = false;
                    subject.finished(victim, milliseconds(0));
                    subject.submit(stopped.job.job, true);
                    again = true;
                }
                if (decision.victims.empty())
                {
                    auto& started = jobs.at(decision.id);
                    started.running = true;
                    started.started = now;
                    ends.emplace(now + started.left, decision.id,
                                 ++started.attempt);
                }
            }
        }
    }
    result.fragmentation = total > 0 ? weighted / total : 0;
    return result;
}

using table_maker = std::function<std::unique_ptr<table>()>;

outcome average(const table_maker& make, const std::string& scenario)
{
    outcome sum;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        const auto subject = make();
        const auto one = simulate(*subject, arrivals_of(scenario, seed));
        for (const auto& [name, values] : one.completion_s)
        {
            auto& all = sum.completion_s[name];
            all.insert(all.end(), values.begin(), values.end());
        }
        sum.fragmentation += one.fragmentation / seeds;
        sum.reclaims += one.reclaims;
        sum.victims += one.victims;
    }
    return sum;
}

void print(const char* measure, const std::string& profile,
           const std::string& scenario, double policy, double baseline,
           const std::string& against)
{
    std::printf("measure=%s profile=%s scenario=%s policy=%.4g baseline=%.4g "
                "ratio=%.3f against=%s\n",
                measure, profile.c_str(), scenario.c_str(), policy, baseline,
                baseline > 0 ? policy / baseline : 0, against.c_str());
}

void compare(const profile& p, const std::string& scenario,
             const outcome& policy, const outcome& baseline,
             const std::string& against)
{
    bool printed = false;
    const bool flood = policy.completion_s.count("flood") > 0;
    for (const std::string name :
         {"all", "large", "small", flood ? "others" : "all",
          flood ? "flood" : "all"})
    {
        if (name == "all" && printed)
        {
            continue;
        }
        printed = true;
        auto label = scenario;
        if (name != "all")
        {
            label.append("-").append(name);
        }
        print("completion_time", p.name, label,
              mean(policy.completion_s.at(name)),
              mean(baseline.completion_s.at(name)), against);
    }
    print("fragmentation", p.name, scenario, policy.fragmentation,
          baseline.fragmentation, against);
    if (baseline.reclaims > 0)
    {
        std::printf("reclaim_victims profile=%s scenario=%s policy=%.3f "
                    "baseline=%.3f against=%s\n",
                    p.name.c_str(), scenario.c_str(),
                    policy.victims / policy.reclaims,
                    baseline.victims / baseline.reclaims, against.c_str());
    }
}

void compare_all(const profile& p, const std::string& scenario)
{
    const auto with = [&p](const scheduling_policy& policy)
    {
        return [&p, policy]
        {
            return make_policy_table(p, policy);
        };
    };
    const auto full = average(with({}), scenario);
    for (const bool skip : {false, true})
    {
        const auto plain = average(
            [skip]
            {
                return make_plain_table(skip);
            },
            scenario);
        compare(p, scenario, full, plain, skip ? "fcfs_skipping" : "fcfs");
    }
    const std::vector<std::pair<std::string, bool scheduling_policy::*>> parts{
        {"first_rack", &scheduling_policy::best_fit},
        {"no_reservation", &scheduling_policy::reserve},
        {"no_backfill", &scheduling_policy::backfill},
        {"declared_times", &scheduling_policy::learn_times},
        {"no_reclaim", &scheduling_policy::reclaim}};
    for (const auto& [name, member] : parts)
    {
        scheduling_policy policy;
        policy.*member = false;
        compare(p, scenario, full, average(with(policy), scenario), name);
    }
}

double median_ns(std::size_t count, const std::function<void()>& operation)
{
    std::vector<double> times;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto begin = std::chrono::steady_clock::now();
        operation();
        times.push_back(std::chrono::duration<double, std::nano>(
                            std::chrono::steady_clock::now() - begin)
                            .count());
    }
    std::nth_element(times.begin(),
                     times.begin() + static_cast<std::ptrdiff_t>(count / 2),
                     times.end());
    return times[count / 2];
}

void decision_cost(int worker_count)
{
    worker_index all;
    worker_index guaranteed;
    borrowing_table borrowing;
    add_fleet(
        [&](const auto& worker)
        {
            all.put(worker);
            guaranteed.put(worker);
        },
        worker_count / workers_per_rack);
    std::mt19937_64 random(1);
    const auto shape_at_random = [&random]
    {
        static const std::vector<gang_shape> shapes{
            gang(1, 0),
            gang(1, 1),
            gang(1, 2),
            gang(2, 4),
            gang(1, 8),
            gang(4, 8, adjacency::rack),
            gang(3, 4, adjacency::rack)};
        auto shape = shapes[random() % shapes.size()];
        shape.each.cores = 1;
        return shape;
    };
    for (int i = 0; i < worker_count * 15; ++i)
    {
        const auto shape = shape_at_random();
        const auto placement = all.place("dc1", shape, {});
        if (placement)
        {
            all.take(*placement, shape.each);
            borrowing.insert({std::to_string(i), *placement, shape.each,
                              gang_size(shape),
                              time_point(milliseconds(random() % 1000000))});
        }
    }
    // A loaded fleet with holes: every tenth gang has ended.
    for (int i = 0; i < worker_count * 15; i += 10)
    {
        if (const auto* ended = borrowing.find(std::to_string(i)))
        {
            all.give(ended->placement, ended->each);
            borrowing.erase(std::to_string(i));
        }
    }
    const auto placing =
        median_ns(2000,
                  [&]
                  {
                      const auto shape = shape_at_random();
                      if (const auto placement = all.place("dc1", shape, {}))
                      {
                          all.take(*placement, shape.each);
                          all.give(*placement, shape.each);
                      }
                  });
    std::printf("decision_cost workers=%d ns=%.0f kind=placement\n",
                worker_count, placing);
    const reclaim_view view{all, guaranteed, borrowing, "dc1",
                            time_point(milliseconds(2000000))};
    const auto reclaiming =
        median_ns(200,
                  [&]
                  {
                      choose_reclaim(view, gang(4, 8, adjacency::rack),
                                     [](const auto&)
                                     {
                                         return true;
                                     });
                  });
    std::printf("decision_cost workers=%d ns=%.0f kind=reclaim\n", worker_count,
                reclaiming);
}

} // namespace

int main()
{
    for (const int workers : {50, 500, 2400})
    {
        decision_cost(workers);
    }
    for (const auto& p : {make_profile("addis", {4, 2, 1, 1}, 4),
                          make_profile("sitnis", {1, 1, 1, 1}, 4)})
    {
        for (const std::string scenario :
             {"steady", "large_mix", "low_flood", "urgent_flood"})
        {
            compare_all(p, scenario);
        }
    }
    return 0;
}
