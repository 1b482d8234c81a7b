#pragma once

#include "base/clock.hpp"
#include "protocol/external_protocol.hpp"

#include <functional>

namespace limpetstack::fleet
{

/// A worker's answer to a hold or list request. `lists` is valid only when the
/// order was accepted.
struct hold_answer
{
    order_result result = order_result::unknown;
    worker_lists lists;
    bool connection_closed = false; // The worker closed the connection.
};

/// Workers answer within a few milliseconds. An order without an answer after
/// this time is repeated on a new connection.
constexpr milliseconds order_timeout{300};

/// Time before an order or a hold that failed is repeated.
constexpr milliseconds order_retry_delay{150};

/// Returns true when the answer proves that the worker will not start the run
/// any more, and that it is stopping it if it is there.
inline bool acknowledges_stop(order_result result)
{
    return result == order_result::accepted || result == order_result::old_run;
}

/// Sends orders to workers. Callbacks run later, on the same thread; they may
/// never run once the port's owner no longer leads.
class worker_port
{
public:
    virtual ~worker_port() = default;

    /// `timeout` limits the time until the answer.
    virtual void start(const worker_record& worker, const start_order& order,
                       milliseconds timeout,
                       std::function<void(const order_answer&)> done) = 0;
    virtual void stop(const worker_record& worker, const run_ref& run,
                      std::uint64_t epoch, milliseconds timeout,
                      std::function<void(const order_answer&)> done) = 0;

    /// Sets the share of its speed at which a run works. The order is
    /// idempotent.
    virtual void pace(const worker_record& worker, const pace_order& order,
                      milliseconds timeout,
                      std::function<void(const order_answer&)> done) = 0;

    /// Requests the lists with a long poll: the worker answers when a run ends
    /// or the order's wait limit is reached. Holds use a connection of their
    /// own.
    virtual void hold(const worker_record& worker, const hold_order& order,
                      std::function<void(const hold_answer&)> done) = 0;

    /// Requests the lists at once, behind the orders that were sent before.
    virtual void
    request_lists(const worker_record& worker, const hold_order& order,
                  std::function<void(const hold_answer&)> done) = 0;

    /// Closes the connections to a worker incarnation that no longer exists.
    virtual void close_connections(const worker_record& worker) = 0;
};

} // namespace limpetstack::fleet
