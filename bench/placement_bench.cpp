// Measures placement and reclaim decisions on a loaded fleet, and job
// completion time and fragmentation for the shapes of both deployments beside
// plain baselines. It holds an arrival list, a worker table and a clock; it
// simulates no cluster, messages or faults.

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

constexpr int seeds = 5;
const std::string flooding_account = "account1";
constexpr int workers_per_rack = 6;
constexpr std::uint32_t worker_accelerators = 8;
constexpr resources worker_total{worker_accelerators, 32, 128 << 10};
// A gang that was stopped repeats this much of its work after its checkpoint.
constexpr milliseconds restart_cost{60 * 1000};

struct arrival
{
    queued_job job;
    time_point at{};
    milliseconds run_time{0};
};

struct profile
{
    std::string name;
    document config;
};

struct outcome
{
    std::map<std::string, std::vector<double>> completion_s; // By class.
    double fragmentation = 0; // Average over time.
    double reclaims = 0;
    double victims = 0;
};

std::string class_of(const queued_job& job)
{
    if (job.id.front() == 'f')
    {
        return "flood";
    }
    const auto size = job.shape.members * job.shape.each.accelerators;
    return size >= 24 ? "large" : size <= 2 ? "small" : "medium";
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const auto value : values)
    {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void add_fleet(const std::function<void(const worker_capacity&)>& put,
               int racks)
{
    for (int r = 0; r < racks; ++r)
    {
        const auto rack = "r" + std::to_string(r);
        for (int w = 0; w < workers_per_rack; ++w)
        {
            put({rack + "-" + std::to_string(w), "dc1", rack, worker_total});
        }
    }
}

/// Returns one data centre of 2 racks with four accounts.
profile make_profile(const std::string& name,
                     const std::vector<std::uint32_t>& weights,
                     std::uint32_t guaranteed_members)
{
    profile result;
    result.name = name;
    rack_group group;
    group.data_centre = "dc1";
    group.racks = 2;
    group.workers_per_rack = workers_per_rack;
    group.cores = worker_total.cores;
    group.memory_mib = worker_total.memory_mib;
    group.accelerators = worker_accelerators;
    result.config.fleet.push_back(group);
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        client_account account;
        account.name = "account" + std::to_string(i);
        account.weight = weights[i];
        if (i == 0)
        {
            guaranteed_shape shape;
            shape.data_centre = "dc1";
            shape.members = guaranteed_members;
            shape.accelerators = worker_accelerators;
            shape.cores = 8;
            shape.memory_mib = 32 << 10;
            shape.placement = adjacency::rack;
            account.guarantees.push_back(shape);
        }
        result.config.client_accounts.push_back(account);
    }
    return result;
}

class arrival_list
{
public:
    explicit arrival_list(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Adds jobs with exponential gaps until `end`; those that begin later than
    /// at 0 count as a flood. Run times are lognormal;
    /// declared ones are wrong by a factor of about ten either way.
    void add(int account, gang_shape shape, urgency level, double gap_s,
             double run_s, double end_s, double begin_s = 0)
    {
        std::exponential_distribution<> gap(1 / gap_s);
        std::lognormal_distribution<> spread(0, 0.5);
        std::lognormal_distribution<> error(-1, 1.5);
        for (double at = begin_s + gap(random_); at < end_s; at += gap(random_))
        {
            arrival a;
            a.job.id = (begin_s > 0 ? "f" : "j") + std::to_string(list_.size());
            a.job.account = "account" + std::to_string(account);
            a.job.shape = shape;
            a.job.service = class_of(a.job);
            a.job.level = level;
            a.at =
                time_point(milliseconds(static_cast<std::int64_t>(at * 1000)));
            a.run_time = milliseconds(
                static_cast<std::int64_t>(run_s * spread(random_) * 1000));
            a.job.declared = milliseconds(static_cast<std::int64_t>(
                static_cast<double>(a.run_time.count()) * error(random_)));
            list_.push_back(std::move(a));
        }
    }

    std::vector<arrival> sorted()
    {
        std::stable_sort(list_.begin(), list_.end(),
                         [](const auto& a, const auto& b)
                         {
                             return a.at < b.at;
                         });
        return list_;
    }

private:
    std::mt19937_64 random_;
    std::vector<arrival> list_;
};

gang_shape gang(std::uint32_t members, std::uint32_t accelerators,
                adjacency placement = adjacency::any)
{
    return {members, {accelerators, accelerators, 4096}, placement};
}

std::vector<arrival> arrivals_of(const std::string& scenario,
                                 std::uint64_t seed)
{
    constexpr double hour = 3600;
    constexpr double day = 24 * hour;
    arrival_list list(seed);
    const auto rack = adjacency::rack;
    list.add(0, gang(4, 8, rack), urgency::normal, 4 * hour, hour, day);
    list.add(1, gang(1, 8), urgency::normal, hour / 2, hour, day);
    list.add(1, gang(1, 1), urgency::normal, 120, 900, day);
    list.add(2, gang(1, 2), urgency::normal, 300, 1200, day);
    list.add(3, gang(2, 4), urgency::normal, 2 * hour, hour, day);
    list.add(2, gang(4, 8, rack), urgency::normal, 6 * hour, hour, day);
    if (scenario == "low_flood")
    {
        list.add(1, gang(1, 1), urgency::low, 3, 900, 4 * hour, 3 * hour);
    }
    if (scenario == "urgent_flood")
    {
        list.add(1, gang(1, 1), urgency::urgent, 3, 900, 4 * hour, 3 * hour);
    }
    if (scenario == "large_mix")
    {
        list.add(3, gang(6, 8, rack), urgency::normal, 5 * hour, hour, day);
        list.add(0, gang(2, 8, rack), urgency::normal, 3 * hour, hour, day);
    }
    return list.sorted();
}

/// What a scheduler under test is driven through.
class table
{
public:
    virtual ~table() = default;
    virtual void submit(const queued_job& job, bool front) = 0;
    virtual void finished(const std::string& id, milliseconds ran) = 0;
    virtual std::vector<start_decision> decide(time_point now) = 0;
    virtual const worker_index& workers() const = 0;
};

class policy_table : public table
{
public:
    policy_table(const profile& p, const scheduling_policy& policy)
        : scheduler_("dc1", policy)
    {
        scheduler_.configure(p.config);
        add_fleet(
            [this](const auto& worker)
            {
                scheduler_.put_worker(worker);
            },
            2);
    }

    void submit(const queued_job& job, bool front) override
    {
        scheduler_.submit(job, front);
    }
    void finished(const std::string& id, milliseconds ran) override
    {
        scheduler_.finished(id, ran.count() > 0
                                    ? std::optional<milliseconds>(ran)
                                    : std::nullopt);
    }
    std::vector<start_decision> decide(time_point now) override
    {
        return scheduler_.decide(now, 1000);
    }
    const worker_index& workers() const override
    {
        return scheduler_.workers();
    }

private:
    job_scheduler scheduler_;
};

/// First come first served with first fit. With `skip`, later jobs may start
/// while the first does not fit.
class plain_table : public table
{
public:
    explicit plain_table(bool skip)
        : skip_(skip)
    {
        add_fleet(
            [this](const auto& worker)
            {
                index_.put(worker);
                order_.push_back(worker.id);
            },
            2);
    }

    void submit(const queued_job& job, bool /*front*/) override
    {
        queue_.push_back(job);
    }

    void finished(const std::string& id, milliseconds /*ran*/) override
    {
        const auto& [placement, each] = running_.at(id);
        index_.give(placement, each);
        running_.erase(id);
    }

    std::vector<start_decision> decide(time_point /*now*/) override
    {
        std::vector<start_decision> result;
        for (auto at = queue_.begin(); at != queue_.end();)
        {
            auto placement = first_fit(at->shape);
            if (placement.empty())
            {
                if (!skip_)
                {
                    break;
                }
                ++at;
                continue;
            }
            index_.take(placement, at->shape.each);
            running_[at->id] = {placement, at->shape.each};
            result.push_back({at->id, std::move(placement), {}, false});
            at = queue_.erase(at);
        }
        return result;
    }

    const worker_index& workers() const override { return index_; }

private:
    gang_placement first_fit(const gang_shape& shape) const
    {
        gang_placement placement;
        std::string rack;
        for (const auto& worker : order_)
        {
            if (shape.placement == adjacency::rack &&
                index_.rack_of(worker) != rack)
            {
                rack = index_.rack_of(worker);
                placement.clear();
            }
            const auto room = fit_count(
                index_.free(worker).value_or(resources{}), shape.each);
            placement.insert(
                placement.end(),
                std::min<std::size_t>(room, shape.members - placement.size()),
                worker);
            if (placement.size() == shape.members)
            {
                return placement;
            }
        }
        return {};
    }

    bool skip_;
    worker_index index_;
    std::vector<std::string> order_;
    std::list<queued_job> queue_;
    std::map<std::string, std::pair<gang_placement, resources>> running_;
};

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
            return std::make_unique<policy_table>(p, policy);
        };
    };
    const auto full = average(with({}), scenario);
    for (const bool skip : {false, true})
    {
        const auto plain = average(
            [skip]
            {
                return std::make_unique<plain_table>(skip);
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
