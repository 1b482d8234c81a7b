#pragma once

#include "base/metrics.hpp"
#include "coordination/gang_coordinator.hpp"
#include "support/job_test_bed.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::test
{

constexpr milliseconds step{50};
constexpr milliseconds lease{3000};

inline gang_timing gang_test_timing()
{
    gang_timing timing;
    timing.lease = lease;
    timing.parallel_calls = 1;
    return timing;
}

/// One owner at a time on a fleet of two racks of three workers.
struct gang_bed
{
    explicit gang_bed(std::uint64_t seed = 1,
                      std::vector<guaranteed_shape> guarantees = {})
        : fleet(timers, seed)
        , config(std::make_shared<document>(
              two_accounts(2, 3, 8, std::move(guarantees))))
    {
        fleet.add_racks(2, 3, 8);
        open();
    }

    void open()
    {
        journals.push_back(std::make_unique<fake_journal>(store, store.epoch));
        views.push_back(std::make_unique<fleet_view>(fleet));
        views.back()->cut_off = cut_off;
        owners.push_back(std::make_unique<gang_coordinator>(
            "dc1", *journals.back(), *views.back(),
            [this]
            {
                return fleet.live();
            },
            [this]
            {
                return config;
            },
            timers, counters, gang_test_timing(),
            [this]
            {
                return evacuated();
            }));
        owners.back()->start();
        run(milliseconds(200));
    }

    void run(milliseconds time)
    {
        for (auto left = time; left.count() > 0; left -= step)
        {
            timers.advance(step);
            fleet.settle();
        }
    }

    wire::job_answer submit(const wire::job_submission& job)
    {
        members[job.id()] = job.spec().members();
        return owner().submit(job);
    }

    gang_coordinator& owner() { return *owners.back(); }

    std::string state(int number)
    {
        const auto found =
            store.jobs.find("job-dc1-1-" + std::to_string(number));
        return found == store.jobs.end() ? "none" : found->second.state();
    }

    std::string violation(milliseconds bound)
    {
        return gang_violation(fleet.history(), members, bound);
    }

    manual_timer_service timers;
    metrics counters;
    fake_fleet fleet;
    job_store store;
    std::shared_ptr<const document> config;
    std::map<std::string, std::uint32_t> members;
    std::function<bool()> evacuated = []
    {
        return false;
    };
    std::set<std::string> cut_off; // From the next owner.
    std::vector<std::unique_ptr<fake_journal>> journals;
    std::vector<std::unique_ptr<fleet_view>> views;
    std::vector<std::unique_ptr<gang_coordinator>> owners;
};

} // namespace limpetstack::test
