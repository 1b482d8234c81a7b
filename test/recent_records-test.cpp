#include "coordination/recent_records.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

std::vector<wire::journal_record> records(std::uint64_t first, int count,
                                          std::uint64_t epoch)
{
    std::vector<wire::journal_record> result;
    for (int i = 0; i < count; ++i)
    {
        auto& record = result.emplace_back();
        record.set_sequence(first + static_cast<std::uint64_t>(i));
        record.set_epoch(epoch);
    }
    return result;
}

// Guards against records sent to a copy whose journal has another history.
TEST(recent_records, answers_only_for_points_of_its_own_history)
{
    recent_records recent({10, 1});
    recent.push(records(11, 3, 2));
    EXPECT_EQ(recent.end(), (journal_point{13, 2}));
    EXPECT_EQ(recent.after({10, 1}, 1 << 20)->size(), 3U);
    EXPECT_EQ(recent.after({12, 2}, 1 << 20)->size(), 1U);
    EXPECT_EQ(recent.after({13, 2}, 1 << 20)->size(), 0U);
    EXPECT_EQ(recent.after({11, 2}, 1)->size(), 1U);
    EXPECT_FALSE(recent.after({12, 1}, 1 << 20));
    EXPECT_FALSE(recent.after({9, 1}, 1 << 20));
    EXPECT_FALSE(recent.after({14, 2}, 1 << 20));
}

// Guards against unbounded memory while a copy is away.
TEST(recent_records, forgets_the_oldest)
{
    recent_records recent({0, 0});
    recent.push(records(1, 5000, 1));
    EXPECT_FALSE(recent.holds({5000 - 4097, 1}));
    EXPECT_TRUE(recent.holds({5000 - 4096, 1}));
}

} // namespace
} // namespace limpetstack
