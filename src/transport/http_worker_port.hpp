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

/// Carries orders to workers over HTTP: one connection to each worker for calls
/// that wait and one for the others, with more while its answers fail to come.
class http_worker_port : public worker_port
{
public:
    http_worker_port(boost::asio::io_context& io,
                     const external_protocol& protocol);

    void start(const worker_record& worker, const start_order& order,
               std::function<void(const order_answer&)> done) override;
    void stop(const worker_record& worker, const run_ref& run,
              std::uint64_t epoch,
              std::function<void(const order_answer&)> done) override;
    void hold(const worker_record& worker, const hold_order& order,
              std::function<void(const hold_answer&)> done) override;
    void request_lists(const worker_record& worker, const hold_order& order,
                       std::function<void(const hold_answer&)> done) override;
    void close_connections(const worker_record& worker) override;

private:
    struct channels
    {
        std::string address;
        std::vector<std::unique_ptr<http_channel>> orders;
        std::unique_ptr<http_channel> waiting;
    };
    channels& channels_of(const worker_record& worker);
    http_channel& order_channel(const worker_record& worker);
    void send_order(http_channel& channel, const outgoing_call& call,
                    std::function<void(const order_answer&)> done);
    void send_hold(http_channel& channel, const hold_order& order,
                   std::function<void(const hold_answer&)> done);

    boost::asio::io_context& io_;
    const external_protocol& protocol_;
    std::map<std::string, channels> channels_; // By worker id.
};

} // namespace limpetstack::fleet
