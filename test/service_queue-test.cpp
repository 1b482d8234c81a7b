#include "coordination/service_queue.hpp"

#include "base/metrics.hpp"
#include "base/system_timer_service.hpp"
#include "state/registry.hpp"
#include "support/soft_state_cluster.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

namespace limpetstack
{
namespace
{

class service_queue_test : public testing::Test
{
protected:
    service_queue_test()
        : queue("check", "dc1", 8, state, timers, counters,
                [this]
                {
                    return evacuated.load();
                })
        , ticks(timers.every(milliseconds(2),
                             [this](time_point now)
                             {
                                 queue.tick(now);
                             }))
    {
    }

    void announce(const std::string& id, std::uint64_t sequence,
                  wire::upstream_state kind = wire::upstream_ready,
                  std::uint32_t slots = 2)
    {
        auto entry = make_upstream(id, "dc1", sequence);
        entry.set_state(kind);
        entry.set_slots(slots);
        state.merge(entry, timers.now());
    }

    slot_request request(milliseconds time) const
    {
        slot_request out;
        out.account = "a";
        out.caller = "c";
        out.deadline = timers.now() + time;
        return out;
    }

    std::atomic<bool> evacuated{false};
    system_timer_service timers{1};
    metrics counters;
    registry state{milliseconds(60000), milliseconds(60000)};
    service_queue queue;
    timer_subscription ticks;
};

constexpr milliseconds long_time{60000};
constexpr milliseconds short_time{30};

// Guards against more requests on an upstream than it has slots.
TEST_F(service_queue_test, slots_are_never_exceeded)
{
    announce("u", 1);
    announce("v", 1);
    std::atomic<int> at_once{0};
    std::atomic<int> most{0};
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        threads.emplace_back(
            [&]
            {
                for (int j = 0; j < 50; ++j)
                {
                    const auto self = request(long_time);
                    const auto granted = queue.acquire(self);
                    const int now = ++at_once;
                    int seen = most;
                    while (now > seen && !most.compare_exchange_weak(seen, now))
                    {
                    }
                    std::this_thread::yield();
                    --at_once;
                    queue.release(self, granted.upstream->id(),
                                  slot_use::answered, milliseconds(1));
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_LE(most, 4);
    EXPECT_EQ(queue.in_use("u") + queue.in_use("v"), 0U);
}

// Guards against new work for an upstream that has announced its departure,
// and against slots that are lost or doubled when it returns.
TEST_F(service_queue_test, leaving_upstream_gets_nothing_new)
{
    announce("u", 1);
    const auto first = request(long_time);
    ASSERT_EQ(queue.acquire(first).outcome, slot_outcome::granted);
    announce("u", 2, wire::upstream_leaving);
    EXPECT_EQ(queue.acquire(request(short_time)).outcome,
              slot_outcome::expired);
    announce("u", 3);
    const auto second = request(long_time);
    ASSERT_EQ(queue.acquire(second).outcome, slot_outcome::granted);
    EXPECT_EQ(queue.acquire(request(short_time)).outcome,
              slot_outcome::expired);
    queue.release(first, "u", slot_use::answered, milliseconds(1));
    EXPECT_EQ(queue.acquire(request(short_time)).outcome,
              slot_outcome::granted);
}

// Guards against a retry that goes to the upstream that has just failed while
// another is ready, and against one that waits for ever for another.
TEST_F(service_queue_test, repeated_request_prefers_other_upstreams)
{
    announce("u", 1);
    announce("v", 1);
    auto again = request(long_time);
    again.again = true;
    again.tried = {"u"};
    for (int i = 0; i < 2; ++i)
    {
        EXPECT_EQ(queue.acquire(again).upstream->id(), "v");
    }
    queue.release(again, "v", slot_use::unused, milliseconds(0));
    again.tried = {"u", "v"};
    EXPECT_EQ(queue.acquire(again).outcome, slot_outcome::granted);
}

// Guards against waits without a bound when the queue is full.
TEST_F(service_queue_test, full_queue_refuses)
{
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        threads.emplace_back(
            [&]
            {
                EXPECT_EQ(queue.acquire(request(long_time)).outcome,
                          slot_outcome::granted);
            });
    }
    while (queue.waiting() < 8)
    {
        std::this_thread::yield();
    }
    const auto refused = queue.acquire(request(long_time));
    EXPECT_EQ(refused.outcome, slot_outcome::displaced);
    EXPECT_GT(refused.retry_after, milliseconds(0));
    announce("u", 1, wire::upstream_ready, 8);
    for (auto& thread : threads)
    {
        thread.join();
    }
}

// Guards against slots that are granted in an evacuated data centre, against
// requests that wait there while another could serve them, and against a slot
// that is lost when its request ends during the evacuation.
TEST_F(service_queue_test, evacuated_data_centre_grants_no_slot)
{
    announce("u", 1, wire::upstream_ready, 1);
    const auto running = request(long_time);
    ASSERT_EQ(queue.acquire(running).outcome, slot_outcome::granted);
    auto waiting = std::async(std::launch::async,
                              [&]
                              {
                                  return queue.acquire(request(long_time));
                              });
    while (queue.waiting() < 1)
    {
        std::this_thread::yield();
    }
    evacuated = true;
    const auto turned_away = waiting.get();
    EXPECT_EQ(turned_away.outcome, slot_outcome::evacuated);
    EXPECT_GT(turned_away.retry_after, milliseconds(0));
    EXPECT_EQ(queue.in_use("u"), 1U);
    queue.release(running, "u", slot_use::answered, milliseconds(1));
    auto again = request(long_time);
    again.again = true;
    EXPECT_EQ(queue.acquire(again).outcome, slot_outcome::evacuated);
    EXPECT_EQ(queue.in_use("u"), 0U);
    evacuated = false;
    EXPECT_EQ(queue.acquire(request(long_time)).outcome, slot_outcome::granted);
}

} // namespace
} // namespace limpetstack
