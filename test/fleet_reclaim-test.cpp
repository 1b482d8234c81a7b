// Runs urgent jobs of accounts that are inside their guarantee while others
// submit more than theirs, on a service that is full of less urgent work. Each
// job inside its guarantee must start within the reclaim limit.
#include "support/reclaim_history.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

class fleet_reclaim : public ::testing::TestWithParam<unsigned>
{
protected:
    static void run_history(const reclaim_options& options)
    {
        reclaim_history history(GetParam(), options);
        history.run(milliseconds(30000));
        for (const auto& late : history.late_jobs)
        {
            ADD_FAILURE() << late.job << " starts late, " << late.cause << ": "
                          << late.details;
        }
        for (const auto& violation : history.workers.violations)
        {
            ADD_FAILURE() << violation;
        }
        EXPECT_GT(history.jobs_in_time, 5U);
    }
};

// Guards against gangs of whole workers that start late because long urgent
// subtasks of other accounts are on most workers.
TEST_P(fleet_reclaim, long_runs)
{
    reclaim_options options;
    options.stop_time = milliseconds(800);
    options.flood_share = 0;
    options.estimate_ms = 16000;
    run_history(options);
}

// Guards against urgent jobs that start late when many accounts submit at once.
TEST_P(fleet_reclaim, waves)
{
    reclaim_options options;
    options.flood_share = 0;
    options.estimate_ms = 8000;
    options.wave = milliseconds(4000);
    run_history(options);
}

// Guards against urgent jobs that start late after guarantees have changed
// while other accounts are above theirs.
TEST_P(fleet_reclaim, guarantees_change)
{
    reclaim_options options;
    options.change_guarantees = true;
    run_history(options);
}

// Guards against urgent jobs that start late in a small fleet with lasting
// runs.
TEST_P(fleet_reclaim, small_fleet)
{
    reclaim_options options;
    options.workers = 24;
    options.workers_in_rack = 6;
    options.accounts = 4;
    options.flood_share = 0.2;
    options.estimate_ms = 8000;
    options.lasting_accelerators = 12;
    run_history(options);
}

INSTANTIATE_TEST_SUITE_P(seeds, fleet_reclaim, ::testing::Range(1U, 41U));

} // namespace
} // namespace limpetstack::fleet
