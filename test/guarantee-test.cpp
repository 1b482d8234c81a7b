#include "coordination/guarantee.hpp"

#include "coordination/guarantee_plan.hpp"
#include "support/job_test_bed.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace limpetstack
{
namespace
{

guaranteed_shape guarantee(std::uint32_t count, std::uint32_t members,
                           std::uint32_t accelerators,
                           adjacency placement = adjacency::rack)
{
    guaranteed_shape shape;
    shape.data_centre = "dc1";
    shape.count = count;
    shape.members = members;
    shape.accelerators = accelerators;
    shape.cores = 1;
    shape.memory_mib = 1024;
    shape.placement = placement;
    return shape;
}

// Guards against a document whose guarantees can not all run, and against a
// refusal that names accounts that have nothing to do with it.
TEST(guarantee, conflict_names_the_accounts_that_clash)
{
    auto config = test::two_accounts(2, 4, 8, {guarantee(1, 4, 8)});
    config.client_accounts[1].guarantees = {guarantee(1, 1, 1)};
    EXPECT_TRUE(check_guarantees(config).empty());
    config.client_accounts[0].guarantees = {guarantee(2, 3, 8)};
    config.client_accounts[1].guarantees = {guarantee(1, 1, 4)};
    EXPECT_TRUE(check_guarantees(config).empty());
    client_account third;
    third.name = "c";
    third.guarantees = {guarantee(1, 2, 8)};
    config.client_accounts.push_back(third);
    const auto conflicts = check_guarantees(config);
    ASSERT_EQ(conflicts.size(), 1U);
    EXPECT_EQ(conflicts[0].data_centre, "dc1");
    EXPECT_EQ(conflicts[0].accounts, (std::vector<std::string>{"a", "c"}));
    EXPECT_NE(conflicts[0].message.find("2 x 3 members"), std::string::npos);
}

// Guards against a fleet of the wrong data centre that makes room.
TEST(guarantee, data_centres_are_checked_apart)
{
    auto config = test::two_accounts(2, 4, 8, {guarantee(1, 4, 8)});
    config.client_accounts[0].guarantees[0].data_centre = "dc2";
    const auto conflicts = check_guarantees(config);
    ASSERT_EQ(conflicts.size(), 1U);
    EXPECT_EQ(conflicts[0].accounts, std::vector<std::string>{"a"});
}

// Guards against a refusal of shapes that fit only when small gangs are not
// placed last: two racks of seven hold 3 + 2 + 2 members each.
TEST(guarantee, check_tries_other_orders)
{
    const auto config =
        test::two_accounts(2, 7, 8, {guarantee(2, 3, 8), guarantee(4, 2, 8)});
    EXPECT_TRUE(check_guarantees(config).empty());
}

/// Tries every way to place the gangs from `next` on.
bool any_way(std::vector<std::vector<std::uint32_t>>& racks,
             const std::vector<guaranteed_shape>& gangs, std::size_t next)
{
    if (next == gangs.size())
    {
        return true;
    }
    const auto& gang = gangs[next];
    for (auto& rack : racks)
    {
        // Members take whole workers here, so only their number matters.
        std::vector<std::uint32_t*> free;
        for (auto& worker : rack)
        {
            if (worker == 8)
            {
                free.push_back(&worker);
            }
        }
        if (free.size() < gang.members)
        {
            continue;
        }
        for (std::uint32_t i = 0; i < gang.members; ++i)
        {
            *free[i] = 0;
        }
        const bool fits = any_way(racks, gangs, next + 1);
        for (std::uint32_t i = 0; i < gang.members; ++i)
        {
            *free[i] = 8;
        }
        if (fits)
        {
            return true;
        }
    }
    return false;
}

// Guards against a refusal of guarantees that do fit, on fleets that are
// small enough to try every way, and against acceptance of those that do not.
RC_GTEST_PROP(guarantee, check_agrees_with_exhaustive_search, ())
{
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const auto pick = [&random](std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(random);
    };
    const auto count = pick(1, 3);
    const auto per_rack = pick(2, 6);
    std::vector<guaranteed_shape> gangs;
    const auto wanted = pick(1, 5);
    for (std::uint32_t i = 0; i < wanted; ++i)
    {
        gangs.push_back(guarantee(1, pick(1, per_rack), 8));
    }
    auto config = test::two_accounts(static_cast<int>(count),
                                     static_cast<int>(per_rack), 8, gangs);
    std::vector<std::vector<std::uint32_t>> racks(
        count, std::vector<std::uint32_t>(per_rack, 8));
    RC_ASSERT(check_guarantees(config).empty() == any_way(racks, gangs, 0));
}

// Guards against a reclaim that stops costly work, more than is needed, or
// work inside a guarantee.
TEST(guarantee, reclaim_stops_the_least_progress)
{
    const auto config = test::two_accounts(2, 2, 8, {});
    auto all = declared_fleet(config, "dc1");
    auto guaranteed = declared_fleet(config, "dc1");
    borrowing_table borrowing;
    const auto workers = all.workers("dc1", "");
    const resources whole{8, 1, 1024};
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        all.take({workers[i]}, whole);
        const auto saved = time_point(milliseconds(1000 * (i + 1)));
        borrowing.insert(
            {"g" + std::to_string(i), {workers[i]}, whole, 8, saved});
    }
    const reclaim_view view{all, guaranteed, borrowing, "dc1",
                            time_point(milliseconds(10000))};
    const auto any = [](const gang_placement&)
    {
        return true;
    };
    const gang_shape rack{2, whole, adjacency::rack};
    const auto choice = choose_reclaim(view, rack, any);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->victims, (std::vector<std::string>{"g2", "g3"}));
    const auto one = choose_reclaim(view, {1, whole, adjacency::any}, any);
    ASSERT_TRUE(one);
    EXPECT_EQ(one->victims, std::vector<std::string>{"g3"});
    guaranteed.take({workers[3]}, whole);
    borrowing.erase("g3");
    const auto other = choose_reclaim(view, rack, any);
    ASSERT_TRUE(other);
    EXPECT_EQ(other->victims, (std::vector<std::string>{"g0", "g1"}));
}

// Guards against a worker's loss that leaves a guarantee without a place
// while there is room elsewhere.
TEST(guarantee_plan, homes_move_away_from_lost_workers)
{
    const auto config = test::two_accounts(2, 2, 8, {guarantee(1, 2, 8)});
    guarantee_plan plan;
    for (const std::string id : {"0-0", "0-1", "1-0", "1-1"})
    {
        plan.put_worker({id, "dc1", id.substr(0, 1), {8, 32, 128 << 10}});
    }
    plan.configure(config, "dc1");
    const gang_shape job{2, {8, 1, 1024}, adjacency::rack};
    const auto home = plan.free_home(plan.choices("a", job).at(0));
    plan.remove_worker(home[0]);
    EXPECT_EQ(plan.repair(), 0U);
    EXPECT_NE(plan.free_home(plan.choices("a", job).at(0)), home);
    plan.remove_worker(plan.free_home(0)[0]);
    EXPECT_EQ(plan.repair(), 1U);
    EXPECT_TRUE(plan.choices("a", job).empty());
}

// Guards against work that keeps a claim to a guarantee that was withdrawn.
TEST(guarantee_plan, withdrawn_guarantees_return_their_jobs)
{
    auto config = test::two_accounts(1, 2, 8, {guarantee(1, 1, 8)});
    guarantee_plan plan;
    plan.put_worker({"w", "dc1", "r", {8, 32, 128 << 10}});
    plan.configure(config, "dc1");
    plan.claim("j", 0, plan.free_home(0));
    EXPECT_TRUE(plan.configure(config, "dc1").empty());
    EXPECT_TRUE(plan.holds("j"));
    config.client_accounts[0].guarantees.clear();
    EXPECT_EQ(plan.configure(config, "dc1"), std::vector<std::string>{"j"});
    EXPECT_FALSE(plan.holds("j"));
}

} // namespace
} // namespace limpetstack
