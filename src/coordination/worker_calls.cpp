#include "coordination/worker_calls.hpp"

#include "base/metrics.hpp"
#include "base/timer_service.hpp"

#include <tbb/global_control.h>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>

#include <array>
#include <string_view>
#include <utility>

namespace limpetstack
{
namespace
{

constexpr std::array<std::string_view, 6> action_names{
    "reserve", "commit", "renew", "stop", "checkpoint", "throttle"};

std::string counter_name(worker_action action, const absl::Status& status)
{
    std::string name = "worker_calls_total{action=\"";
    name += action_names[static_cast<std::size_t>(action)];
    name += status.ok() ? "\",outcome=\"ok\"}"
            : status.code() == absl::StatusCode::kFailedPrecondition
                ? "\",outcome=\"refused\"}"
                : "\",outcome=\"error\"}";
    return name;
}

} // namespace

// Operations have their own arena: a thread that waits for calls must not
// take up another operation, which can last seconds.
struct worker_calls::arenas
{
    explicit arenas(std::uint32_t parallel)
        : threads(tbb::global_control::max_allowed_parallelism,
                  2 * parallel + 1)
        , calls(static_cast<int>(parallel))
        , operations(static_cast<int>(parallel), 0)
    {
    }

    tbb::global_control threads; // Calls wait for the network, not for cores.
    tbb::task_arena calls;
    tbb::task_arena operations;
    tbb::task_group group;
};

task_status worker_call::status_of(const task_order& order) const
{
    for (const auto& status : *result)
    {
        if (status.job == order.job && status.attempt == order.attempt &&
            status.member == order.member)
        {
            return status;
        }
    }
    return {order.job, order.attempt, order.member, task_state::unknown, 0};
}

worker_calls::worker_calls(worker_control& control, timer_service& timers,
                           metrics& counters, std::uint32_t parallel)
    : control_(control)
    , timers_(timers)
    , counters_(counters)
{
    if (parallel > 1)
    {
        arenas_ = std::make_unique<arenas>(parallel);
    }
}

worker_calls::~worker_calls()
{
    wait();
}

void worker_calls::call(worker_action action, worker_call& one,
                        milliseconds timeout)
{
    one.sent = timers_.now();
    one.result = control_.call(action, one.address, one.request, timeout);
    one.answered = timers_.now();
    counters_.add(counter_name(action, one.result.status()));
}

void worker_calls::run(worker_action action, std::vector<worker_call>& batch,
                       milliseconds timeout)
{
    if (!arenas_ || batch.size() <= 1)
    {
        for (auto& one : batch)
        {
            call(action, one, timeout);
        }
        return;
    }
    arenas_->calls.execute(
        [&]
        {
            tbb::task_group group;
            for (auto& one : batch)
            {
                group.run(
                    [this, action, &one, timeout]
                    {
                        call(action, one, timeout);
                    });
            }
            group.wait();
        });
}

void worker_calls::spawn(std::function<void()> operation)
{
    if (!arenas_)
    {
        operation();
        return;
    }
    arenas_->operations.enqueue(arenas_->group.defer(std::move(operation)));
}

void worker_calls::wait()
{
    if (arenas_)
    {
        arenas_->operations.execute(
            [this]
            {
                arenas_->group.wait();
            });
    }
}

} // namespace limpetstack
