#pragma once

#include "coordination/fleet/worker_port.hpp"

#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace limpetstack::fleet
{

/// Stores the orders that were sent, so that the test answers them.
class fake_worker_port : public worker_port
{
public:
    using order_callback = std::function<void(const order_answer&)>;
    using hold_callback = std::function<void(const hold_answer&)>;

    struct sent_start
    {
        start_order order;
        order_callback done;
        milliseconds timeout{0};
    };
    struct sent_stop
    {
        std::string worker;
        run_ref run;
        order_callback done;
        milliseconds timeout{0};
    };
    struct sent_pace
    {
        pace_order order;
        order_callback done;
    };
    struct sent_hold
    {
        hold_order order;
        hold_callback done;
    };

    void start(const worker_record&, const start_order& order,
               milliseconds timeout, order_callback done) override
    {
        starts.push_back({order, std::move(done), timeout});
    }
    void stop(const worker_record& worker, const run_ref& run, std::uint64_t,
              milliseconds timeout, order_callback done) override
    {
        stops.push_back({worker.id(), run, std::move(done), timeout});
    }
    void pace(const worker_record&, const pace_order& order, milliseconds,
              order_callback done) override
    {
        paces.push_back({order, std::move(done)});
    }
    void hold(const worker_record&, const hold_order& order,
              hold_callback done) override
    {
        holds.push_back({order, std::move(done)});
    }
    void request_lists(const worker_record&, const hold_order& order,
                       hold_callback done) override
    {
        list_requests.push_back({order, std::move(done)});
    }
    void close_connections(const worker_record& worker) override
    {
        closed.push_back(worker.id());
    }

    std::deque<sent_start> starts;
    std::deque<sent_stop> stops;
    std::deque<sent_pace> paces;
    std::deque<sent_hold> holds;
    std::deque<sent_hold> list_requests;
    std::deque<std::string> closed; // Workers whose connections were closed.
};

} // namespace limpetstack::fleet
