#include "bench/placement/arrivals.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace limpetstack::bench
{
namespace
{

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

} // namespace

std::string class_of(const queued_job& job)
{
    if (job.id.front() == 'f')
    {
        return "flood";
    }
    const auto size = job.shape.members * job.shape.each.accelerators;
    return size >= 24 ? "large" : size <= 2 ? "small" : "medium";
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

gang_shape gang(std::uint32_t members, std::uint32_t accelerators,
                adjacency placement)
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

} // namespace limpetstack::bench
