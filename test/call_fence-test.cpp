#include "coordination/fleet/call_fence.hpp"

#include "fleet.pb.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace limpetstack::fleet
{
namespace
{

forwarded_call sending(std::uint64_t term, std::uint64_t origin,
                       std::uint64_t connection)
{
    forwarded_call call;
    call.set_term(term);
    call.set_origin(origin);
    call.set_connection_epoch(connection);
    return call;
}

// Guards against a sending that is carried out after a leader of a later term
// has refused its call.
TEST(call_fence, sending_to_another_term_is_not_admitted)
{
    call_fence fence;
    EXPECT_FALSE(fence.admit(sending(2, 7, 0), 3));
    EXPECT_TRUE(fence.admit(sending(3, 7, 0), 3));
    EXPECT_FALSE(fence.admit(sending(4, 7, 0), 3));
}

// Guards against a sending of a lost connection that is carried out after the
// leader has refused the call on a later connection.
TEST(call_fence, sending_of_an_earlier_connection_is_not_admitted)
{
    call_fence fence;
    EXPECT_TRUE(fence.admit(sending(3, 7, 1), 3));
    EXPECT_TRUE(fence.admit(sending(3, 7, 2), 3));
    EXPECT_FALSE(fence.admit(sending(3, 7, 1), 3));
    EXPECT_TRUE(fence.admit(sending(3, 7, 2), 3));
}

// Guards against calls that are turned away for the connections of another
// entry process.
TEST(call_fence, connections_are_compared_within_one_origin)
{
    call_fence fence;
    EXPECT_TRUE(fence.admit(sending(3, 7, 5), 3));
    EXPECT_TRUE(fence.admit(sending(3, 8, 1), 3));
}

// Guards against calls that are turned away for the connections of an earlier
// term, in which the numbers of another leadership count.
TEST(call_fence, connections_are_compared_within_one_term)
{
    call_fence fence;
    EXPECT_TRUE(fence.admit(sending(3, 7, 5), 3));
    EXPECT_TRUE(fence.admit(sending(4, 7, 5), 4));
    EXPECT_TRUE(fence.admit(sending(4, 7, 6), 4));
    EXPECT_FALSE(fence.admit(sending(4, 7, 5), 4));
}

// Guards against calls of earlier versions, and of workers and operators, that
// are turned away.
TEST(call_fence, calls_without_a_term_and_an_origin_are_admitted)
{
    call_fence fence;
    EXPECT_TRUE(fence.admit(sending(0, 0, 0), 3));
    EXPECT_TRUE(fence.admit(sending(3, 0, 0), 3));
}

} // namespace
} // namespace limpetstack::fleet
