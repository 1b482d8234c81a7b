#include "coordination/fleet/guarded_worker_port.hpp"

#include <utility>

namespace limpetstack::fleet
{

guarded_worker_port::guarded_worker_port(worker_port& port, permission may_act,
                                         deferrer defer, metrics& counters)
    : port_(port)
    , may_act_(std::move(may_act))
    , defer_(std::move(defer))
    , counters_(counters)
{
}

// Returns true when the process may not act. The order then has no answer.
template <class Answer>
bool guarded_worker_port::withhold(
    const std::function<void(const Answer&)>& done)
{
    if (may_act_())
    {
        return false;
    }
    counters_.add("orders_withheld_total");
    defer_(
        [done]
        {
            done(Answer());
        });
    return true;
}

void guarded_worker_port::start(const worker_record& worker,
                                const start_order& order, milliseconds timeout,
                                std::function<void(const order_answer&)> done)
{
    if (!withhold(done))
    {
        port_.start(worker, order, timeout, std::move(done));
    }
}

void guarded_worker_port::stop(const worker_record& worker, const run_ref& run,
                               std::uint64_t epoch, milliseconds timeout,
                               std::function<void(const order_answer&)> done)
{
    if (!withhold(done))
    {
        port_.stop(worker, run, epoch, timeout, std::move(done));
    }
}

void guarded_worker_port::pace(const worker_record& worker,
                               const pace_order& order, milliseconds timeout,
                               std::function<void(const order_answer&)> done)
{
    if (!withhold(done))
    {
        port_.pace(worker, order, timeout, std::move(done));
    }
}

void guarded_worker_port::hold(const worker_record& worker,
                               const hold_order& order,
                               std::function<void(const hold_answer&)> done)
{
    if (!withhold(done))
    {
        port_.hold(worker, order, std::move(done));
    }
}

void guarded_worker_port::request_lists(
    const worker_record& worker, const hold_order& order,
    std::function<void(const hold_answer&)> done)
{
    if (!withhold(done))
    {
        port_.request_lists(worker, order, std::move(done));
    }
}

void guarded_worker_port::close_connections(const worker_record& worker)
{
    port_.close_connections(worker);
}

} // namespace limpetstack::fleet
