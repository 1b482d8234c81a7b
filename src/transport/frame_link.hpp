#pragma once

#include "base/clock.hpp"

#include "fleet.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack
{

class metrics;

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

    /// Sets the largest frame that may arrive first, and a function that is
    /// called when the connection keeps more bytes than before. It may close
    /// the connection. To be called before `start`.
    void set_limits(std::size_t max_first_frame_bytes,
                    std::function<void()> on_growth);

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

    /// Returns true once a valid frame has arrived.
    bool has_received_frame() const { return has_received_frame_; }

    time_point created_at() const { return created_at_; }

    /// Returns the IP address of the peer.
    const std::string& peer() const { return peer_; }

    /// Returns the bytes that are kept for incomplete frames and frames that
    /// the peer has not read; 0 when closed.
    std::size_t kept_bytes() const;

private:
    void read();
    void handle_frames();
    void write();
    void report_growth();

    boost::asio::ip::tcp::socket socket_;
    const std::string peer_;
    frame_handler on_frame_;
    close_handler on_close_;
    std::string received_; // Received bytes that form no whole frame yet.
    std::string chunk_;    // Buffer of the read in progress.
    std::string queued_;   // Frames that wait for the write in progress.
    std::string writing_;  // Buffer of the write in progress, or empty.
    std::size_t max_first_frame_bytes_;
    std::function<void()> on_growth_; // May be empty.
    bool open_ = true;
    bool has_received_frame_ = false;
    const time_point created_at_ = boot_now();
    time_point last_received_ = created_at_;
};

/// Bounds on all accepted connections of a listener together.
struct frame_listener_limits
{
    std::size_t connections = 1024;
    // Of incomplete frames, and of frames that peers have not read.
    std::size_t kept_bytes = 64U << 20U;
};

/// Accepts frame connections on one address. Anybody may connect: at the limit
/// of connections, one that has sent no valid frame is closed first, and the
/// first frame of a connection must be small. At the limit of bytes, the
/// connection that keeps the most is closed.
class frame_listener
{
public:
    frame_listener(boost::asio::io_context& io,
                   frame_connection::frame_handler on_frame);

    /// Listens on `address` (IP:port). Returns false when the address is
    /// malformed or can not be bound.
    bool listen(const std::string& address);

    /// Sets the bounds, before `listen`. `counters` may be null; it must
    /// outlive the listener.
    void set_limits(const frame_listener_limits& limits, metrics* counters);

    /// Stops accepting connections. Accepted ones stay open.
    void close();

    /// Closes accepted connections on which no bytes arrived for `timeout`, and
    /// those on which no valid frame arrived within `timeout`.
    void close_idle(milliseconds timeout);

private:
    void accept();
    void accept_later();
    void add(boost::asio::ip::tcp::socket socket);
    std::vector<std::shared_ptr<frame_connection>> open_connections();
    void make_room_for_connection();
    void make_room_for_bytes();
    void report(const char* reason, const frame_connection& closed);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    frame_connection::frame_handler on_frame_;
    frame_listener_limits limits_;
    metrics* counters_ = nullptr;
    time_point reported_at_;
    std::vector<std::weak_ptr<frame_connection>> accepted_;
};

} // namespace limpetstack
