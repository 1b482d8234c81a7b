// Compares the queue of a dispatcher with shared slots without accounts, on a
// manual clock with fixed seeds, and times its decisions. docs/MEASURES.md
// explains the lines.

#include "coordination/fair_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace limpetstack;

// One data centre of the deployments: 50 upstreams of 8 slots in 4.
constexpr std::uint32_t slots = 12 * 8;
constexpr std::size_t queue_length = 4096;
constexpr milliseconds deadline{5000};
constexpr milliseconds run_length{60000};
constexpr double mean_service_ms = 40;

struct arrival
{
    time_point at;
    std::string account;
    std::string caller;
    std::uint32_t weight = 1;
    milliseconds service{0};
    bool small = false; // Of a caller that asks for little.
    bool flood = false;
};

/// What the simulation needs of a queue. `push` returns the ticket of a
/// request that is refused instead, if any.
struct queue_policy
{
    std::function<std::optional<std::uint64_t>(const queued_request&,
                                               std::uint32_t, time_point)>
        push;
    std::function<std::optional<queued_request>(time_point)> pop;
    std::function<void(const arrival&)> learn;
};

struct result
{
    double others_answered = 0; // Share of the requests that are no flood.
    double small_p95_ms = 0;
};

queue_policy fair(fair_queue& queue)
{
    queue_policy policy;
    policy.push = [&queue](const queued_request& request, std::uint32_t weight,
                           time_point now) -> std::optional<std::uint64_t>
    {
        const auto outcome = queue.push(request, weight, now, slots);
        return outcome.accepted ? outcome.displaced
                                : std::make_optional(request.ticket);
    };
    policy.pop = [&queue](time_point now)
    {
        queue.expire(now);
        return queue.pop();
    };
    policy.learn = [&queue](const arrival& done)
    {
        queue.learn(done.account, done.caller, done.service);
    };
    return policy;
}

/// Baseline: first come first served over shared slots, with the same length
/// and deadlines.
queue_policy shared(std::deque<queued_request>& queue)
{
    queue_policy policy;
    policy.push = [&queue](const queued_request& request, std::uint32_t,
                           time_point) -> std::optional<std::uint64_t>
    {
        if (queue.size() >= queue_length)
        {
            return request.ticket;
        }
        queue.push_back(request);
        return std::nullopt;
    };
    policy.pop = [&queue](time_point now) -> std::optional<queued_request>
    {
        while (!queue.empty())
        {
            const auto first = queue.front();
            queue.pop_front();
            if (first.deadline >= now)
            {
                return first;
            }
        }
        return std::nullopt;
    };
    policy.learn = [](const arrival&) {};
    return policy;
}

class simulation
{
public:
    simulation(std::vector<arrival> arrivals, queue_policy policy)
        : arrivals_(std::move(arrivals))
        , policy_(std::move(policy))
        , latency_ms_(arrivals_.size(), -1)
    {
    }

    result run();

private:
    using completion = std::pair<time_point, std::size_t>;

    void start_waiting(time_point now);
    void finish_until(time_point now);
    result summarize() const;

    const std::vector<arrival> arrivals_;
    const queue_policy policy_;
    std::vector<double> latency_ms_; // Below 0: not answered in time.
    std::priority_queue<completion, std::vector<completion>, std::greater<>>
        running_;
};

void simulation::start_waiting(time_point now)
{
    while (running_.size() < slots)
    {
        const auto next = policy_.pop(now);
        if (!next)
        {
            return;
        }
        const auto index = static_cast<std::size_t>(next->ticket);
        running_.emplace(now + arrivals_[index].service, index);
    }
}

void simulation::finish_until(time_point now)
{
    while (!running_.empty() && running_.top().first <= now)
    {
        const auto [at, index] = running_.top();
        running_.pop();
        const auto& done = arrivals_[index];
        policy_.learn(done);
        if (at - done.at <= deadline)
        {
            latency_ms_[index] = static_cast<double>((at - done.at).count());
        }
        start_waiting(at);
    }
}

result simulation::summarize() const
{
    double others = 0;
    double answered = 0;
    std::vector<double> small;
    for (std::size_t i = 0; i < arrivals_.size(); ++i)
    {
        const bool in_time = latency_ms_[i] >= 0;
        if (!arrivals_[i].flood)
        {
            others += 1;
            answered += in_time ? 1 : 0;
        }
        if (arrivals_[i].small)
        {
            // A request that was refused or late waited for nothing.
            small.push_back(in_time ? latency_ms_[i]
                                    : static_cast<double>(deadline.count()));
        }
    }
    std::sort(small.begin(), small.end());
    result summary;
    summary.others_answered = answered / others;
    summary.small_p95_ms =
        small[static_cast<std::size_t>(0.95 * double(small.size() - 1))];
    return summary;
}

result simulation::run()
{
    for (std::size_t i = 0; i < arrivals_.size(); ++i)
    {
        const auto& next = arrivals_[i];
        finish_until(next.at);
        const queued_request request{i, next.account, next.caller,
                                     next.at + deadline};
        policy_.push(request, next.weight, next.at);
        start_waiting(next.at);
    }
    finish_until(time_point::max() - deadline);
    return summarize();
}

struct source
{
    std::string account;
    std::uint32_t weight = 1;
    int callers = 1;
    double rate_per_s = 0; // Of all callers together.
    bool small = false;
    bool flood = false;
    milliseconds begin{0};
    milliseconds end = run_length;
    double service_factor = 1;
};

std::vector<arrival> arrivals_of(const std::vector<source>& sources,
                                 unsigned seed)
{
    std::vector<arrival> all;
    std::mt19937 random(seed);
    for (const auto& from : sources)
    {
        std::exponential_distribution<double> gap(from.rate_per_s / 1000);
        std::exponential_distribution<double> service(
            1 / (mean_service_ms * from.service_factor));
        for (double at = static_cast<double>(from.begin.count()) + gap(random);
             at < static_cast<double>(from.end.count()); at += gap(random))
        {
            arrival next;
            next.at = time_point(milliseconds(static_cast<std::int64_t>(at)));
            next.account = from.account;
            next.caller =
                from.account + (from.small ? "-s" : "-l") +
                std::to_string(random() % static_cast<unsigned>(from.callers));
            next.weight = from.weight;
            next.service =
                milliseconds(1 + static_cast<std::int64_t>(service(random)));
            next.small = from.small;
            next.flood = from.flood;
            all.push_back(next);
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const arrival& a, const arrival& b)
                     {
                         return a.at < b.at;
                     });
    return all;
}

// Four accounts, two of them large; the queue at the window is made of small
// callers. The sum is 60% of what the slots can serve.
std::vector<source> usual_load(const std::string& profile)
{
    const double capacity = 1000 * slots / mean_service_ms;
    // Addis has more small callers, Sitnis larger requests in fewer hands.
    const double small_share = profile == "addis" ? 0.4 : 0.2;
    const double total = 0.6 * capacity;
    std::vector<source> sources;
    const std::vector<std::pair<std::string, double>> accounts = {
        {"a", 0.4}, {"b", 0.3}, {"c", 0.2}, {"d", 0.1}};
    for (const auto& [name, share] : accounts)
    {
        const std::uint32_t weight = share >= 0.3 ? 4 : 1;
        sources.push_back(
            {name, weight, 40, total * share * small_share, true});
        sources.push_back(
            {name, weight, 3, total * share * (1 - small_share), false});
    }
    return sources;
}

std::vector<source> scenario_load(const std::string& profile,
                                  const std::string& scenario)
{
    const double capacity = 1000 * slots / mean_service_ms;
    auto sources = usual_load(profile);
    const milliseconds begin{10000};
    const milliseconds end{50000};
    if (scenario == "account_flood")
    {
        sources.push_back({"d", 1, 4, 5 * capacity, false, true, begin, end});
    }
    else if (scenario == "large_caller")
    {
        sources.push_back({"a", 4, 1, 2 * capacity, false, true, begin, end});
    }
    else if (scenario == "slow_flood")
    {
        // Each request takes ten times as long as the others'.
        sources.push_back(
            {"d", 1, 4, 0.5 * capacity, false, true, begin, end, 10});
    }
    return sources;
}

void print(const char* measure, const std::string& profile,
           const std::string& scenario, double policy, double baseline)
{
    std::printf("measure=%s profile=%s scenario=%s policy=%.4g baseline=%.4g "
                "ratio=%.3f against=shared_slots\n",
                measure, profile.c_str(), scenario.c_str(), policy, baseline,
                baseline == 0 ? 0 : policy / baseline);
}

void compare(const std::string& profile, const std::string& scenario)
{
    static constexpr int seeds = 3;
    result policy;
    result baseline;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        const auto arrivals =
            arrivals_of(scenario_load(profile, scenario), seed);
        fair_queue fair_state(queue_length);
        std::deque<queued_request> shared_state;
        const auto with = simulation(arrivals, fair(fair_state)).run();
        const auto without = simulation(arrivals, shared(shared_state)).run();
        policy.others_answered += with.others_answered / seeds;
        policy.small_p95_ms += with.small_p95_ms / seeds;
        baseline.others_answered += without.others_answered / seeds;
        baseline.small_p95_ms += without.small_p95_ms / seeds;
    }
    print("flood_retained", profile, scenario, policy.others_answered,
          baseline.others_answered);
    print("small_caller_latency", profile, scenario, policy.small_p95_ms,
          baseline.small_p95_ms);
}

// Times one push and one pop on a full queue of as many callers as workers.
void time_decisions(int workers, int accounts)
{
    static constexpr int rounds = 20000;
    fair_queue queue(queue_length);
    std::mt19937 random(1);
    std::uint64_t ticket = 0;
    const auto next = [&]
    {
        const auto caller = random() % static_cast<unsigned>(workers);
        return queued_request{
            ++ticket,
            "account-" +
                std::to_string(caller % static_cast<unsigned>(accounts)),
            "caller-" + std::to_string(caller), time_point(deadline * 1000)};
    };
    while (queue.size() < queue_length)
    {
        queue.push(next(), 1, time_point(), 0);
    }
    std::vector<double> samples;
    samples.reserve(rounds);
    for (int i = 0; i < rounds; ++i)
    {
        const auto request = next();
        const auto begin = std::chrono::steady_clock::now();
        queue.push(request, 1, time_point(), 0);
        queue.pop();
        samples.push_back(std::chrono::duration<double, std::nano>(
                              std::chrono::steady_clock::now() - begin)
                              .count());
        while (queue.size() < queue_length)
        {
            queue.push(next(), 1, time_point(), 0);
        }
    }
    std::nth_element(samples.begin(), samples.begin() + rounds / 2,
                     samples.end());
    std::printf("decision_cost workers=%d ns=%.0f kind=admission\n", workers,
                samples[rounds / 2]);
}

} // namespace

int main()
{
    time_decisions(50, 4);
    time_decisions(500, 40);
    time_decisions(2400, 190);
    for (const std::string profile : {"addis", "sitnis"})
    {
        for (const std::string scenario :
             {"steady", "account_flood", "large_caller", "slow_flood"})
        {
            compare(profile, scenario);
        }
    }
    return 0;
}
