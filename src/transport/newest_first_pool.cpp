#include "transport/newest_first_pool.hpp"

#include <utility>

namespace limpetstack
{

newest_first_pool::newest_first_pool(std::size_t threads)
{
    for (std::size_t i = 0; i < threads; ++i)
    {
        threads_.emplace_back(
            [this]
            {
                work();
            });
    }
}

newest_first_pool::~newest_first_pool()
{
    shutdown();
}

void newest_first_pool::enqueue(std::function<void()> task)
{
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back(std::move(task));
    }
    added_.notify_one();
}

void newest_first_pool::shutdown()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    added_.notify_all();
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
}

void newest_first_pool::work()
{
    for (;;)
    {
        std::function<void()> task;
        {
            std::unique_lock lock(mutex_);
            added_.wait(lock,
                        [this]
                        {
                            return stopping_ || !waiting_.empty();
                        });
            if (waiting_.empty())
            {
                return;
            }
            task = std::move(waiting_.back());
            waiting_.pop_back();
        }
        task();
    }
}

} // namespace limpetstack
