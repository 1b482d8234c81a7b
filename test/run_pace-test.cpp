#include "coordination/fleet/run_pace.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

const time_point start{milliseconds(1000)};

// Guards against orders to fillers whose pace need not change.
TEST(run_pace, full_pace_needs_no_order)
{
    EXPECT_FALSE(is_pace_due(run_pace(), 100, start + milliseconds(60000)));
    EXPECT_TRUE(is_pace_due(run_pace(), 20, start));
}

// Guards against a second order while one is open, and against a pace that a
// late order has changed and that nobody corrects.
TEST(run_pace, lower_pace_is_sent_again)
{
    auto pace = pace_sent(run_pace(), 20, start);
    EXPECT_FALSE(is_pace_due(pace, 10, start + milliseconds(5000)));
    pace = pace_accepted(pace, start);
    EXPECT_EQ(pace.accepted, 20);
    EXPECT_FALSE(is_pace_due(pace, 20, start + milliseconds(1900)));
    EXPECT_TRUE(is_pace_due(pace, 20, start + milliseconds(2000)));
}

// Guards against a filler that an unanswered order slows down after the full
// pace was accepted.
TEST(run_pace, full_pace_is_sent_again_after_an_unanswered_order)
{
    auto pace = pace_failed(pace_sent(run_pace(), 0, start), false, start);
    EXPECT_FALSE(pace.accepted);
    const auto later = start + milliseconds(1000);
    pace = pace_accepted(pace_sent(pace, 100, later), later);
    EXPECT_TRUE(is_pace_due(pace, 100, later + milliseconds(2000)));
    const auto over = start + milliseconds(15000);
    pace = pace_accepted(pace_sent(pace, 100, over), over);
    EXPECT_FALSE(is_pace_due(pace, 100, over + milliseconds(2000)));
}

// Guards against a stream of orders to a worker that refuses them.
TEST(run_pace, refused_orders_are_repeated_less_often)
{
    run_pace pace;
    auto now = start;
    int orders = 0;
    for (; now < start + milliseconds(24000); now += milliseconds(10))
    {
        if (is_pace_due(pace, 20, now))
        {
            ++orders;
            pace = pace_failed(pace_sent(pace, 20, now), true, now);
        }
    }
    EXPECT_LE(orders, 15);
    EXPECT_GE(orders, 10);
}

} // namespace
} // namespace limpetstack::fleet
