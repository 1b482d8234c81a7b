#include "base/manual_timer_service.hpp"
#include "base/system_timer_service.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

namespace limpetstack
{
namespace
{

// Guards against callbacks that run out of order or more often than due.
TEST(timer_service, manual_clock_runs_due_callbacks_in_order)
{
    manual_timer_service timers;
    std::string calls;
    const auto a = timers.every(milliseconds(10),
                                [&](time_point)
                                {
                                    calls += 'a';
                                });
    const auto b = timers.after(milliseconds(15),
                                [&](time_point)
                                {
                                    calls += 'b';
                                });
    timers.advance(milliseconds(30));
    EXPECT_EQ(calls, "abaa");
}

// Guards against a callback on an object that is already destroyed.
TEST(timer_service, dropped_subscription_is_not_called)
{
    manual_timer_service timers;
    int calls = 0;
    auto subscription = timers.every(milliseconds(10),
                                     [&](time_point)
                                     {
                                         ++calls;
                                     });
    timers.advance(milliseconds(10));
    subscription.reset();
    timers.advance(milliseconds(100));
    EXPECT_EQ(calls, 1);
}

// Guards against a cancel that returns while the callback still runs.
TEST(timer_service, cancel_waits_for_a_running_callback)
{
    system_timer_service timers(2);
    std::promise<void> started;
    std::atomic<bool> finished{false};
    auto subscription =
        timers.after(milliseconds(1),
                     [&](time_point)
                     {
                         started.set_value();
                         std::this_thread::sleep_for(milliseconds(20));
                         finished = true;
                     });
    started.get_future().wait();
    subscription.reset();
    EXPECT_TRUE(finished);
}

} // namespace
} // namespace limpetstack
