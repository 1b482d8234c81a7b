#pragma once

#include "base/clock.hpp"
#include "transport/frame_link.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace limpetstack
{

/// Times of the connections between hosts.
struct peer_links_options
{
    milliseconds ping_interval{500};
    // A connection on which no frame arrived for this long is closed, and an
    // attempt to connect is abandoned after it.
    milliseconds silence_timeout{1500};
    milliseconds redial_delay{200}; // Pause before the next attempt to connect.
};

/// Maintains one outgoing connection to each target address. Pings each
/// connection, and closes and reopens it when no frame comes back. Not
/// thread-safe: to be used on the thread that runs `io`.
class peer_links
{
public:
    using frame_handler = std::function<void(const std::string& address,
                                             const fleet::peer_frame&)>;
    using state_handler =
        std::function<void(const std::string& address, bool up)>;
    using ping_maker = std::function<fleet::ping()>;

    peer_links(boost::asio::io_context& io, const peer_links_options& options,
               ping_maker make_ping, frame_handler on_frame,
               state_handler on_state);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    /// Replaces the set of target addresses (IP:port). Connects to new
    /// addresses and closes connections to those that are no longer listed.
    void set_targets(const std::set<std::string>& addresses);

    /// Queues a frame on the connection to `address`. Returns false when there
    /// is no connection.
    bool send(const std::string& address, const fleet::peer_frame& frame);

private:
    struct target;
    void dial(const std::shared_ptr<target>& item);
    void on_connected(const std::shared_ptr<target>& item,
                      boost::asio::ip::tcp::socket socket);
    void send_ping(target& item);
    void disconnect(const std::shared_ptr<target>& item);
    void schedule();
    void check();

    boost::asio::io_context& io_;
    const peer_links_options options_;
    ping_maker make_ping_;
    frame_handler on_frame_;
    state_handler on_state_;
    boost::asio::steady_timer timer_;
    std::map<std::string, std::shared_ptr<target>> targets_;

    // Callbacks hold a weak pointer to it and do nothing once it has expired,
    // because this object is destroyed then.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack
