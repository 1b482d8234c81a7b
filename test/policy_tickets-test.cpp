#include "coordination/fleet/policy_tickets.hpp"

#include "support/fake_policy_port.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>

namespace limpetstack::fleet
{
namespace
{

const policy_tickets::step_key step{"job", 0, 0};
const ticket_policy policy{100, 10, 5000};
const policy_candidate first{"w1", 1};
const policy_candidate second{"w2", 1};

class policy_tickets_test : public ::testing::Test
{
protected:
    // Answers all stored questions with `content`.
    void answer(const policy_port::answer& content)
    {
        const auto asked = std::exchange(port.questions, {});
        for (const auto& item : asked)
        {
            item.done(content);
        }
    }

    time_point now{milliseconds(1000)};
    fake_policy_port port;
    int answers = 0;
    metrics counters;
    policy_tickets tickets{port,
                           [this]
                           {
                               return now;
                           },
                           [this]
                           {
                               ++answers;
                           },
                           counters};
};

// Guards against tickets for workers that the policy does not allow, and
// against repeated questions although the answer is known.
TEST_F(policy_tickets_test, asks_once_and_records_refusals)
{
    tickets.ask(step, policy, {first, second}, now);
    tickets.ask(step, policy, {first, second}, now);
    ASSERT_EQ(port.questions.size(), 1U);
    EXPECT_EQ(port.questions[0].question.workers,
              (std::vector<std::string>{"w1", "w2"}));
    EXPECT_GE(port.questions[0].timeout, milliseconds(120));
    answer(std::vector<policy_ticket>{{"w2", "ticket"}});
    EXPECT_EQ(answers, 1);
    EXPECT_EQ(tickets.find(step, first, now), nullptr);
    ASSERT_NE(tickets.find(step, second, now), nullptr);
    EXPECT_EQ(*tickets.find(step, second, now), "ticket");
    tickets.ask(step, policy, {first, second}, now);
    EXPECT_TRUE(port.questions.empty());
}

// Guards against a ticket that is used after its expiry or for another
// incarnation of the worker.
TEST_F(policy_tickets_test, tickets_expire_and_are_bound_to_the_incarnation)
{
    tickets.ask(step, policy, {first, second}, now);
    answer(std::vector<policy_ticket>{{"w1", "a"}, {"w2", "b"}});
    EXPECT_EQ(tickets.find(step, {"w1", 2}, now), nullptr);
    now += milliseconds(policy.valid_ms);
    EXPECT_EQ(tickets.find(step, first, now), nullptr);
    tickets.ask(step, policy, {first, second}, now);
    ASSERT_EQ(port.questions.size(), 1U);
    EXPECT_EQ(port.questions[0].question.workers.size(), 2U);
}

// Guards against a step without further questions after a lost answer, and
// against questions without delay to a service that does not answer.
TEST_F(policy_tickets_test,
       question_is_repeated_after_a_delay_when_the_answer_is_lost)
{
    tickets.ask(step, policy, {first}, now);
    answer(std::nullopt);
    tickets.ask(step, policy, {first}, now);
    EXPECT_TRUE(port.questions.empty());
    now += milliseconds(1000);
    tickets.ask(step, policy, {first}, now);
    EXPECT_EQ(port.questions.size(), 1U);
}

// Guards against reusing a ticket that a worker has refused.
TEST_F(policy_tickets_test, dropped_ticket_is_requested_again)
{
    tickets.ask(step, policy, {first}, now);
    answer(std::vector<policy_ticket>{{"w1", "a"}});
    tickets.drop(step, "w1");
    EXPECT_EQ(tickets.find(step, first, now), nullptr);
    tickets.ask(step, policy, {first}, now);
    EXPECT_EQ(port.questions.size(), 1U);
}

// Guards against tickets that are valid for less than a fixed margin and so
// never used, and against using them for longer than they are valid.
TEST_F(policy_tickets_test, short_tickets_are_used_when_they_arrive)
{
    for (const std::int64_t valid_ms : {0, 1, 20, 300})
    {
        const policy_tickets::step_key short_step{
            "job", 0, static_cast<unsigned>(1 + valid_ms)};
        tickets.ask(short_step, {20, 2, valid_ms}, {first}, now);
        now += milliseconds(22);
        answer(std::vector<policy_ticket>{{"w1", "a"}});
        EXPECT_NE(tickets.find(short_step, first, now), nullptr) << valid_ms;
        now += milliseconds(std::max<std::int64_t>(valid_ms, 5));
        EXPECT_EQ(tickets.find(short_step, first, now), nullptr) << valid_ms;
        EXPECT_TRUE(tickets.may_place(short_step, first, now)) << valid_ms;
    }
}

// Guards against placements that wait for tickets of a service which has fallen
// silent, and against repeated questions while it answers.
TEST_F(policy_tickets_test, expired_ticket_is_asked_for_when_it_is_needed)
{
    const ticket_policy short_policy{20, 2, 60};
    tickets.ask(step, short_policy, {first}, now);
    answer(std::vector<policy_ticket>{{"w1", "a"}});
    now += milliseconds(1000);
    tickets.ask(step, short_policy, {first}, now);
    EXPECT_TRUE(port.questions.empty());
    tickets.renew(step, short_policy, {first}, now);
    EXPECT_EQ(port.questions.size(), 1U);
    answer(std::nullopt);
    now += milliseconds(1500);
    EXPECT_FALSE(tickets.may_place(step, first, now));
    tickets.ask(step, short_policy, {first}, now);
    EXPECT_EQ(port.questions.size(), 1U);
}

// Guards against a stream of questions while workers refuse each ticket.
TEST_F(policy_tickets_test, refused_tickets_delay_the_next_question)
{
    int asked = 0;
    for (int i = 0; i < 1000; ++i)
    {
        tickets.renew(step, policy, {first}, now);
        asked += static_cast<int>(port.questions.size());
        if (!port.questions.empty())
        {
            answer(std::vector<policy_ticket>{{"w1", "a"}});
            tickets.refuse(step, "w1", now);
            EXPECT_EQ(tickets.find(step, first, now), nullptr);
        }
        now += milliseconds(10);
    }
    EXPECT_LE(asked, 13);
}

// Guards against a memory leak: decisions that stay stored after their job was
// forgotten, or that a late answer brings back.
TEST_F(policy_tickets_test, forgets_the_steps_of_a_job)
{
    tickets.ask(step, policy, {first}, now);
    tickets.forget("job");
    answer(std::vector<policy_ticket>{{"w1", "a"}});
    EXPECT_EQ(tickets.find(step, first, now), nullptr);
}

} // namespace
} // namespace limpetstack::fleet
