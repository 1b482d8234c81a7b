#include "coordination/gang.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

constexpr milliseconds lease{3000};

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

// Guards against a second attempt that starts while a member may still run:
// an unanswered renewal can be carried out late.
TEST(gang, unanswered_calls_count_until_they_can_not_matter)
{
    gang_member m;
    expect_extension(m, lease, at(1000));
    EXPECT_EQ(m.lapse, at(4000));
    confirm_extension(m, lease, at(1000), at(1010));
    EXPECT_EQ(m.lapse, at(4010));
    expect_extension(m, lease, at(2000));
    miss_extension(m, lease, lease, at(2000));
    EXPECT_EQ(m.lapse, at(8000));
    confirm_extension(m, lease, at(2500), at(2510));
    EXPECT_EQ(m.lapse, at(8000));
    EXPECT_EQ(m.seen, at(2500));
}

// Guards against a gang that counts as stopped before the owner before this
// one can no longer renew it.
TEST(gang, stopped_needs_every_member_and_a_fence)
{
    gang g;
    g.members.resize(2);
    g.members[0].ended = true;
    g.members[1].lapse = at(5000);
    EXPECT_FALSE(certainly_stopped(g, at(4999)));
    EXPECT_TRUE(certainly_stopped(g, at(5000)));
    g.fenced = false;
    EXPECT_FALSE(certainly_stopped(g, at(5000)));
    g.members[1].ended = true;
    EXPECT_TRUE(certainly_stopped(g, at(5000)));
}

// Guards against progress that one member has not saved.
TEST(gang, progress_is_that_of_the_slowest_member)
{
    gang g;
    g.members.resize(2);
    g.members[0].done = true;
    g.members[1].progress = 0.4;
    EXPECT_EQ(gang_progress(g), 0.4);
    g.record.set_progress(0.5);
    EXPECT_EQ(gang_progress(g), 0.5);
}

// Guards against several calls to one worker where one is enough.
TEST(gang, members_on_one_worker_share_a_call)
{
    gang g;
    g.members.resize(3);
    g.members[0].worker = g.members[2].worker = "w1";
    g.members[1].worker = "w2";
    call_batch batch;
    for (std::size_t i = 0; i < 3; ++i)
    {
        batch.add(g, i, 1, lease);
    }
    EXPECT_EQ(batch.calls().size(), 2U);
    batch.add(g, 1, 1, lease / 2);
    EXPECT_EQ(batch.calls().size(), 3U);
}

} // namespace
} // namespace limpetstack
