#include "coordination/fair_queue.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace limpetstack
{
namespace
{

const time_point start{};
const time_point far = start + milliseconds(1000000);

class ticket_counter
{
public:
    queued_request request(const std::string& account,
                           const std::string& caller, time_point deadline = far)
    {
        return {++last_, account, caller, deadline};
    }

private:
    std::uint64_t last_ = 0;
};

// Guards against a caller that keeps others of its account from being served.
TEST(fair_queue, callers_of_an_account_take_turns)
{
    fair_queue queue(1000);
    ticket_counter tickets;
    for (int i = 0; i < 100; ++i)
    {
        queue.push(tickets.request("a", "large"), 1, start, 8);
    }
    queue.push(tickets.request("a", "small"), 1, start, 8);
    int before = 0;
    while (queue.pop()->caller != "small")
    {
        ++before;
    }
    EXPECT_LE(before, 1);
}

// Guards against shares that ignore weights or costs: with weight 3 to 1 and
// costs of 10 ms to 30 ms, nine requests are served for one.
TEST(fair_queue, accounts_share_by_weight_and_cost)
{
    fair_queue queue(4000);
    ticket_counter tickets;
    for (int i = 0; i < 50; ++i)
    {
        queue.learn("heavy", "c", milliseconds(30));
        queue.learn("light", "c", milliseconds(10));
    }
    for (int i = 0; i < 1000; ++i)
    {
        queue.push(tickets.request("heavy", "c"), 1, start, 0);
        queue.push(tickets.request("light", "c"), 3, start, 0);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 500; ++i)
    {
        ++served[queue.pop()->account];
    }
    EXPECT_NEAR(served["light"], 450, 10);
}

// Guards against a flood that pushes the requests of others out of the queue.
TEST(fair_queue, full_queue_refuses_the_longest)
{
    fair_queue queue(100);
    ticket_counter tickets;
    for (int i = 0; i < 100; ++i)
    {
        EXPECT_TRUE(
            queue.push(tickets.request("flood", "c"), 1, start, 1).accepted);
    }
    const auto refused = queue.push(tickets.request("flood", "c"), 1, start, 1);
    EXPECT_FALSE(refused.accepted);
    EXPECT_GT(refused.retry_after, milliseconds(0));
    const auto other = queue.push(tickets.request("calm", "c"), 1, start, 1);
    EXPECT_TRUE(other.accepted);
    EXPECT_EQ(other.displaced, 100U) << "the newest of the longest";
    const auto same_account =
        queue.push(tickets.request("flood", "small"), 1, start, 1);
    EXPECT_TRUE(same_account.accepted);
    EXPECT_EQ(same_account.displaced, 99U);
    EXPECT_EQ(queue.size(), 100U);
}

// Guards against requests that wait although their deadline can not be met, and
// against refusals of callers that would be served soon.
TEST(fair_queue, hopeless_deadline_is_refused_early)
{
    fair_queue queue(1000);
    ticket_counter tickets;
    for (int i = 0; i < 10; ++i)
    {
        queue.learn("a", "large", milliseconds(100));
    }
    for (int i = 0; i < 50; ++i)
    {
        queue.push(tickets.request("a", "large"), 1, start, 1);
    }
    const auto soon = start + milliseconds(1000);
    const auto refused =
        queue.push(tickets.request("a", "large", soon), 1, start, 1);
    EXPECT_TRUE(refused.hopeless);
    EXPECT_GE(refused.retry_after, milliseconds(4000));
    EXPECT_TRUE(
        queue.push(tickets.request("a", "small", soon), 1, start, 1).accepted);
}

// Guards against requests that stay queued after their deadline.
TEST(fair_queue, expired_requests_are_taken_out)
{
    fair_queue queue(10);
    ticket_counter tickets;
    queue.push(tickets.request("a", "c", start + milliseconds(5)), 1, start, 1);
    queue.push(tickets.request("a", "c"), 1, start, 1);
    EXPECT_TRUE(queue.expire(start + milliseconds(4)).empty());
    ASSERT_EQ(queue.expire(start + milliseconds(5)).size(), 1U);
    EXPECT_EQ(queue.pop()->ticket, 2U);
    EXPECT_FALSE(queue.pop());
}

// Guards against requests that are lost, served twice or displaced silently.
RC_GTEST_PROP(fair_queue, every_accepted_request_leaves_once, ())
{
    fair_queue queue(20);
    ticket_counter tickets;
    std::set<std::uint64_t> waiting;
    const auto steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    auto now = start;
    for (const int step : steps)
    {
        now += milliseconds(step % 3);
        const auto name = std::to_string(step % 4);
        if (step < 60)
        {
            const auto request = tickets.request(name, std::to_string(step % 5),
                                                 now + milliseconds(step));
            const auto pushed = queue.push(request, 1 + step % 3, now, 2);
            if (pushed.displaced)
            {
                RC_ASSERT(waiting.erase(*pushed.displaced) == 1U);
            }
            if (pushed.accepted)
            {
                waiting.insert(request.ticket);
            }
        }
        else if (step < 90)
        {
            const auto popped = queue.pop();
            RC_ASSERT(popped.has_value() == !waiting.empty());
            if (popped)
            {
                RC_ASSERT(waiting.erase(popped->ticket) == 1U);
                queue.learn(popped->account, popped->caller,
                            milliseconds(step * step));
            }
        }
        else
        {
            for (const auto& item : queue.expire(now))
            {
                RC_ASSERT(waiting.erase(item.ticket) == 1U);
            }
        }
        RC_ASSERT(queue.size() == waiting.size());
    }
}

} // namespace
} // namespace limpetstack
