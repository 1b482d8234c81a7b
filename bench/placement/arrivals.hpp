#pragma once

#include "coordination/job_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace limpetstack::bench
{

constexpr int workers_per_rack = 6;
constexpr std::uint32_t worker_accelerators = 8;
constexpr resources worker_total{worker_accelerators, 32, 128 << 10};

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

/// Returns `flood`, or `large`, `medium` or `small` by the job's accelerators.
std::string class_of(const queued_job& job);

/// Puts the workers of `racks` racks.
void add_fleet(const std::function<void(const worker_capacity&)>& put,
               int racks);

/// Returns one data centre of 2 racks with four accounts.
profile make_profile(const std::string& name,
                     const std::vector<std::uint32_t>& weights,
                     std::uint32_t guaranteed_members);

gang_shape gang(std::uint32_t members, std::uint32_t accelerators,
                adjacency placement = adjacency::any);

/// Returns a day of jobs in the order of their arrival.
std::vector<arrival> arrivals_of(const std::string& scenario,
                                 std::uint64_t seed);

} // namespace limpetstack::bench
