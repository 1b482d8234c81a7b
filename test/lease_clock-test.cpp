#include "coordination/fleet/lease_clock.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

// The time of the first reading on this host's clock.
const time_point start{milliseconds(50000)};

// Guards against an expiry time that is made up before the worker's clock has
// been read and any lease was granted.
TEST(lease_clock, no_expiry_without_reading_and_grant)
{
    const lease_clock clock(0.02, milliseconds(6000));
    EXPECT_FALSE(clock.has_reading());
    EXPECT_FALSE(clock.expiry_time());
}

// Guards against a lease that counts as expired while it is still valid on a
// slow worker clock: 6000 ms take up to 6122 ms at a drift of 2 percent.
TEST(lease_clock, expiry_assumes_the_slowest_clock)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.sample(1000, start);
    clock.grant(clock.worker_time(start) + 6000);
    ASSERT_TRUE(clock.expiry_time());
    EXPECT_GE(*clock.expiry_time() - start, milliseconds(6122));
    EXPECT_LE(*clock.expiry_time() - start, milliseconds(6300));
}

// Guards against a lease that never counts as expired because each reading of
// the worker's clock puts the expiry off by the margin.
TEST(lease_clock, readings_in_quick_succession_do_not_put_off_the_expiry)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.sample(1000, start);
    clock.grant(2000);
    for (int ms = 50; ms <= 1150; ms += 50)
    {
        clock.sample(1000 + ms, start + milliseconds(ms));
    }
    ASSERT_TRUE(clock.expiry_time());
    EXPECT_GE(*clock.expiry_time() - start, milliseconds(1000));
    EXPECT_LE(*clock.expiry_time() - start, milliseconds(1150));
}

// Guards against a delayed answer that sets the worker's clock back.
TEST(lease_clock, older_reading_is_ignored)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.sample(5000, start);
    clock.sample(4000, start + milliseconds(500));
    EXPECT_EQ(clock.worker_time(start + milliseconds(500)), 5490);
}

// Guards against a report that a partition delayed and that puts the expiry off
// by its delay, so that the runs of a crashed worker end late.
TEST(lease_clock, delayed_reading_does_not_put_off_the_expiry)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.sample(1000, start);
    clock.grant(7000);
    clock.sample(1500, start + milliseconds(5800));
    ASSERT_TRUE(clock.expiry_time());
    EXPECT_LE(*clock.expiry_time() - start, milliseconds(6300));
    EXPECT_GE(*clock.expiry_time() - start, milliseconds(6122));
}

// Guards against leases that grow because the readings of a slow clock are
// taken for delayed ones.
TEST(lease_clock, slow_clock_is_followed)
{
    lease_clock clock(0.02, milliseconds(6000));
    for (int ms = 0; ms <= 600000; ms += 500)
    {
        clock.sample(1000 + ms * 98 / 100, start + milliseconds(ms));
    }
    const auto now = start + milliseconds(600000);
    EXPECT_LE(clock.worker_time(now), 1000 + 588000 + 10);
    clock.grant(clock.worker_time(now) + 6000);
    EXPECT_LE(*clock.expiry_time() - now, milliseconds(6300));
}

// Guards against a new leader that ends runs while a lease that the earlier
// leader granted may still be valid.
TEST(lease_clock, inherited_lease_counts_from_the_takeover)
{
    lease_clock clock(0.02, milliseconds(6000));
    clock.inherit_leases(start);
    ASSERT_TRUE(clock.expiry_time());
    EXPECT_GE(*clock.expiry_time() - start, milliseconds(6122));
}

} // namespace
} // namespace limpetstack::fleet
