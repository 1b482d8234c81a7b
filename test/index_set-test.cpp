#include "state/index_set.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <set>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr std::uint32_t bound = 24;

std::set<std::uint32_t> elements(const index_set& set)
{
    std::set<std::uint32_t> all;
    for (const auto& [first, end] : set.ranges())
    {
        for (auto index = first; index < end; ++index)
        {
            all.insert(index);
        }
    }
    return all;
}

// Guards against ranges that lose, add or split indices: compares random
// operations with a set that stores each index.
RC_GTEST_PROP(index_set, equals_a_plain_set, ())
{
    index_set set;
    std::set<std::uint32_t> expected;
    const auto operations =
        *rc::gen::container<std::vector<std::vector<std::uint32_t>>>(
            rc::gen::container<std::vector<std::uint32_t>>(
                3, rc::gen::inRange(0U, bound)));
    for (const auto& operation : operations)
    {
        const auto first = operation[0];
        const auto end = operation[1];
        for (auto index = first; index < end; ++index)
        {
            if (operation[2] % 2 == 0)
            {
                expected.insert(index);
            }
            else
            {
                expected.erase(index);
            }
        }
        if (operation[2] % 2 == 0)
        {
            set.insert(first, end);
        }
        else
        {
            set.erase(first, end);
        }
        RC_ASSERT(elements(set) == expected);
        RC_ASSERT(set.size() == expected.size());
        RC_ASSERT(set.empty() == expected.empty());
        for (std::uint32_t index = 0; index < bound; ++index)
        {
            RC_ASSERT(set.contains(index) == (expected.count(index) > 0));
            RC_ASSERT(expected.count(set.first_missing(index)) == 0);
        }
    }
}

// Guards against adjoining ranges that stay apart, so that equal sets differ
// and the memory of a set grows with its indices.
TEST(index_set, adjoining_ranges_are_one)
{
    index_set set;
    for (std::uint32_t index = 0; index < 1000; index += 2)
    {
        set.insert(index);
    }
    EXPECT_EQ(set.ranges().size(), 500U);
    for (std::uint32_t index = 1; index < 1000; index += 2)
    {
        set.insert(index);
    }
    EXPECT_EQ(set, index_set(0, 1000));
    EXPECT_EQ(set.ranges().size(), 1U);
    EXPECT_EQ(set.first_missing(0), 1000U);
    set.erase(index_set(0, 999));
    EXPECT_EQ(set.front(), 999U);
    EXPECT_NE(set, index_set(0, 1000));
}

} // namespace
} // namespace limpetstack::fleet
