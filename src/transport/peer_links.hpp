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

struct peer_links_options
{
    milliseconds ping_interval{500};
    milliseconds silence_timeout{1500}; // Then a connection is given up.
    milliseconds redial_delay{200};
};

/// Keeps one dialled connection to each target address, pings it and gives it
/// up when nothing comes back. For the thread that runs `io`.
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

    void set_targets(const std::set<std::string>& addresses);

    /// Sends when the connection is up; false otherwise.
    bool send(const std::string& address, const fleet::peer_frame& frame);

private:
    struct target;
    void dial(const std::shared_ptr<target>& item);
    void on_connected(const std::shared_ptr<target>& item,
                      boost::asio::ip::tcp::socket socket);
    void send_ping(target& item);
    void lose(const std::shared_ptr<target>& item);
    void schedule();
    void check();

    boost::asio::io_context& io_;
    const peer_links_options options_;
    ping_maker make_ping_;
    frame_handler on_frame_;
    state_handler on_state_;
    boost::asio::steady_timer timer_;
    std::map<std::string, std::shared_ptr<target>> targets_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack
