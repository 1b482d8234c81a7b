#include "coordination/fleet/placement_choice.hpp"

#include "coordination/fleet/victim_choice.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <limits>
#include <memory>
#include <set>
#include <string>

namespace limpetstack::fleet
{
namespace
{

class placement_choice : public ::testing::Test
{
protected:
    // Adds a worker with `accelerators` of its 8 accelerators free.
    void add(const std::string& id, const std::string& rack,
             std::int64_t accelerators)
    {
        auto session = std::make_unique<worker_session>(
            lease_clock(0.02, milliseconds(6000)));
        session->record.set_id(id);
        session->record.set_rack(rack);
        session->record.set_service("service");
        candidates.push_back({session.get(), {32000, 131072, accelerators}});
        sessions.push_back(std::move(session));
    }
    // Adds an empty worker of one of the classes 0 (speed 0.6), 1 (1.0) and 2
    // (1.6), for one subtask of 8 accelerators.
    void add_fast(const std::string& id, const std::string& rack,
                  std::size_t speed_class)
    {
        static constexpr double speeds[] = {0.6, 1.0, 1.6};
        add(id, rack, 8);
        candidates.back().speed_class = speed_class;
        candidates.back().speed = speeds[speed_class];
    }
    static placement_request gang(std::uint32_t count, bool urgent)
    {
        auto out = request(count, 8);
        out.all_or_nothing = true;
        out.urgent = urgent;
        return out;
    }
    static placement_request request(std::uint32_t count, std::int64_t need)
    {
        placement_request out;
        out.count = count;
        out.need = {1000, 1000, need};
        out.service = "service";
        return out;
    }
    std::set<std::string> names(const std::vector<std::size_t>& chosen) const
    {
        std::set<std::string> out;
        for (const auto i : chosen)
        {
            out.insert(candidates[i].worker->record.id());
        }
        return out;
    }

    std::vector<std::unique_ptr<worker_session>> sessions;
    std::vector<placement_candidate> candidates;
};

// Guards against small work that takes the last empty workers although it fits
// on workers in use.
TEST_F(placement_choice, small_work_fills_used_workers_first)
{
    add("empty", "r1", 8);
    add("used", "r1", 3);
    EXPECT_EQ(names(choose_workers(candidates, request(2, 1))),
              std::set<std::string>{"used"});
}

// Guards against a gang that starts with only some of its members.
TEST_F(placement_choice, gang_is_placed_completely_or_not_at_all)
{
    add("a", "r1", 8);
    add("b", "r2", 4);
    auto gang = request(2, 8);
    gang.all_or_nothing = true;
    EXPECT_TRUE(choose_workers(candidates, gang).empty());
    EXPECT_EQ(choose_workers(candidates, request(2, 8)).size(), 1U);
}

// Guards against a gang that is spread over racks although one rack fits it,
// and against using a larger rack than needed.
TEST_F(placement_choice, adjacent_gang_takes_the_tightest_rack)
{
    add("a1", "r1", 8);
    add("a2", "r1", 8);
    add("a3", "r1", 8);
    add("b1", "r2", 8);
    add("b2", "r2", 8);
    auto gang = request(2, 8);
    gang.all_or_nothing = true;
    gang.same_rack = true;
    EXPECT_EQ(names(choose_workers(candidates, gang)),
              (std::set<std::string>{"b1", "b2"}));
    gang.count = 4;
    EXPECT_TRUE(choose_workers(candidates, gang).empty());
    gang.other_racks_allowed = true;
    EXPECT_EQ(choose_workers(candidates, gang).size(), 4U);
}

// Guards against subtasks outside the preferred rack before other racks are
// allowed.
TEST_F(placement_choice, other_racks_are_used_only_when_allowed)
{
    add("local", "r1", 1);
    add("remote", "r2", 8);
    auto wanted = request(2, 1);
    wanted.preferred_rack = "r1";
    EXPECT_EQ(names(choose_workers(candidates, wanted)),
              std::set<std::string>{"local"});
    wanted.other_racks_allowed = true;
    EXPECT_EQ(choose_workers(candidates, wanted).size(), 2U);
}

// Guards against subtasks on a worker without the required label, or beyond the
// step's limit per worker.
TEST_F(placement_choice, required_label_and_limit_per_worker_are_respected)
{
    add("a", "r1", 8);
    add("b", "r1", 8);
    sessions[1]->record.add_labels("kind");
    auto wanted = request(4, 1);
    wanted.required_label = "kind";
    wanted.max_per_worker = 3;
    candidates[1].runs_of_step = 1;
    const auto chosen = choose_workers(candidates, wanted);
    EXPECT_EQ(names(chosen), std::set<std::string>{"b"});
    EXPECT_EQ(chosen.size(), 2U);
}

// Guards against a subtask under which a worker crashed that starts beside
// other starts, on a worker that has just restarted, or again on the worker at
// fault while others are free.
TEST_F(placement_choice, suspect_starts_on_a_worker_whose_crash_is_evidence)
{
    add("busy", "r1", 8);
    add("crashed", "r1", 8);
    add("restarted", "r1", 8);
    add("sound", "r1", 8);
    candidates[0].quiet = false;
    candidates[2].steady = false;
    sessions[1]->record.set_address("10.0.0.1:80");
    auto suspect = request(1, 1);
    suspect.isolated = true;
    suspect.steady_only = true;
    suspect.crashed_addresses = {"10.0.0.1:80"};
    EXPECT_EQ(names(choose_workers(candidates, suspect)),
              std::set<std::string>{"sound"});
    candidates[3].free = {};
    EXPECT_EQ(names(choose_workers(candidates, suspect)),
              std::set<std::string>{"crashed"});
    candidates[1].free = {};
    EXPECT_TRUE(choose_workers(candidates, suspect).empty());
}

// Guards against stopping expensive runs where cheap ones suffice, and against
// stopping any run when the freed capacity would still be too small.
TEST_F(placement_choice, cheapest_victims_are_chosen)
{
    add("a", "r1", 0);
    add("b", "r1", 0);
    std::map<std::string, std::vector<victim>> victims;
    victims["a"] = {{"a-expensive", {1000, 1000, 8}, 100}};
    victims["b"] = {{"b-small", {1000, 1000, 2}, 1},
                    {"b-large", {1000, 1000, 6}, 10}};
    const auto plan = choose_victims(candidates, victims, request(1, 8));
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->keys, (std::vector<std::string>{"b-small", "b-large"}));
    EXPECT_EQ(plan->reserved_by_worker.at("b").accelerators, 8);
    EXPECT_FALSE(choose_victims(candidates, victims, request(3, 8)));
}

// Guards against urgent work on slow workers, and against other work on workers
// that are faster than its objective needs.
TEST_F(placement_choice, subtasks_take_the_class_that_suits_their_objective)
{
    add_fast("a-slow", "r1", 0);
    add_fast("b-middle", "r1", 1);
    add_fast("c-fast", "r1", 2);
    const auto chosen_for = [this](bool urgent, double slowest_speed)
    {
        auto wanted = request(1, 8);
        wanted.urgent = urgent;
        wanted.slowest_speed = slowest_speed;
        return *names(choose_workers(candidates, wanted)).begin();
    };
    EXPECT_EQ(chosen_for(true, 0.5), "c-fast");
    EXPECT_EQ(chosen_for(false, 0.5), "a-slow");
    EXPECT_EQ(chosen_for(false, 0.8), "b-middle");
    EXPECT_EQ(chosen_for(false, 1.3), "c-fast");
    // No class meets the objective any more.
    EXPECT_EQ(chosen_for(false, std::numeric_limits<double>::infinity()),
              "a-slow");
    candidates[2].free = {};
    EXPECT_EQ(chosen_for(true, 0.5), "b-middle");
    EXPECT_EQ(chosen_for(false, 1.3), "b-middle");
}

// Guards against work that waits beside free workers because of their speed.
TEST_F(placement_choice, speed_leaves_no_worker_free_while_work_waits)
{
    add_fast("a", "r1", 0);
    add_fast("b", "r1", 1);
    add_fast("c", "r1", 2);
    for (const bool urgent : {false, true})
    {
        auto wanted = request(3, 8);
        wanted.urgent = urgent;
        wanted.slowest_speed = 1.3;
        EXPECT_EQ(choose_workers(candidates, wanted).size(), 3U);
        EXPECT_EQ(choose_workers(candidates, gang(3, urgent)).size(), 3U);
    }
}

// Guards against a gang whose slow member sets the pace of fast ones although
// one class could hold it.
TEST_F(placement_choice, gang_takes_workers_of_like_speed)
{
    add_fast("a1", "r1", 0);
    add_fast("a2", "r1", 0);
    add_fast("b1", "r1", 1);
    add_fast("b2", "r1", 1);
    add_fast("c1", "r1", 2);
    const std::set<std::string> slow{"a1", "a2"};
    const std::set<std::string> middle{"b1", "b2"};
    // With the one fast worker the pace would be that of the middle class.
    EXPECT_EQ(names(choose_workers(candidates, gang(2, true))), middle);
    EXPECT_EQ(names(choose_workers(candidates, gang(2, false))), slow);
    auto wanted = gang(2, false);
    wanted.slowest_speed = 0.9;
    EXPECT_EQ(names(choose_workers(candidates, wanted)), middle);
    // Two faster workers together are better than the slow class alone.
    candidates[2].free = {};
    EXPECT_EQ(names(choose_workers(candidates, gang(2, true))),
              (std::set<std::string>{"b2", "c1"}));
}

// Guards against speed that comes before the other rules of placement: one
// rack, and workers on which the step failed.
TEST_F(placement_choice, racks_and_failed_workers_come_before_speed)
{
    add_fast("a1", "r1", 0);
    add_fast("a2", "r1", 0);
    add_fast("b1", "r2", 2);
    add_fast("b2", "r3", 2);
    auto wanted = gang(2, true);
    wanted.same_rack = true;
    EXPECT_EQ(names(choose_workers(candidates, wanted)),
              (std::set<std::string>{"a1", "a2"}));
    wanted.same_rack = false;
    EXPECT_EQ(names(choose_workers(candidates, wanted)),
              (std::set<std::string>{"b1", "b2"}));
    wanted.failed_workers = {"b1"};
    EXPECT_EQ(names(choose_workers(candidates, wanted)).count("b1"), 0U);
    add_fast("c1", "r4", 2);
    add_fast("c2", "r4", 2);
    wanted.same_rack = true;
    EXPECT_EQ(names(choose_workers(candidates, wanted)),
              (std::set<std::string>{"c1", "c2"}));
}

// Guards against choices that change with the speeds of a fleet of one class.
RC_GTEST_FIXTURE_PROP(placement_choice, one_class_changes_no_choice, ())
{
    sessions.clear();
    candidates.clear();
    const auto size = *rc::gen::inRange(1, 30);
    for (int i = 0; i < size; ++i)
    {
        add(std::to_string(100 + i),
            "r" + std::to_string(*rc::gen::inRange(0, 4)),
            *rc::gen::inRange(0, 9));
        candidates.back().last_resort = *rc::gen::inRange(0, 5) == 0;
    }
    auto wanted = request(*rc::gen::inRange<std::uint32_t>(1, 12),
                          *rc::gen::inRange(1, 9));
    wanted.all_or_nothing = *rc::gen::arbitrary<bool>();
    wanted.same_rack = *rc::gen::arbitrary<bool>();
    wanted.other_racks_allowed = *rc::gen::arbitrary<bool>();
    wanted.last_resort_allowed = *rc::gen::arbitrary<bool>();
    wanted.isolated = *rc::gen::arbitrary<bool>();
    wanted.preferred_rack = *rc::gen::element<std::string>("", "r1");
    wanted.failed_workers = {"103", "105"};
    const auto without = choose_workers(candidates, wanted);
    wanted.urgent = *rc::gen::arbitrary<bool>();
    wanted.slowest_speed = *rc::gen::inRange(0, 30) / 10.0;
    for (auto& candidate : candidates)
    {
        candidate.speed = *rc::gen::inRange(5, 20) / 10.0;
    }
    RC_ASSERT(choose_workers(candidates, wanted) == without);
}

} // namespace
} // namespace limpetstack::fleet
