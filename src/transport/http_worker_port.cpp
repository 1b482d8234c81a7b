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
                                   const external_protocol& protocol,
                                   std::size_t max_connections)
    : io_(io)
    , protocol_(protocol)
    , max_connections_(max_connections)
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

std::vector<http_channel*> http_worker_port::open_channels() const
{
    std::vector<http_channel*> open;
    const auto add = [&open](const std::unique_ptr<http_channel>& channel)
    {
        if (channel != nullptr && channel->is_open())
        {
            open.push_back(channel.get());
        }
    };
    for (const auto& [id, item] : channels_)
    {
        add(item.holds);
        std::for_each(item.orders.begin(), item.orders.end(), add);
    }
    return open;
}

std::size_t http_worker_port::open_connections() const
{
    return open_channels().size();
}

// Closes idle connections when the one that a call on `channel` opens would
// exceed the limit. Some more are closed than needed, so that the channels are
// not searched for each new connection.
void http_worker_port::make_room(const http_channel& channel)
{
    if (channel.is_open() || ++connections_bound_ <= max_connections_)
    {
        return;
    }
    auto open = open_channels();
    std::sort(open.begin(), open.end(),
              [](const http_channel* a, const http_channel* b)
              {
                  return a->last_used() < b->last_used();
              });
    const auto wanted = max_connections_ - max_connections_ / 8;
    auto left = open.size();
    for (auto* const item : open)
    {
        if (left < wanted)
        {
            break;
        }
        if (item->backlog() == 0)
        {
            item->close_if_idle();
            --left;
        }
    }
    connections_bound_ = left + 1;
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
    make_room(channel);
    channel.send(
        call.method, call.target, call.headers, call.body, timeout,
        [this, done = std::move(done)](const http_channel_answer& answer)
        {
            auto out = answer.status == 0
                           ? order_answer()
                           : protocol_.decode_order(answer.status, answer.body);
            out.on_new_connection = answer.sent && answer.on_new_connection;
            done(out);
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

void http_worker_port::pace(const worker_record& worker,
                            const pace_order& order, milliseconds timeout,
                            std::function<void(const order_answer&)> done)
{
    send_order(order_channel(worker), protocol_.encode_pace(order), timeout,
               std::move(done));
}

void http_worker_port::send_hold(http_channel& channel, const hold_order& order,
                                 std::function<void(const hold_answer&)> done)
{
    const auto call = protocol_.encode_hold(order);
    make_room(channel);
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
