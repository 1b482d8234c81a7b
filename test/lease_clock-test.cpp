#include "coordination/fleet/lease_clock.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

const time_point start{milliseconds(50000)};

TEST(lease_clock, unknown_worker_never_lapses)
{
    const lease_clock clock(0.02, milliseconds(6000));
    EXPECT_FALSE(clock.known());
    EXPECT_FALSE(clock.lapse_time());
}

// Guards against a lapse that is assumed while a slow clock still runs.
TEST(lease_clock, lapse_waits_for_the_slowest_clock)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.sample(1000, start);
    clock.grant(clock.worker_time(start) + 6000);
    ASSERT_TRUE(clock.lapse_time());
    EXPECT_GE(*clock.lapse_time() - start, milliseconds(6122));
    EXPECT_LE(*clock.lapse_time() - start, milliseconds(6300));
}

// Guards against a late answer that sets the clock back.
TEST(lease_clock, older_reading_is_ignored)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.sample(5000, start);
    clock.sample(4000, start + milliseconds(500));
    EXPECT_EQ(clock.worker_time(start + milliseconds(500)), 5500);
}

// Guards against runs of an earlier leader that are taken for lapsed too soon.
TEST(lease_clock, inherited_lease_counts_from_the_takeover)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.inherit(start);
    ASSERT_TRUE(clock.lapse_time());
    EXPECT_GE(*clock.lapse_time() - start, milliseconds(6122));
}

} // namespace
} // namespace limpetstack::fleet
