#include "coordination/fleet/worker_room.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

TEST(worker_room, new_workers_fit_until_the_limit)
{
    EXPECT_TRUE(has_room({100000, 90000, 0}, 10000));
    EXPECT_FALSE(has_room({100000, 90001, 0}, 10000));
}

// Guards against a known worker that can not report that it drains, because
// others have taken the room.
TEST(worker_room, known_workers_may_change)
{
    EXPECT_TRUE(has_room({100000, 120000, 5000}, 5008));
    EXPECT_TRUE(has_room({100000, 120000, 50000}, 50000));
    EXPECT_FALSE(has_room({100000, 120000, 5000}, 50000));
}

// The target size has 2,400 workers on hosts of 256 MB.
TEST(worker_room, holds_the_workers_of_the_target_size)
{
    constexpr std::size_t cost = 4096 + 4 * 300;
    EXPECT_GE(worker_room_limit(256U << 20U) / cost, 2U * 2400);
}

} // namespace
} // namespace limpetstack::fleet
