#include "daemon/fleet/entry_node.hpp"

#include "base/metrics.hpp"
#include "coordination/fleet/fleet_answers.hpp"
#include "experiment/process.hpp"
#include "support/fake_leader.hpp"
#include "transport/http_channel.hpp"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>

namespace limpetstack::fleet
{
namespace
{

constexpr char job_path[] = "/q/0123456789abcdef";

node_settings entry_settings(const fake_leader& first,
                             const fake_leader& second)
{
    node_settings settings;
    settings.name = "entry";
    settings.caller_address = "127.0.0.1:" + std::to_string(test::free_port());
    settings.ready_address = "127.0.0.1:" + std::to_string(test::free_port());
    settings.seeds = {first.address(), second.address()};
    return settings;
}

// An entry host between a caller and two core hosts that the test plays.
class entry_node_test : public ::testing::Test
{
protected:
    entry_node_test()
        : first(io)
        , second(io)
        , settings(entry_settings(first, second))
        , entry(io, settings, "X-Deadline-Ms", counters)
        , caller(io, settings.caller_address)
    {
        EXPECT_TRUE(entry.start());
    }

    // Handles events until the condition holds, for at most `limit`.
    bool run_until(const std::function<bool()>& holds,
                   milliseconds limit = milliseconds(5000))
    {
        const auto end = boot_now() + limit;
        while (!holds() && boot_now() < end)
        {
            io.restart();
            io.run_for(milliseconds(5));
        }
        return holds();
    }

    void call(const std::string& method)
    {
        status.reset();
        caller.send(method, job_path, {{"X-Deadline-Ms", "3000"}}, "{}",
                    milliseconds(4000),
                    [this](const http_channel_answer& answer)
                    {
                        status = answer.status;
                    });
    }

    void send_to_first_leader(const std::string& method)
    {
        first.lead(2);
        call(method);
        ASSERT_TRUE(run_until(
            [this]
            {
                return first.calls().size() == 1;
            }));
    }

    // Sends a call to the first leader, which takes it and is lost without an
    // answer, and then, in the next term, to the second.
    void send_to_both_leaders(const std::string& method)
    {
        ASSERT_NO_FATAL_FAILURE(send_to_first_leader(method));
        first.lead(0);
        first.fall_silent();
        first.disconnect();
        second.lead(3);
        ASSERT_TRUE(run_until(
            [this]
            {
                return second.calls().size() == 1;
            }));
    }

    unsigned answered_status()
    {
        run_until(
            [this]
            {
                return status.has_value();
            });
        return status.value_or(0);
    }

    boost::asio::io_context io;
    metrics counters;
    fake_leader first;
    fake_leader second;
    node_settings settings;
    entry_node entry;
    http_channel caller;
    std::optional<unsigned> status;
};

class entry_node_refusal_test : public entry_node_test,
                                public ::testing::WithParamInterface<unsigned>
{
};

// Guards against a caller who hears that its job does not run, by the refusal
// of a leader that does not know what an earlier leader did with the call.
TEST_P(entry_node_refusal_test, refusal_is_not_the_answer_to_earlier_sendings)
{
    ASSERT_NO_FATAL_FAILURE(send_to_both_leaders("POST"));
    second.answer(0, json_answer(GetParam()));
    EXPECT_EQ(answered_status(), 504U);
}

// Guards against a caller who hears that its job goes on, although an earlier
// leader has cancelled it.
TEST_P(entry_node_refusal_test, refused_cancel_may_have_been_carried_out)
{
    ASSERT_NO_FATAL_FAILURE(send_to_both_leaders("DELETE"));
    second.answer(0, json_answer(GetParam()));
    EXPECT_EQ(answered_status(), 504U);
}

// Guards against refusals that are withheld although the leader knows that the
// earlier sending had no effect.
TEST_P(entry_node_refusal_test, refusal_that_covers_all_sendings_is_passed_on)
{
    ASSERT_NO_FATAL_FAILURE(send_to_both_leaders("POST"));
    EXPECT_TRUE(second.calls().front().repeated());
    auto refusal = json_answer(GetParam());
    refusal.set_covers_all_sendings(true);
    second.answer(0, refusal);
    EXPECT_EQ(answered_status(), GetParam());
}

// Guards against refusals that are withheld although the call was sent once.
TEST_P(entry_node_refusal_test, refusal_of_the_only_sending_is_passed_on)
{
    ASSERT_NO_FATAL_FAILURE(send_to_first_leader("POST"));
    first.answer(0, json_answer(GetParam()));
    EXPECT_EQ(answered_status(), GetParam());
}

// Guards against refusals that are withheld although no earlier sending can
// have had an effect.
TEST_P(entry_node_refusal_test,
       refusal_after_a_call_without_effect_is_passed_on)
{
    ASSERT_NO_FATAL_FAILURE(send_to_first_leader("POST"));
    first.lead(0);
    first.answer(0, not_leader_answer());
    second.lead(3);
    ASSERT_TRUE(run_until(
        [this]
        {
            return second.calls().size() == 1;
        }));
    second.answer(0, json_answer(GetParam()));
    EXPECT_EQ(answered_status(), GetParam());
}

// Guards against refused reads that are withheld: a read has no effect.
TEST_P(entry_node_refusal_test, refusal_of_a_read_is_passed_on)
{
    ASSERT_NO_FATAL_FAILURE(send_to_both_leaders("GET"));
    second.answer(0, json_answer(GetParam()));
    EXPECT_EQ(answered_status(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(statuses, entry_node_refusal_test,
                         ::testing::Values(400U, 401U, 404U, 503U));

// Guards against an acceptance by the next leader that does not reach the
// caller.
TEST_F(entry_node_test, acceptance_after_a_lost_sending_is_passed_on)
{
    ASSERT_NO_FATAL_FAILURE(send_to_both_leaders("POST"));
    second.answer(0, json_answer(200));
    EXPECT_EQ(answered_status(), 200U);
}

// Guards against a call that is sent again and again although the leader has
// said that its outcome stays unknown.
TEST_F(entry_node_test, outcome_that_stays_unknown_is_answered_at_once)
{
    ASSERT_NO_FATAL_FAILURE(send_to_both_leaders("DELETE"));
    auto unknown = outcome_unknown_answer();
    unknown.set_covers_all_sendings(true);
    second.answer(0, unknown);
    EXPECT_EQ(answered_status(), 504U);
    EXPECT_EQ(second.calls().size(), 1U);
}

// Guards against sendings that a leader can not recognize as superseded.
TEST_F(entry_node_test, sendings_name_the_term_and_the_connection)
{
    ASSERT_NO_FATAL_FAILURE(send_to_both_leaders("POST"));
    const auto& earlier = first.calls().front();
    const auto& later = second.calls().front();
    EXPECT_FALSE(earlier.repeated());
    EXPECT_EQ(earlier.term(), 2U);
    EXPECT_EQ(later.term(), 3U);
    EXPECT_NE(earlier.origin(), 0U);
    EXPECT_EQ(later.origin(), earlier.origin());
    EXPECT_EQ(later.id(), earlier.id());
    EXPECT_GT(later.connection_epoch(), earlier.connection_epoch());
}

// Guards against "did not run" for a call whose only sending was lost.
TEST_F(entry_node_test, call_with_a_lost_sending_may_have_run)
{
    ASSERT_NO_FATAL_FAILURE(send_to_first_leader("POST"));
    first.lead(0);
    first.disconnect();
    EXPECT_EQ(answered_status(), 504U);
}

// Guards against "may have run" for a call that no leader has carried out,
// which the caller may not repeat under another id.
TEST_F(entry_node_test, call_without_effect_is_answered_as_not_run)
{
    ASSERT_NO_FATAL_FAILURE(send_to_first_leader("POST"));
    first.lead(0);
    first.answer(0, not_leader_answer());
    EXPECT_EQ(answered_status(), 503U);
}

} // namespace
} // namespace limpetstack::fleet
