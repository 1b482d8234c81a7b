#include "coordination/worker_calls.hpp"

#include "base/metrics.hpp"
#include "base/system_timer_service.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace limpetstack
{
namespace
{

/// Answers a call only when all calls of the batch have arrived.
class meeting_control : public worker_control
{
public:
    explicit meeting_control(int expected)
        : expected_(expected)
    {
    }

    absl::StatusOr<std::vector<task_status>>
    call(worker_action /*action*/, const std::string& /*address*/,
         const worker_request& /*request*/, milliseconds /*timeout*/) override
    {
        std::unique_lock lock(mutex_);
        ++arrived_;
        changed_.notify_all();
        const bool met = changed_.wait_for(lock, std::chrono::seconds(20),
                                           [this]
                                           {
                                               return arrived_ >= expected_;
                                           });
        return met ? absl::StatusOr<std::vector<task_status>>(
                         std::vector<task_status>())
                   : absl::DeadlineExceededError("alone");
    }

private:
    const int expected_;
    int arrived_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
};

// Guards against calls that wait for one another on a machine with few cores,
// also when they are made by operations in the background.
TEST(worker_calls, calls_of_operations_run_at_the_same_time)
{
    constexpr int operations = 4;
    constexpr int calls_each = 4;
    meeting_control control(operations * calls_each);
    system_timer_service timers(1);
    metrics counters;
    worker_calls calls(control, timers, counters, 32);
    std::atomic<int> answered{0};
    for (int i = 0; i < operations; ++i)
    {
        calls.spawn(
            [&]
            {
                std::vector<worker_call> batch(calls_each);
                calls.run(worker_action::renew, batch, milliseconds(1000));
                for (const auto& call : batch)
                {
                    answered += call.result.ok() ? 1 : 0;
                }
            });
    }
    calls.wait();
    EXPECT_EQ(answered, operations * calls_each);
    EXPECT_EQ(
        counters.counter("worker_calls_total{action=\"renew\",outcome=\"ok\"}"),
        static_cast<std::uint64_t>(operations * calls_each));
}

} // namespace
} // namespace limpetstack
