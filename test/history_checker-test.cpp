#include "support/history_checker.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

history_call applied(wire::request_phase asked, std::uint64_t invoked,
                     std::uint64_t answered, std::string payload = "")
{
    history_call call;
    call.id = "a";
    call.asked = asked;
    call.payload = std::move(payload);
    call.invoked = invoked;
    call.answered = answered;
    call.applied = true;
    return call;
}

history_call current(wire::request_phase phase, std::uint64_t invoked,
                     std::uint64_t answered, std::string payload = "")
{
    auto call = applied(wire::request_started, invoked, answered);
    call.applied = false;
    call.current = phase;
    call.current_payload = std::move(payload);
    return call;
}

history_call no_answer(wire::request_phase asked, std::uint64_t invoked)
{
    auto call = applied(asked, invoked, 0);
    call.answered.reset();
    return call;
}

// Guards against a checker that rejects what a correct journal does.
TEST(history_checker, accepts_good_histories)
{
    EXPECT_EQ(check_history({applied(wire::request_started, 1, 2),
                             applied(wire::request_unknown, 3, 4),
                             applied(wire::request_done, 5, 6, "x"),
                             current(wire::request_done, 7, 8, "x")}),
              "");
    // The lost start happened, or it did not.
    EXPECT_EQ(check_history({no_answer(wire::request_started, 1),
                             current(wire::request_started, 3, 4)}),
              "");
    EXPECT_EQ(check_history({no_answer(wire::request_started, 1),
                             applied(wire::request_not_run, 3, 4)}),
              "");
    EXPECT_EQ(check_history({applied(wire::request_started, 1, 2),
                             applied(wire::request_done, 3, 4, "x"),
                             current(wire::request_started, 5, 6)},
                            true),
              "");
}

// Guards against a checker that misses a second run of one id.
TEST(history_checker, rejects_two_starts)
{
    EXPECT_NE(check_history({applied(wire::request_started, 1, 4),
                             applied(wire::request_started, 2, 3)}),
              "");
}

// Guards against a checker that misses a run after "not run".
TEST(history_checker, rejects_start_after_not_run)
{
    EXPECT_NE(check_history({applied(wire::request_not_run, 1, 2),
                             applied(wire::request_started, 3, 4)}),
              "");
    EXPECT_NE(check_history({applied(wire::request_not_run, 1, 2),
                             current(wire::request_started, 3, 4)},
                            true),
              "");
}

// Guards against a checker that misses two answers to one request.
TEST(history_checker, rejects_unequal_answers)
{
    EXPECT_NE(check_history({applied(wire::request_started, 1, 2),
                             applied(wire::request_done, 3, 4, "x"),
                             current(wire::request_done, 5, 6, "y")}),
              "");
}

// Guards against a checker that misses a lost acknowledged record.
TEST(history_checker, rejects_lost_record)
{
    EXPECT_NE(check_history({applied(wire::request_started, 1, 2),
                             current(wire::request_absent, 3, 4)},
                            true),
              "");
    EXPECT_NE(check_history({applied(wire::request_started, 1, 2),
                             applied(wire::request_done, 3, 4, "x"),
                             current(wire::request_started, 5, 6)}),
              "");
}

// Guards against a checker that lets effects precede their invocation.
TEST(history_checker, rejects_effect_before_invocation)
{
    EXPECT_NE(check_history({current(wire::request_started, 1, 2),
                             no_answer(wire::request_started, 3)}),
              "");
}

} // namespace
} // namespace limpetstack
