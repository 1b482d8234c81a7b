#include "coordination/fleet/run_progress.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

const time_point start{milliseconds(1000000)};

// A run that was listed at the given percent, last rose `progressed_ms` and was
// last listed `listed_ms` after its start.
run_progress run_at(int percent, int progressed_ms, int listed_ms,
                    int estimate_ms = 5000)
{
    return {percent, start, start + milliseconds(progressed_ms),
            start + milliseconds(listed_ms), milliseconds(estimate_ms)};
}

std::vector<std::size_t> indices(std::initializer_list<std::size_t> values)
{
    return values;
}

// Guards against stopping gangs whose members have done their own part and
// wait for a subtask that takes several times as long.
TEST(run_progress, finished_members_wait_for_the_slowest)
{
    EXPECT_TRUE(
        stalled_members({run_at(100, 4000, 30000), run_at(100, 3000, 30000),
                         run_at(70, 29500, 30000)})
            .empty());
}

// Guards against blaming the healthy members of a gang of which one hangs.
TEST(run_progress, finds_the_unfinished_member_that_hangs)
{
    EXPECT_EQ(stalled_members({run_at(100, 4000, 9000), run_at(30, 1500, 9000),
                               run_at(80, 8900, 9000)}),
              indices({1}));
}

// Guards against a gang that never ends although all members list 100 percent.
TEST(run_progress, finds_a_gang_that_does_not_end)
{
    EXPECT_TRUE(
        stalled_members({run_at(100, 4000, 8900), run_at(100, 2000, 8900)})
            .empty());
    EXPECT_EQ(
        stalled_members({run_at(100, 4000, 9000), run_at(100, 2000, 9000)}),
        indices({0, 1}));
}

// Guards against blaming members that wait for one on a worker which does not
// answer: that one ends with its lease.
TEST(run_progress, finished_members_wait_for_one_that_is_not_listed)
{
    EXPECT_TRUE(
        stalled_members({run_at(100, 4000, 30000), run_at(100, 4000, 4000)})
            .empty());
}

TEST(run_progress, finds_a_single_run_that_hangs_at_any_percent)
{
    for (const int percent : {0, 1, 50, 99, 100})
    {
        EXPECT_EQ(stalled_members({run_at(percent, 100, 5100)}), indices({0}));
    }
}

// Guards against stopping subtasks that take seven times their estimate, on
// workers of 0.6 times the usual speed, while the estimate itself is half of
// the run time.
TEST(run_progress, slow_runs_on_slow_workers_are_not_stalled)
{
    for (const int estimate_ms : {1000, 2000, 8000, 60000})
    {
        const int run_ms = estimate_ms * 2 * 7 * 10 / 6;
        int progressed_ms = 0;
        int percent = 0;
        for (int now_ms = 500; now_ms < run_ms; now_ms += 500)
        {
            EXPECT_TRUE(stalled_members({run_at(percent, progressed_ms, now_ms,
                                                estimate_ms)})
                            .empty());
            const int next = static_cast<int>(100LL * now_ms / run_ms);
            progressed_ms = next > percent ? now_ms : progressed_ms;
            percent = std::max(percent, next);
        }
    }
}

// Guards against stopping runs whose worker answers nothing: they end with
// their lease.
TEST(run_progress, runs_that_are_not_listed_are_not_stalled)
{
    EXPECT_TRUE(stalled_members({run_at(40, 3000, 3000)}).empty());
}

// A gang with a member that progresses is stalled only in members that hang
// themselves, whatever the others list.
RC_GTEST_PROP(run_progress, members_that_progress_are_never_stalled, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 20);
    std::vector<run_progress> members;
    for (std::size_t i = 0; i < size; ++i)
    {
        const auto listed = *rc::gen::inRange(0, 60000);
        members.push_back(run_at(*rc::gen::inRange(0, 101),
                                 *rc::gen::inRange(0, listed + 1), listed,
                                 *rc::gen::inRange(0, 60000)));
    }
    for (const auto index : stalled_members(members))
    {
        const auto& run = members[index];
        RC_ASSERT(run.listed_at - run.progressed_at >= milliseconds(5000));
    }
    const bool unfinished = std::any_of(members.begin(), members.end(),
                                        [](const run_progress& run)
                                        {
                                            return run.percent < 100;
                                        });
    for (const auto index : stalled_members(members))
    {
        RC_ASSERT(!unfinished || members[index].percent < 100);
    }
}

} // namespace
} // namespace limpetstack::fleet
