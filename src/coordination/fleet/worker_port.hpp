#pragma once

#include "protocol/external_protocol.hpp"

#include <functional>

namespace limpetstack::fleet
{

/// The lists that a worker answered with; `lists` counts only when the order
/// was accepted.
struct hold_answer
{
    order_result result = order_result::unknown;
    worker_lists lists;
};

/// Carries orders to workers. Callbacks come later, from the same thread, and
/// may never come after the port's owner has stopped leading.
class worker_port
{
public:
    virtual ~worker_port() = default;

    virtual void start(const worker_record& worker, const start_order& order,
                       std::function<void(const order_answer&)> done) = 0;
    virtual void stop(const worker_record& worker, const run_ref& run,
                      std::uint64_t epoch,
                      std::function<void(const order_answer&)> done) = 0;

    /// Waits for an end on the worker's connection for waiting calls.
    virtual void hold(const worker_record& worker, const hold_order& order,
                      std::function<void(const hold_answer&)> done) = 0;

    /// Asks for the lists at once, after the orders that were sent before.
    virtual void
    request_lists(const worker_record& worker, const hold_order& order,
                  std::function<void(const hold_answer&)> done) = 0;

    /// Closes the connections to an incarnation that is gone.
    virtual void close_connections(const worker_record& worker) = 0;
};

} // namespace limpetstack::fleet
