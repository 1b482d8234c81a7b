#pragma once

#include "base/metrics.hpp"
#include "coordination/fleet/worker_port.hpp"

#include <functional>

namespace limpetstack::fleet
{

/// Passes orders on to another port as long as the process may act as leader.
/// A process that was suspended runs callbacks that were due meanwhile before
/// it finds out that another host leads; the orders that they send are
/// answered as unknown and not sent.
class guarded_worker_port : public worker_port
{
public:
    /// Returns true while this process may act as leader.
    using permission = std::function<bool()>;
    /// Runs a callback later, on the same thread.
    using deferrer = std::function<void(std::function<void()>)>;

    guarded_worker_port(worker_port& port, permission may_act, deferrer defer,
                        metrics& counters);

    void start(const worker_record& worker, const start_order& order,
               milliseconds timeout,
               std::function<void(const order_answer&)> done) override;
    void stop(const worker_record& worker, const run_ref& run,
              std::uint64_t epoch, milliseconds timeout,
              std::function<void(const order_answer&)> done) override;
    void pace(const worker_record& worker, const pace_order& order,
              milliseconds timeout,
              std::function<void(const order_answer&)> done) override;
    void hold(const worker_record& worker, const hold_order& order,
              std::function<void(const hold_answer&)> done) override;
    void request_lists(const worker_record& worker, const hold_order& order,
                       std::function<void(const hold_answer&)> done) override;
    void close_connections(const worker_record& worker) override;

private:
    template <class Answer>
    bool withhold(const std::function<void(const Answer&)>& done);

    worker_port& port_;
    permission may_act_;
    deferrer defer_;
    metrics& counters_;
};

} // namespace limpetstack::fleet
