#pragma once

#include "base/clock.hpp"

#include "fleet.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack
{

/// One connection between two hosts that carries frames both ways: four bytes
/// of length in network order, then the message. For the thread that runs the
/// io context.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    using frame_handler = std::function<void(
        const std::shared_ptr<frame_connection>&, const fleet::peer_frame&)>;
    using close_handler = std::function<void()>;

    explicit frame_connection(boost::asio::ip::tcp::socket socket);

    void start(frame_handler on_frame, close_handler on_close);

    /// Queues a frame; a peer that does not read loses its connection.
    void send(const fleet::peer_frame& frame);

    void close();
    bool is_open() const { return open_; }

    /// Returns when the last bytes arrived.
    time_point heard() const { return heard_; }

private:
    void read();
    void take_frames();
    void write();

    boost::asio::ip::tcp::socket socket_;
    frame_handler on_frame_;
    close_handler on_close_;
    std::string received_;
    std::string chunk_;
    std::string queued_;
    std::string writing_;
    bool open_ = true;
    time_point heard_ = boot_now();
};

/// Accepts frame connections on one address.
class frame_listener
{
public:
    frame_listener(boost::asio::io_context& io,
                   frame_connection::frame_handler on_frame);
    bool listen(const std::string& address);
    void close();

    /// Closes connections from which nothing has come for `timeout`.
    void close_idle(milliseconds timeout);

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    frame_connection::frame_handler on_frame_;
    std::vector<std::weak_ptr<frame_connection>> accepted_;
};

} // namespace limpetstack
