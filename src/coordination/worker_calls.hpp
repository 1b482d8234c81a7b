#pragma once

#include "coordination/worker_control.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack
{

class metrics;
class timer_service;

/// One call of a batch and its outcome.
struct worker_call
{
    std::string worker;
    std::string address;
    worker_request request;
    absl::StatusOr<std::vector<task_status>> result =
        absl::UnknownError("not called");
    time_point sent{};
    time_point answered{};

    /// Returns the status of a task, `unknown` when the worker did not list
    /// it. The result must be ok.
    task_status status_of(const task_order& order) const;
};

/// Calls many workers at once, with a bound on the calls in progress, and runs
/// longer operations that consist of such calls.
class worker_calls
{
public:
    /// With `parallel` 1 everything runs on the calling thread, in order.
    worker_calls(worker_control& control, timer_service& timers,
                 metrics& counters, std::uint32_t parallel);
    ~worker_calls();

    worker_calls(const worker_calls&) = delete;
    worker_calls& operator=(const worker_calls&) = delete;

    /// Makes all calls and waits for them.
    void run(worker_action action, std::vector<worker_call>& batch,
             milliseconds timeout);

    /// Runs an operation in the background.
    void spawn(std::function<void()> operation);

    /// Waits for all operations.
    void wait();

private:
    void call(worker_action action, worker_call& one, milliseconds timeout);

    struct arenas;
    worker_control& control_;
    timer_service& timers_;
    metrics& counters_;
    std::unique_ptr<arenas> arenas_; // Null: on the calling thread.
};

} // namespace limpetstack
