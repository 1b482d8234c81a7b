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
    std::condition_variable wake; // The thread that watches the queue.
    std::condition_variable idle; // All others.
    bool watched = false;         // A thread waits for the first timer.
    std::multimap<time_point, std::shared_ptr<timer>> queue;
    bool stopping = false;
    std::vector<std::thread> threads;

    timer_subscription schedule(const std::shared_ptr<state>& self,
                                milliseconds delay, milliseconds period,
                                callback run);
    void add(time_point due, const std::shared_ptr<timer>& entry);
    void await_timer(std::unique_lock<std::mutex>& lock);
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
        add(steady_now() + delay, entry);
    }
    return timer_subscription(entry.get(),
                              [entry, self](void*)
                              {
                                  const std::lock_guard lock(entry->running);
                                  entry->cancelled = true;
                              });
}

// Waits until the first timer is due. One thread waits for that time; the
// others wait until they are called, so that a timer wakes one thread only.
void system_timer_service::state::await_timer(
    std::unique_lock<std::mutex>& lock)
{
    if (watched || queue.empty())
    {
        idle.wait(lock);
        return;
    }
    watched = true;
    wake.wait_until(lock, queue.begin()->first);
    watched = false;
}

void system_timer_service::state::work()
{
    std::unique_lock lock(mutex);
    while (!stopping)
    {
        if (queue.empty() || steady_now() < queue.begin()->first)
        {
            await_timer(lock);
            continue;
        }
        const auto entry = queue.begin()->second;
        queue.erase(queue.begin());
        // Another thread watches the queue while this one runs the callback.
        idle.notify_one();
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
            add(steady_now() + entry->period, entry);
        }
    }
}

// Called with the mutex held.
void system_timer_service::state::add(time_point due,
                                      const std::shared_ptr<timer>& entry)
{
    const auto at = queue.emplace(due, entry);
    if (at == queue.begin())
    {
        wake.notify_one();
    }
    if (!watched)
    {
        idle.notify_one();
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
    state_->idle.notify_all();
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
