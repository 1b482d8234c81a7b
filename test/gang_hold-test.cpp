// Guards against workers that are held for a gang although others would be free
// for it sooner.
#include "coordination/fleet/gang_hold.hpp"

#include "coordination/fleet/worker_session.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

namespace
{

using namespace limpetstack;
using namespace limpetstack::fleet;

const resource_amounts worker_capacity{32000, 131072, 8};
const resource_amounts whole_worker{13000, 68000, 8};

class gang_hold_test : public ::testing::Test
{
protected:
    gang_hold_test()
    {
        request.count = 2;
        request.need = whole_worker;
        request.all_or_nothing = true;
        request.other_racks_allowed = true;
        request.service = "service";
    }

    // Adds a worker on which runs use that many accelerators.
    void add(const std::string& id, const std::string& rack, std::int64_t used)
    {
        auto& worker =
            sessions.emplace_back(lease_clock(0.02, milliseconds(6000)));
        worker.record.set_id(id);
        worker.record.set_rack(rack);
        worker.record.set_service("service");
        worker.capacity = worker_capacity;
        candidates.push_back(
            {&worker,
             worker_capacity - resource_amounts{1000, 1000, 1} * used});
    }

    std::vector<std::string> choose(const amounts_by_worker& previous = {})
    {
        std::vector<std::string> ids;
        for (const auto& [id, amounts] :
             choose_workers_to_hold(candidates, lasting_use, request, previous))
        {
            EXPECT_EQ(amounts, whole_worker);
            ids.push_back(id);
        }
        return ids;
    }

    std::deque<worker_session> sessions;
    std::vector<placement_candidate> candidates;
    amounts_by_worker lasting_use;
    placement_request request;
};

using ids = std::vector<std::string>;

// Guards against a gang that waits for busy workers beside nearly free ones.
TEST_F(gang_hold_test, takes_the_workers_that_lack_the_least)
{
    add("w1", "r1", 6);
    add("w2", "r1", 1);
    add("w3", "r2", 4);
    add("w4", "r2", 0);
    EXPECT_EQ(choose(), (ids{"w2", "w4"}));
}

// Guards against a gang for one rack whose held workers are in several.
TEST_F(gang_hold_test, gang_for_one_rack_holds_workers_of_one_rack)
{
    request.same_rack = true;
    request.other_racks_allowed = false;
    add("w1", "r1", 5);
    add("w2", "r1", 1);
    add("w3", "r2", 3);
    add("w4", "r2", 2);
    EXPECT_EQ(choose(), (ids{"w3", "w4"}));
    request.preferred_rack = "r1";
    EXPECT_EQ(choose(), (ids{"w1", "w2"}));
}

// Guards against held workers that change each time a run ends elsewhere.
TEST_F(gang_hold_test, held_workers_are_exchanged_for_much_freer_ones_only)
{
    add("w1", "r1", 4);
    add("w2", "r1", 4);
    add("w3", "r2", 3);
    add("w4", "r2", 0);
    EXPECT_EQ(choose({{"w1", whole_worker}, {"w2", whole_worker}}),
              (ids{"w1", "w4"}));
}

// Guards against workers that are held in vain: a gang that is too large, or
// whose capacity lasting runs use, never starts on them.
TEST_F(gang_hold_test, gang_that_can_not_fit_holds_nothing)
{
    add("w1", "r1", 0);
    add("w2", "r1", 0);
    EXPECT_EQ(choose(), (ids{"w1", "w2"}));
    lasting_use["w2"] = {1000, 1000, 1};
    EXPECT_TRUE(choose().empty());
    lasting_use.clear();
    request.count = 3;
    EXPECT_TRUE(choose().empty());
}

} // namespace
