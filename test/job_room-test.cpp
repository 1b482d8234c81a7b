#include "coordination/fleet/job_room.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

// Guards against one holder that takes the room of all others.
TEST(job_room, one_holder_gets_half)
{
    EXPECT_TRUE(has_room({100, 49, 49}, 1));
    EXPECT_FALSE(has_room({100, 50, 50}, 1));
    EXPECT_TRUE(has_room({100, 50, 0}, 50));
    EXPECT_FALSE(has_room({100, 50, 0}, 51));
}

TEST(job_room, several_holders_that_flood_leave_room_for_another)
{
    for (const std::size_t holders : {1, 2, 5, 20})
    {
        std::size_t kept = 0;
        std::size_t kept_by_each = 0;
        while (has_room({100000, kept, kept_by_each}, 1))
        {
            kept += holders;
            ++kept_by_each;
        }
        EXPECT_GE(100000 - kept, 100000 / (holders + 1) - holders);
        EXPECT_TRUE(has_room({100000, kept, 0}, 1000)) << holders;
    }
}

// Guards against an underflow when more is kept than there is room for, after
// the memory in the settings was lowered.
TEST(job_room, none_when_more_is_kept_than_allowed)
{
    EXPECT_FALSE(has_room({100, 150, 0}, 1));
}

TEST(job_room, follows_the_memory_and_the_disk)
{
    EXPECT_EQ(job_room_limit(256 * mebibyte, 128 * mebibyte), 96 * mebibyte);
    EXPECT_EQ(job_room_limit(256 * mebibyte, 64 * mebibyte), 48 * mebibyte);
    EXPECT_EQ(job_room_limit(256 * mebibyte, 0), 96 * mebibyte);
    EXPECT_EQ(job_room_limit(4096 * mebibyte, 0), 96 * mebibyte);
}

} // namespace
} // namespace limpetstack::fleet
