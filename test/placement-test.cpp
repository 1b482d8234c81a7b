#include "limpetstack/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

namespace limpetstack
{
namespace
{

worker_index fleet(int racks, int per_rack, std::uint32_t accelerators = 8)
{
    worker_index index;
    for (int r = 0; r < racks; ++r)
    {
        for (int w = 0; w < per_rack; ++w)
        {
            const auto rack = "r" + std::to_string(r);
            index.put({rack + "-" + std::to_string(w),
                       "dc1",
                       rack,
                       {accelerators, 32, 1000}});
        }
    }
    return index;
}

gang_shape shape(std::uint32_t members, std::uint32_t accelerators,
                 adjacency placement = adjacency::any)
{
    return {members, {accelerators, 1, 10}, placement};
}

std::set<std::string> racks_of(const worker_index& index,
                               const gang_placement& placement)
{
    std::set<std::string> racks;
    for (const auto& worker : placement)
    {
        racks.insert(index.rack_of(worker));
    }
    return racks;
}

// Guards against small gangs that break up the room of the largest gang.
TEST(placement, keeps_the_largest_hole)
{
    auto index = fleet(3, 4);
    index.take({"r1-0"}, {4, 1, 10});
    const auto small = index.place("dc1", shape(1, 4), {});
    ASSERT_TRUE(small);
    EXPECT_EQ(*small, gang_placement{"r1-0"});
    EXPECT_EQ(index.largest_rack_gang("dc1", {8, 1, 10}), 4U);
}

// Guards against a whole free worker that is broken up since its rack has the
// least room, while others are in use in part.
TEST(placement, uses_workers_that_are_broken_up_already)
{
    auto index = fleet(2, 6);
    for (const std::string worker : {"0", "1", "2", "3", "4"})
    {
        index.take({"r0-" + worker}, {8, 1, 10});
    }
    for (const std::string worker : {"0", "1", "2", "3", "4", "5"})
    {
        index.take({"r1-" + worker}, {6, 1, 10});
    }
    const auto placement = index.place("dc1", shape(1, 2), {});
    ASSERT_TRUE(placement);
    EXPECT_EQ(racks_of(index, *placement), std::set<std::string>{"r1"});
}

// Guards against gangs without adjacency that are spread over every rack.
TEST(placement, any_gangs_use_few_racks)
{
    auto index = fleet(4, 2);
    index.take({"r0-0", "r1-0"}, {8, 1, 10});
    const auto placement = index.place("dc1", shape(5, 8), {});
    ASSERT_TRUE(placement);
    EXPECT_EQ(racks_of(index, *placement).size(), 3U);
}

// Guards against work on workers that are gone, disabled, in another data
// centre or held for another gang.
TEST(placement, unusable_workers_get_nothing)
{
    auto index = fleet(1, 2);
    EXPECT_FALSE(index.place("dc2", shape(1, 1), {}));
    index.enable("r0-0", false);
    index.remove("r0-1");
    EXPECT_FALSE(index.place("dc1", shape(1, 1), {}));
    index.enable("r0-0", true);
    index.hold("dc1", "r0", true);
    EXPECT_FALSE(index.place("dc1", shape(1, 1), {}));
    placement_options held;
    held.use_held = true;
    EXPECT_TRUE(index.place("dc1", shape(1, 1), held));
}

// Guards against resources that are counted as free while a task of a worker
// that returned, or had not announced itself yet, still runs.
TEST(placement, what_is_taken_outlives_the_worker)
{
    worker_index index;
    index.take({"w"}, {8, 1, 10});
    index.put({"w", "dc1", "r", {8, 32, 1000}});
    EXPECT_FALSE(index.place("dc1", shape(1, 1), {}));
    index.remove("w");
    index.put({"w", "dc1", "r", {8, 32, 1000}});
    EXPECT_FALSE(index.place("dc1", shape(1, 1), {}));
    index.give({"w"}, {8, 1, 10});
    EXPECT_TRUE(index.place("dc1", shape(8, 1), {}));
    index.remove("w");
    EXPECT_EQ(index.size(), 0U);
}

struct model_worker
{
    std::string rack;
    resources free;
};

/// Returns how many members fit, by trying every rack of the model.
std::uint32_t model_room(const std::map<std::string, model_worker>& model,
                         const gang_shape& s)
{
    std::map<std::string, std::uint32_t> racks;
    std::uint32_t all = 0;
    for (const auto& [id, worker] : model)
    {
        const auto fit = std::min(fit_count(worker.free, s.each), 1000U);
        racks[worker.rack] += fit;
        all += fit;
    }
    std::uint32_t best = 0;
    for (const auto& entry : racks)
    {
        best = std::max(best, entry.second);
    }
    return s.placement == adjacency::rack ? best : all;
}

// Guards against an index that disagrees with a full scan: it finds a
// placement if and only if there is one, in one rack for rack gangs, and never
// takes more than there is.
RC_GTEST_PROP(placement, agrees_with_a_full_scan, ())
{
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const auto pick = [&random](std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(random);
    };
    worker_index index;
    std::map<std::string, model_worker> model;
    for (std::uint32_t w = 0; w < 12; ++w)
    {
        const auto id = "w" + std::to_string(w);
        const auto rack = "r" + std::to_string(pick(0, 3));
        const resources total{pick(0, 20), pick(1, 16), pick(10, 100)};
        index.put({id, "dc1", rack, total});
        model[id] = {rack, total};
    }
    std::vector<std::pair<gang_placement, resources>> running;
    for (int i = 0; i < 80; ++i)
    {
        if (!running.empty() && pick(0, 2) == 0)
        {
            const auto at =
                running.begin() +
                pick(0, static_cast<std::uint32_t>(running.size() - 1));
            index.give(at->first, at->second);
            for (const auto& worker : at->first)
            {
                model[worker].free = model[worker].free + at->second;
            }
            running.erase(at);
            continue;
        }
        gang_shape s{pick(1, 6),
                     {pick(0, 18), pick(0, 3), pick(0, 10)},
                     pick(0, 1) == 0 ? adjacency::any : adjacency::rack};
        const auto placement = index.place("dc1", s, {});
        RC_ASSERT(placement.has_value() == (model_room(model, s) >= s.members));
        if (!placement)
        {
            continue;
        }
        RC_ASSERT(placement->size() == s.members);
        RC_ASSERT(s.placement == adjacency::any ||
                  racks_of(index, *placement).size() == 1U);
        for (const auto& worker : *placement)
        {
            auto& free = model[worker].free;
            RC_ASSERT(fit_count(free, s.each) >= 1U);
            free = {free.accelerators - s.each.accelerators,
                    free.cores - s.each.cores,
                    free.memory_mib - s.each.memory_mib};
        }
        index.take(*placement, s.each);
        running.emplace_back(*placement, s.each);
    }
}

} // namespace
} // namespace limpetstack
