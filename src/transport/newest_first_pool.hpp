#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace limpetstack
{

/// Runs tasks on a fixed number of threads. When all are busy, the task that
/// was added last comes first: a crowd that was there before does not delay a
/// client that comes later. Thread-safe.
class newest_first_pool
{
public:
    explicit newest_first_pool(std::size_t threads);
    ~newest_first_pool();
    newest_first_pool(const newest_first_pool&) = delete;
    newest_first_pool& operator=(const newest_first_pool&) = delete;

    void enqueue(std::function<void()> task);

    /// Runs the tasks that wait, and ends the threads. To be called once no
    /// more tasks are added; further calls have no effect.
    void shutdown();

private:
    void work();

    std::mutex mutex_;
    std::condition_variable added_;
    std::vector<std::function<void()>> waiting_; // Oldest first.
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace limpetstack
