// Guards against urgent work that finds a full fleet although urgent work has
// just ended, and against room that stays empty after urgent work has ceased.
#include "coordination/fleet/urgent_headroom.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace limpetstack;
using namespace limpetstack::fleet;

constexpr milliseconds window{1000};
const time_point start{};
const resource_amounts fleet_capacity{100000, 10000, 100};

TEST(urgent_headroom, leaves_what_urgent_work_took_within_the_window)
{
    urgent_headroom headroom(window);
    headroom.note({1000, 100, 4}, start);
    headroom.note({1000, 100, 4}, start + milliseconds(600));
    headroom.refresh(fleet_capacity, start + milliseconds(900));
    EXPECT_EQ(headroom.allowed({9000, 900, 10}, {500, 10, 1}, 6), 2U);
    headroom.refresh(fleet_capacity, start + milliseconds(1000));
    EXPECT_EQ(headroom.allowed({9000, 900, 10}, {500, 10, 1}, 6), 6U);
    EXPECT_EQ(headroom.allowed({1400, 900, 10}, {500, 10, 1}, 6), 0U);
}

TEST(urgent_headroom, is_empty_without_urgent_work)
{
    urgent_headroom headroom(window);
    EXPECT_EQ(headroom.allowed({0, 0, 0}, {500, 10, 1}, 6), 6U);
    headroom.note({1000, 100, 4}, start);
    headroom.refresh(fleet_capacity, start + window);
    EXPECT_EQ(headroom.allowed({0, 0, 0}, {500, 10, 1}, 6), 6U);
}

TEST(urgent_headroom, resources_that_urgent_work_does_not_use_are_not_limited)
{
    urgent_headroom headroom(window);
    headroom.note({1000, 100, 0}, start);
    headroom.refresh(fleet_capacity, start);
    EXPECT_EQ(headroom.allowed({9000, 900, 0}, {500, 10, 1}, 3), 3U);
    EXPECT_EQ(headroom.allowed({900, 900, 8}, {500, 10, 1}, 3), 0U);
}

// Guards against work that waits although the fleet is half empty.
TEST(urgent_headroom, is_at_most_a_quarter_of_the_fleet)
{
    urgent_headroom headroom(window);
    headroom.note({1000, 100, 90}, start);
    headroom.refresh(fleet_capacity, start);
    EXPECT_EQ(headroom.allowed({90000, 9000, 50}, {500, 10, 25}, 2), 1U);
}

} // namespace
