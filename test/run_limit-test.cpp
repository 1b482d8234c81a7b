// Checks that subtasks which need nothing of their workers do not occupy the
// memory of the leader without a bound.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t max_runs = 100;

step_spec step_without_needs(std::uint32_t count, bool gang = false)
{
    auto step = make_step(count, 0, gang);
    step.clear_need();
    return step;
}

class run_limit : public ::testing::Test
{
protected:
    run_limit()
    {
        fixture.scheduler_options.max_live_runs = max_runs;
        fixture.start_leader();
        add_ready_worker(fixture, "w1", "r1");
    }

    std::size_t runs_of(const std::string& job) const
    {
        const auto& runs = fixture.workers->runs();
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(),
                          [&](const auto& item)
                          {
                              return item.second.ref.job() == job;
                          }));
    }

    void schedule_often()
    {
        for (int i = 0; i < 10; ++i)
        {
            fixture.schedule();
            accept_starts(fixture);
            fixture.advance(milliseconds(100));
        }
    }

    fleet_fixture fixture;
};

// Guards against one job of many subtasks without needs that all run at once.
TEST_F(run_limit, one_account_leaves_runs_for_others)
{
    fixture.submit("flood", step_without_needs(20000), "normal", "flooding");
    schedule_often();
    EXPECT_GE(runs_of("flood"), 70U);
    EXPECT_LE(runs_of("flood"), 80U);
    fixture.submit("ordinary", step_without_needs(5), "normal", "ordinary");
    schedule_often();
    EXPECT_EQ(runs_of("ordinary"), 5U);
}

TEST_F(run_limit, many_accounts_stay_within_the_limit)
{
    for (int i = 0; i < 30; ++i)
    {
        const auto name = "flood" + std::to_string(i);
        fixture.submit(name, step_without_needs(1000), "normal", name);
    }
    schedule_often();
    EXPECT_LE(fixture.workers->runs().size(), max_runs);
    EXPECT_GE(fixture.workers->runs().size(), max_runs / 2);
}

// Guards against a part of a gang that starts alone.
TEST_F(run_limit, gang_is_placed_whole_or_not_at_all)
{
    fixture.submit("flood", step_without_needs(60), "normal", "flooding");
    schedule_often();
    fixture.submit("gang", step_without_needs(50, true), "normal", "ordinary");
    schedule_often();
    EXPECT_EQ(runs_of("gang"), 0U);
    fixture.submit("fitting", step_without_needs(20, true), "normal",
                   "ordinary");
    schedule_often();
    EXPECT_EQ(runs_of("fitting"), 20U);
}

// Guards against runs that are refused a place after earlier ones have ended.
TEST_F(run_limit, ended_runs_make_room)
{
    fixture.submit("flood", step_without_needs(200), "normal", "flooding");
    schedule_often();
    const auto first = runs_of("flood");
    for (std::uint32_t index = 0; index < 50; ++index)
    {
        end_run(fixture, make_run("flood", index, 1), run_done);
    }
    schedule_often();
    EXPECT_EQ(runs_of("flood"), first);
}

} // namespace
} // namespace limpetstack::fleet
