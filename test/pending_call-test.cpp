#include "coordination/pending_call.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against a caller that is told "not appended" of a command that is
// appended later.
TEST(pending_call, abandoned_call_is_not_started)
{
    pending_call call;
    EXPECT_EQ(call.wait(milliseconds(0)).code(), wire::command_unavailable);
    EXPECT_FALSE(call.start());
}

// Guards against a definite answer to a command whose fate is not known.
TEST(pending_call, started_call_that_times_out_is_unknown)
{
    pending_call call;
    EXPECT_TRUE(call.start());
    EXPECT_EQ(call.wait(milliseconds(0)).code(), wire::command_unknown);
}

// Guards against an outcome that a later one replaces.
TEST(pending_call, first_outcome_counts)
{
    pending_call call;
    EXPECT_TRUE(call.start());
    call.finish(make_outcome(wire::command_conflict, "first"));
    call.finish(make_outcome(wire::command_unknown));
    EXPECT_EQ(call.wait(milliseconds(0)).message(), "first");
}

} // namespace
} // namespace limpetstack
