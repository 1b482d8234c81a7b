// Guards against urgent work that finds no free capacity shortly after other
// urgent work, and against capacity that stays unused after urgent work has
// ceased.
#include "coordination/fleet/urgent_headroom.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace limpetstack;
using namespace limpetstack::fleet;

constexpr milliseconds window{1000};
const time_point start{};
const resource_amounts service_capacity{100000, 10000, 100};

// Guards against headroom that differs from what urgent work took in the
// window.
TEST(urgent_headroom, equals_what_urgent_work_took_within_the_window)
{
    urgent_headroom headroom(window);
    headroom.record({1000, 100, 4}, start);
    headroom.record({1000, 100, 4}, start + milliseconds(600));
    headroom.refresh(service_capacity, start + milliseconds(900));
    EXPECT_EQ(headroom.count_allowed({9000, 900, 10}, {500, 10, 1}, 6), 2U);
    headroom.refresh(service_capacity, start + milliseconds(1000));
    EXPECT_EQ(headroom.count_allowed({9000, 900, 10}, {500, 10, 1}, 6), 6U);
    EXPECT_EQ(headroom.count_allowed({1400, 900, 10}, {500, 10, 1}, 6), 0U);
}

// Guards against limits on other work when there was no recent urgent work.
TEST(urgent_headroom, is_empty_without_urgent_work)
{
    urgent_headroom headroom(window);
    EXPECT_EQ(headroom.count_allowed({0, 0, 0}, {500, 10, 1}, 6), 6U);
    headroom.record({1000, 100, 4}, start);
    headroom.refresh(service_capacity, start + window);
    EXPECT_EQ(headroom.count_allowed({0, 0, 0}, {500, 10, 1}, 6), 6U);
}

// Guards against work that waits because of a resource that urgent work does
// not use.
TEST(urgent_headroom, resources_that_urgent_work_does_not_use_are_not_limited)
{
    urgent_headroom headroom(window);
    headroom.record({1000, 100, 0}, start);
    headroom.refresh(service_capacity, start);
    EXPECT_EQ(headroom.count_allowed({9000, 900, 0}, {500, 10, 1}, 3), 3U);
    EXPECT_EQ(headroom.count_allowed({900, 900, 8}, {500, 10, 1}, 3), 0U);
}

// Guards against work that waits although half of the service's capacity is
// free.
TEST(urgent_headroom, is_at_most_a_quarter_of_the_capacity)
{
    urgent_headroom headroom(window);
    headroom.record({1000, 100, 90}, start);
    headroom.refresh(service_capacity, start);
    EXPECT_EQ(headroom.count_allowed({90000, 9000, 50}, {500, 10, 25}, 2), 1U);
}

} // namespace
