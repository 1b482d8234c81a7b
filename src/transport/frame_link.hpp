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

/// A connection between two hosts that carries frames in both directions. A
/// frame is a length of four bytes in network byte order, followed by a
/// serialized message. Not thread-safe: to be used on the thread that runs the
/// io context.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    using frame_handler = std::function<void(
        const std::shared_ptr<frame_connection>&, const fleet::peer_frame&)>;
    using close_handler = std::function<void()>;

    explicit frame_connection(boost::asio::ip::tcp::socket socket);

    /// Starts to read. `on_frame` is called for each received frame, `on_close`
    /// once when the connection closes for any reason; it may be empty.
    void start(frame_handler on_frame, close_handler on_close);

    /// Queues a frame. Closes the connection when too many bytes are queued
    /// because the peer does not read.
    void send(const fleet::peer_frame& frame);

    void close();
    bool is_open() const { return open_; }

    /// Returns the time at which the last bytes arrived.
    time_point last_received() const { return last_received_; }

private:
    void read();
    void handle_frames();
    void write();

    boost::asio::ip::tcp::socket socket_;
    frame_handler on_frame_;
    close_handler on_close_;
    std::string received_; // Received bytes that form no whole frame yet.
    std::string chunk_;    // Buffer of the read in progress.
    std::string queued_;   // Frames that wait for the write in progress.
    std::string writing_;  // Buffer of the write in progress, or empty.
    bool open_ = true;
    time_point last_received_ = boot_now();
};

/// Accepts frame connections on one address.
class frame_listener
{
public:
    frame_listener(boost::asio::io_context& io,
                   frame_connection::frame_handler on_frame);

    /// Listens on `address` (IP:port). Returns false when the address is
    /// malformed or can not be bound.
    bool listen(const std::string& address);

    /// Stops accepting connections. Accepted ones stay open.
    void close();

    /// Closes accepted connections on which no bytes arrived for `timeout`.
    void close_idle(milliseconds timeout);

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    frame_connection::frame_handler on_frame_;
    std::vector<std::weak_ptr<frame_connection>> accepted_;
};

} // namespace limpetstack
