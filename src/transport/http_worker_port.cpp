#include "transport/http_worker_port.hpp"

#include "base/clock.hpp"
#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// A channel whose current call has waited for this long gets no more orders
// while fewer than `max_order_channels` are open.
constexpr milliseconds stalled_after{40};
constexpr std::size_t max_order_channels = 4;

// Time that a hold with a wait limit may take beyond that limit.
constexpr milliseconds hold_slack{600};

constexpr unsigned status_ok = 200;

} // namespace

http_worker_port::http_worker_port(boost::asio::io_context& io,
                                   const external_protocol& protocol)
    : io_(io)
    , protocol_(protocol)
{
}

http_worker_port::channels&
http_worker_port::channels_of(const worker_record& worker)
{
    auto& item = channels_[worker.id()];
    if (item.address != worker.address())
    {
        item.address = worker.address();
        item.orders.clear();
        item.holds = std::make_unique<http_channel>(io_, item.address);
    }
    return item;
}

// Returns the channel with the fewest pending calls among those that are not
// stalled. When all are stalled, opens a new one, or returns the channel with
// the fewest calls if there are `max_order_channels` already.
http_channel& http_worker_port::order_channel(const worker_record& worker)
{
    auto& item = channels_of(worker);
    http_channel* best = nullptr;
    for (const auto& channel : item.orders)
    {
        if (channel->waited() < stalled_after &&
            (best == nullptr || channel->backlog() < best->backlog()))
        {
            best = channel.get();
        }
    }
    if (best != nullptr)
    {
        return *best;
    }
    if (item.orders.size() < max_order_channels)
    {
        item.orders.push_back(
            std::make_unique<http_channel>(io_, item.address));
        return *item.orders.back();
    }
    return **std::min_element(item.orders.begin(), item.orders.end(),
                              [](const auto& a, const auto& b)
                              {
                                  return a->backlog() < b->backlog();
                              });
}

void http_worker_port::close_connections(const worker_record& worker)
{
    channels_.erase(worker.id());
}

void http_worker_port::send_order(http_channel& channel,
                                  const outgoing_call& call,
                                  milliseconds timeout,
                                  std::function<void(const order_answer&)> done)
{
    channel.send(
        call.method, call.target, call.headers, call.body, timeout,
        [this, done = std::move(done)](const http_channel_answer& answer)
        {
            done(answer.status == 0
                     ? order_answer()
                     : protocol_.decode_order(answer.status, answer.body));
        });
}

void http_worker_port::start(const worker_record& worker,
                             const start_order& order, milliseconds timeout,
                             std::function<void(const order_answer&)> done)
{
    send_order(order_channel(worker), protocol_.encode_start(order), timeout,
               std::move(done));
}

void http_worker_port::stop(const worker_record& worker, const run_ref& run,
                            std::uint64_t epoch, milliseconds timeout,
                            std::function<void(const order_answer&)> done)
{
    send_order(order_channel(worker),
               protocol_.encode_stop(run, worker.id(), epoch), timeout,
               std::move(done));
}

void http_worker_port::send_hold(http_channel& channel, const hold_order& order,
                                 std::function<void(const hold_answer&)> done)
{
    const auto call = protocol_.encode_hold(order);
    channel.send(
        call.method, call.target, call.headers, call.body,
        order.wait_limit_ms > 0 ? milliseconds(order.wait_limit_ms) + hold_slack
                                : order_timeout,
        [this, worker = order.worker,
         done = std::move(done)](const http_channel_answer& answer)
        {
            hold_answer out;
            out.connection_closed = answer.closed;
            if (answer.status == status_ok)
            {
                auto lists = protocol_.decode_lists(answer.body);
                if (lists.ok())
                {
                    out.result = order_result::accepted;
                    out.lists = std::move(*lists);
                }
                else
                {
                    log_event(
                        log_level::warning, "lists_refused",
                        {{"worker", worker},
                         {"reason", std::string(lists.status().message())}});
                }
            }
            else if (answer.status != 0)
            {
                out.result =
                    protocol_.decode_order(answer.status, answer.body).result;
            }
            done(out);
        });
}

void http_worker_port::hold(const worker_record& worker,
                            const hold_order& order,
                            std::function<void(const hold_answer&)> done)
{
    send_hold(*channels_of(worker).holds, order, std::move(done));
}

void http_worker_port::request_lists(
    const worker_record& worker, const hold_order& order,
    std::function<void(const hold_answer&)> done)
{
    send_hold(order_channel(worker), order, std::move(done));
}

} // namespace limpetstack::fleet
