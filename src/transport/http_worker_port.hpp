#pragma once

#include "coordination/fleet/worker_port.hpp"
#include "transport/http_channel.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Sends orders to workers over HTTP. Each worker has one connection for holds,
/// whose answers may be delayed, and one for all other orders. More connections
/// for orders are opened while answers to orders do not come. When the number
/// of open connections reaches a limit, those that were not used for the
/// longest time are closed.
class http_worker_port : public worker_port
{
public:
    /// `max_connections` limits the open connections; connections with a call
    /// in progress are never closed, so that more may be open.
    http_worker_port(boost::asio::io_context& io,
                     const external_protocol& protocol,
                     std::size_t max_connections);

    /// Returns the number of open connections.
    std::size_t open_connections() const;

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
    // The connections to one worker.
    struct channels
    {
        std::string address;
        std::vector<std::unique_ptr<http_channel>> orders;
        std::unique_ptr<http_channel> holds;
    };
    channels& channels_of(const worker_record& worker);
    std::vector<http_channel*> open_channels() const;
    void make_room(const http_channel& channel);
    http_channel& order_channel(const worker_record& worker);
    void send_order(http_channel& channel, const outgoing_call& call,
                    milliseconds timeout,
                    std::function<void(const order_answer&)> done);
    void send_hold(http_channel& channel, const hold_order& order,
                   std::function<void(const hold_answer&)> done);

    boost::asio::io_context& io_;
    const external_protocol& protocol_;
    const std::size_t max_connections_;
    // An upper bound of the open connections: closed ones are discounted when
    // it reaches the limit.
    std::size_t connections_bound_ = 0;
    std::map<std::string, channels> channels_; // By worker id.
};

} // namespace limpetstack::fleet
