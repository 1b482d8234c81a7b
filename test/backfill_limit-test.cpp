// Guards against waiting gangs that less urgent work passes, and against queues
// that get nothing while more urgent work waits.
#include "coordination/fleet/backfill_limit.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace limpetstack::fleet;

const resource_amounts service_capacity{240000, 24000, 240};
const resource_amounts subtask{1000, 100, 1};
const resource_amounts no_headroom{};

// More subtasks than any reserve allows.
constexpr std::uint32_t all_subtasks = 100;

class backfill_limit_test : public ::testing::Test
{
protected:
    backfill_limit_test() { limit.begin_round(service_capacity); }

    // Returns how many subtasks of the priority the reserves allow when the
    // capacity for `free` of them is free.
    std::uint32_t count_allowed(std::int64_t priority, std::int64_t free)
    {
        return limit.count_allowed(priority, subtask * free, no_headroom,
                                   subtask, all_subtasks);
    }

    backfill_limit limit;
};

// Guards against subtasks of a less urgent queue that take what a gang waits
// for.
TEST_F(backfill_limit_test, less_urgent_work_leaves_the_need_of_gangs_free)
{
    limit.add_used(2, subtask * 100);
    limit.add_waiting_gang(1, subtask * 12);
    EXPECT_EQ(count_allowed(2, 20), 8U);
    EXPECT_EQ(count_allowed(2, 12), 0U);
    EXPECT_EQ(count_allowed(1, 20), all_subtasks);
    EXPECT_EQ(count_allowed(0, 20), all_subtasks);
}

// Guards against a service that stays idle because many gangs wait.
TEST_F(backfill_limit_test, gangs_reserve_at_most_an_eighth_of_the_capacity)
{
    limit.add_used(3, subtask * 100);
    for (int i = 0; i < 10; ++i)
    {
        limit.add_waiting_gang(1, subtask * 12);
        limit.add_waiting_gang(2, subtask * 12);
    }
    EXPECT_TRUE(limit.is_gang_reserve_full(1));
    EXPECT_FALSE(limit.is_gang_reserve_full(3));
    EXPECT_EQ(count_allowed(3, 40), 10U);
}

// Guards against a less urgent queue that gets nothing while gangs of a more
// urgent one wait.
TEST_F(backfill_limit_test, work_within_its_share_does_not_wait_for_gangs)
{
    limit.add_waiting_gang(1, subtask * 30);
    limit.add_used(2, subtask * 35);
    EXPECT_EQ(count_allowed(2, 20), 5U);
    limit.add_used(2, subtask * 5);
    EXPECT_EQ(count_allowed(2, 20), 0U);
}

// Guards against a more urgent queue that takes all that becomes free.
TEST_F(backfill_limit_test, work_leaves_the_shares_of_waiting_queues_free)
{
    limit.add_used(1, subtask * 60);
    limit.add_used(2, subtask * 30);
    EXPECT_EQ(count_allowed(1, 20), all_subtasks);
    limit.add_waiting(2, subtask, 4, false);
    EXPECT_EQ(count_allowed(1, 20), 16U);
    limit.add_waiting(2, subtask, 20, false);
    EXPECT_EQ(count_allowed(1, 20), 10U);
    limit.add_used(2, subtask * 10);
    EXPECT_EQ(count_allowed(1, 20), all_subtasks);
}

// Guards against capacity that is left free for work that never starts in it.
TEST_F(backfill_limit_test, share_is_not_kept_for_work_that_exceeds_it)
{
    limit.add_used(2, subtask * 30);
    limit.add_waiting(2, subtask * 12, 1, false);
    limit.add_waiting(2, subtask * 4, 3, true);
    EXPECT_EQ(limit.reserved_for_shares(1), resource_amounts{});
    limit.add_waiting(2, subtask * 4, 3, false);
    EXPECT_EQ(limit.reserved_for_shares(1), subtask * 8);
}

// Guards against many queues whose shares leave no capacity for the others.
TEST_F(backfill_limit_test, shares_reserve_at_most_a_quarter_of_the_capacity)
{
    limit.add_used(1, subtask * 60);
    for (const auto priority : {2, 3, 4, 5, 6})
    {
        limit.add_waiting(priority, subtask, 100, false);
    }
    EXPECT_EQ(limit.reserved_for_shares(1), service_capacity / 4);
}

// Guards against reserves that take the place of the headroom for urgent work.
TEST_F(backfill_limit_test, headroom_comes_on_top_of_the_reserves)
{
    limit.add_used(2, subtask * 100);
    limit.add_waiting_gang(1, subtask * 10);
    EXPECT_EQ(limit.count_allowed(2, subtask * 30, subtask * 15, subtask,
                                  all_subtasks),
              5U);
    limit.begin_round(service_capacity);
    EXPECT_EQ(limit.count_allowed(2, subtask * 10, subtask * 15, subtask,
                                  all_subtasks),
              0U);
}

// Guards against less urgent work that counts free capacity on held workers.
TEST_F(backfill_limit_test, held_capacity_is_left_free_beyond_the_gang_reserve)
{
    limit.add_used(2, subtask * 100);
    limit.add_held(1, subtask * 60);
    EXPECT_EQ(count_allowed(2, 70), 10U);
    EXPECT_EQ(count_allowed(1, 70), all_subtasks);
}

} // namespace
