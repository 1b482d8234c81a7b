#include "coordination/run_time_estimator.hpp"

#include <gtest/gtest.h>

#include <random>

namespace limpetstack
{
namespace
{

// Guards against backfill that trusts declared times which are ten times too
// short, and that never ends when none are declared.
TEST(run_time_estimator, learns_how_far_declared_times_are_off)
{
    run_time_estimator times;
    EXPECT_EQ(times.estimate("s", milliseconds(100)), milliseconds(1000));
    EXPECT_GE(times.estimate("s", milliseconds(0)), milliseconds(3600 * 1000));
    std::mt19937_64 random(1);
    std::lognormal_distribution<> error(0, 0.3);
    int exceeded = 0;
    for (int i = 1; i <= 500; ++i)
    {
        const milliseconds declared(1000 * (1 + i % 7));
        const milliseconds actual(static_cast<std::int64_t>(
            10 * static_cast<double>(declared.count()) * error(random)));
        exceeded += actual > times.estimate("s", declared) ? 1 : 0;
        times.record("s", declared, actual);
    }
    EXPECT_LT(exceeded, 100);
    EXPECT_LT(times.estimate("s", milliseconds(1000)), milliseconds(20000));
    EXPECT_GT(times.estimate("s", milliseconds(1000)), milliseconds(10000));
    EXPECT_EQ(times.estimate("other", milliseconds(100)), milliseconds(1000));
}

} // namespace
} // namespace limpetstack
