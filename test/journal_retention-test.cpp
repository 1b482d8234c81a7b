#include "state/journal_retention.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against unbounded memory, and against a flood of ids that drops
// requests in progress.
TEST(journal_retention, drops_by_age_then_by_count_but_nothing_young)
{
    const retention_limits limits = {1000, 100, 3};
    EXPECT_EQ(retention_time({}, limits, 5000, 0), 4000);
    EXPECT_EQ(retention_time({}, limits, 5000, 4500), 4500);
    EXPECT_EQ(retention_time({4801, 4800, 4803, 4802}, limits, 5000, 0), 4801);
    EXPECT_EQ(retention_time({4999, 4998, 4997, 4996}, limits, 5000, 0), 4900);
}

} // namespace
} // namespace limpetstack
