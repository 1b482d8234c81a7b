#include "coordination/fleet/policy_tickets.hpp"

#include "support/fake_policy_port.hpp"

#include <gtest/gtest.h>

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
    policy_tickets tickets{port,
                           [this]
                           {
                               return now;
                           },
                           [this]
                           {
                               ++answers;
                           }};
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
