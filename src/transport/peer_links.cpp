#include "transport/peer_links.hpp"

#include "transport/address.hpp"

#include <utility>

namespace limpetstack
{
namespace
{

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

// Connections are checked more often than pings are due, so that a ping is late
// by at most a part of the interval.
constexpr int checks_per_ping = 2;

} // namespace

struct peer_links::target
{
    std::string address;
    std::shared_ptr<frame_connection> connection;
    std::shared_ptr<tcp::socket> connecting; // Socket of an attempt to connect.
    time_point last_received; // Of a frame; at first the start of the attempt.
    time_point last_ping;     // When the last ping was sent.
    time_point dial_at;       // Earliest time of the next attempt to connect.
    bool up = false;          // A frame came on the current connection.
    bool wanted = true;       // False once it is no longer a target.
};

peer_links::peer_links(boost::asio::io_context& io,
                       const peer_links_options& options, ping_maker make_ping,
                       frame_handler on_frame, state_handler on_state)
    : io_(io)
    , options_(options)
    , make_ping_(std::move(make_ping))
    , on_frame_(std::move(on_frame))
    , on_state_(std::move(on_state))
    , timer_(io)
{
    schedule();
}

peer_links::~peer_links()
{
    alive_.reset();
    for (const auto& [address, item] : targets_)
    {
        // The target owns the connection, and the connection's handlers own the
        // target. This breaks the cycle.
        item->wanted = false;
        if (const auto connection = std::exchange(item->connection, nullptr))
        {
            connection->close();
        }
    }
}

void peer_links::schedule()
{
    timer_.expires_after(options_.ping_interval / checks_per_ping);
    timer_.async_wait(
        [this, alive = std::weak_ptr<int>(alive_)](error_code error)
        {
            if (!error && !alive.expired())
            {
                check();
                schedule();
            }
        });
}

void peer_links::check()
{
    const auto now = boot_now();
    const auto targets = targets_;
    for (const auto& [address, item] : targets)
    {
        const bool busy = item->connection || item->connecting;
        if (busy && now - item->last_received >= options_.silence_timeout)
        {
            disconnect(item);
        }
        else if (item->connection &&
                 now - item->last_ping >= options_.ping_interval)
        {
            send_ping(*item);
        }
        else if (!busy && now >= item->dial_at)
        {
            dial(item);
        }
    }
}

void peer_links::set_targets(const std::set<std::string>& addresses)
{
    for (auto at = targets_.begin(); at != targets_.end();)
    {
        if (addresses.count(at->first) == 0)
        {
            const auto item = at->second;
            item->wanted = false;
            at = targets_.erase(at);
            disconnect(item);
        }
        else
        {
            ++at;
        }
    }
    for (const auto& address : addresses)
    {
        auto& item = targets_[address];
        if (!item)
        {
            item = std::make_shared<target>();
            item->address = address;
            dial(item);
        }
    }
}

void peer_links::dial(const std::shared_ptr<target>& item)
{
    const auto endpoint = parse_endpoint(item->address);
    if (!endpoint)
    {
        item->dial_at = boot_now() + options_.silence_timeout;
        return;
    }
    item->last_received = boot_now();
    const auto socket = std::make_shared<tcp::socket>(io_);
    item->connecting = socket;
    socket->async_connect(*endpoint,
                          [this, item, socket,
                           alive = std::weak_ptr<int>(alive_)](error_code error)
                          {
                              if (alive.expired() || item->connecting != socket)
                              {
                                  return;
                              }
                              item->connecting.reset();
                              if (error || !item->wanted)
                              {
                                  item->dial_at =
                                      boot_now() + options_.redial_delay;
                                  return;
                              }
                              on_connected(item, std::move(*socket));
                          });
}

void peer_links::on_connected(const std::shared_ptr<target>& item,
                              tcp::socket socket)
{
    const auto connection =
        std::make_shared<frame_connection>(std::move(socket));
    item->connection = connection;
    item->last_received = boot_now();
    const std::weak_ptr<int> alive = alive_;
    connection->start(
        [this, item, alive](const std::shared_ptr<frame_connection>& from,
                            const fleet::peer_frame& frame)
        {
            if (alive.expired() || item->connection != from)
            {
                return;
            }
            item->last_received = boot_now();
            if (!item->up)
            {
                item->up = true;
                on_state_(item->address, true);
            }
            on_frame_(item->address, frame);
        },
        [this, item, connection = connection.get(), alive]
        {
            if (!alive.expired() && item->connection.get() == connection)
            {
                disconnect(item);
            }
        });
    send_ping(*item);
}

void peer_links::send_ping(target& item)
{
    item.last_ping = boot_now();
    fleet::peer_frame frame;
    *frame.mutable_ping() = make_ping_();
    item.connection->send(frame);
}

void peer_links::disconnect(const std::shared_ptr<target>& item)
{
    item->dial_at = boot_now() + options_.redial_delay;
    if (item->connecting)
    {
        const auto socket = std::exchange(item->connecting, nullptr);
        error_code ignored;
        socket->close(ignored);
    }
    if (const auto connection = std::exchange(item->connection, nullptr))
    {
        connection->close();
    }
    if (std::exchange(item->up, false))
    {
        on_state_(item->address, false);
    }
}

bool peer_links::send(const std::string& address,
                      const fleet::peer_frame& frame)
{
    const auto found = targets_.find(address);
    if (found == targets_.end() || !found->second->connection)
    {
        return false;
    }
    found->second->connection->send(frame);
    return true;
}

} // namespace limpetstack
