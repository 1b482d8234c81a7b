#include "support/gang_history.hpp"

#include <gtest/gtest.h>

namespace limpetstack::test
{
namespace
{

constexpr std::int64_t bound_ms = 3000;

member_interval ran(std::uint32_t attempt, std::uint32_t member,
                    std::int64_t begin, std::int64_t end, bool done)
{
    return {"j",   attempt, member, "w" + std::to_string(member),
            begin, end,     done};
}

// Guards against a checker that refuses what the system may do.
TEST(gang_history, accepts_whole_gangs_and_bounded_parts)
{
    EXPECT_EQ(check_gang({ran(1, 0, 0, 9000, true), ran(1, 1, 5, 9100, true)},
                         2, bound_ms),
              "");
    EXPECT_EQ(
        check_gang({ran(1, 0, 0, 5000, false), ran(1, 1, 0, 7900, false),
                    ran(2, 0, 8000, 9000, true), ran(2, 1, 8000, 9000, true)},
                   2, bound_ms),
        "");
    EXPECT_EQ(check_gang({ran(1, 0, 0, 2900, false)}, 2, bound_ms), "");
}

// Guards against a checker that misses a part of a gang that goes on.
TEST(gang_history, rejects_parts_that_run_on)
{
    EXPECT_NE(check_gang({ran(1, 0, 0, 9000, true)}, 2, bound_ms), "");
    EXPECT_NE(check_gang({ran(1, 0, 0, 5000, false), ran(1, 1, 0, 9000, true)},
                         2, bound_ms),
              "");
    auto running = ran(1, 1, 0, 0, false);
    running.ended_ms.reset();
    EXPECT_NE(check_gang({ran(1, 0, 0, 5000, false), running}, 2, bound_ms),
              "");
    EXPECT_NE(
        check_gang({ran(1, 0, 0, 9000, true), ran(1, 1, 4000, 9000, true)}, 2,
                   bound_ms),
        "");
}

// Guards against a checker that misses two copies of one gang.
TEST(gang_history, rejects_overlapping_attempts)
{
    EXPECT_NE(
        check_gang({ran(1, 0, 0, 5000, false), ran(1, 1, 0, 5000, false),
                    ran(2, 0, 4999, 6000, true), ran(2, 1, 4999, 6000, true)},
                   2, bound_ms),
        "");
}

} // namespace
} // namespace limpetstack::test
