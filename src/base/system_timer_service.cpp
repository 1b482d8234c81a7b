#include "base/system_timer_service.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace limpetstack
{
namespace
{

struct timer
{
    milliseconds period; // Zero for a one-shot timer.
    timer_service::callback run;
    // Held while the callback runs, so that cancelling waits for it.
    std::recursive_mutex running;
    std::atomic<bool> cancelled{false};
};

} // namespace

struct system_timer_service::state
{
    std::mutex mutex;
    std::condition_variable wake;
    std::multimap<time_point, std::shared_ptr<timer>> queue;
    bool stopping = false;
    std::vector<std::thread> threads;

    timer_subscription schedule(const std::shared_ptr<state>& self,
                                milliseconds delay, milliseconds period,
                                callback run);
    void work();
};

timer_subscription
system_timer_service::state::schedule(const std::shared_ptr<state>& self,
                                      milliseconds delay, milliseconds period,
                                      callback run)
{
    auto entry = std::make_shared<timer>();
    entry->period = period;
    entry->run = std::move(run);
    {
        const std::lock_guard lock(mutex);
        queue.emplace(steady_now() + delay, entry);
    }
    wake.notify_one();
    return timer_subscription(entry.get(),
                              [entry, self](void*)
                              {
                                  const std::lock_guard lock(entry->running);
                                  entry->cancelled = true;
                              });
}

void system_timer_service::state::work()
{
    std::unique_lock lock(mutex);
    while (!stopping)
    {
        if (queue.empty())
        {
            wake.wait(lock);
            continue;
        }
        const auto first = queue.begin();
        const auto due = first->first;
        if (steady_now() < due)
        {
            wake.wait_until(lock, due);
            continue;
        }
        const auto entry = first->second;
        queue.erase(first);
        lock.unlock();
        {
            const std::lock_guard running(entry->running);
            if (!entry->cancelled)
            {
                entry->run(steady_now());
            }
        }
        lock.lock();
        if (entry->period.count() > 0 && !entry->cancelled)
        {
            queue.emplace(steady_now() + entry->period, entry);
            wake.notify_one();
        }
    }
}

system_timer_service::system_timer_service(int threads)
    : state_(std::make_shared<state>())
{
    for (int i = 0; i < threads; ++i)
    {
        state_->threads.emplace_back(
            [state = state_.get()]
            {
                state->work();
            });
    }
}

system_timer_service::~system_timer_service()
{
    {
        const std::lock_guard lock(state_->mutex);
        state_->stopping = true;
    }
    state_->wake.notify_all();
    for (auto& thread : state_->threads)
    {
        thread.join();
    }
    state_->queue.clear();
}

timer_subscription system_timer_service::every(milliseconds period,
                                               callback run)
{
    return state_->schedule(state_, period, period, std::move(run));
}

timer_subscription system_timer_service::after(milliseconds delay, callback run)
{
    return state_->schedule(state_, delay, milliseconds(0), std::move(run));
}

} // namespace limpetstack
