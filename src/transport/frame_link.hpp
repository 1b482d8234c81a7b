#pragma once

#include "fleet.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

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
    std::size_t backlog_bytes() const { return queued_.size(); }

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
};

/// Accepts frame connections on one address.
class frame_listener
{
public:
    frame_listener(boost::asio::io_context& io,
                   frame_connection::frame_handler on_frame);
    bool listen(const std::string& address);
    void close();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    frame_connection::frame_handler on_frame_;
};

} // namespace limpetstack
