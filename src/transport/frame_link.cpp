#include "transport/frame_link.hpp"

#include "transport/address.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace limpetstack
{
namespace
{

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t header_bytes = 4;
constexpr std::size_t max_frame_bytes = 64U << 20U;
constexpr std::size_t read_chunk_bytes = 16U << 10U;

// A connection with more unsent bytes than this is closed, which bounds the
// memory that a peer uses when it does not read.
constexpr std::size_t max_queued_bytes = 48U << 20U;

std::uint32_t read_length(const std::string& data)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < header_bytes; ++i)
    {
        length = (length << 8U) | static_cast<unsigned char>(data[i]);
    }
    return length;
}

void append_length(std::string& out, std::uint32_t length)
{
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        out.push_back(static_cast<char>((length >> shift) & 0xFFU));
    }
}

} // namespace

frame_connection::frame_connection(tcp::socket socket)
    : socket_(std::move(socket))
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

void frame_connection::start(frame_handler on_frame, close_handler on_close)
{
    on_frame_ = std::move(on_frame);
    on_close_ = std::move(on_close);
    chunk_.resize(read_chunk_bytes);
    read();
}

void frame_connection::read()
{
    socket_.async_read_some(
        boost::asio::buffer(chunk_),
        [self = shared_from_this()](error_code error, std::size_t size)
        {
            if (!self->open_)
            {
                return;
            }
            if (error)
            {
                self->close();
                return;
            }
            self->last_received_ = boot_now();
            self->received_.append(self->chunk_, 0, size);
            self->handle_frames();
            if (self->open_)
            {
                self->read();
            }
        });
}

void frame_connection::handle_frames()
{
    std::size_t used = 0;
    while (open_ && received_.size() - used >= header_bytes)
    {
        const auto length = read_length(received_.substr(used, header_bytes));
        if (length > max_frame_bytes)
        {
            close();
            return;
        }
        if (received_.size() - used - header_bytes < length)
        {
            break;
        }
        fleet::peer_frame frame;
        const bool valid = frame.ParseFromArray(
            received_.data() + used + header_bytes, static_cast<int>(length));
        used += header_bytes + length;
        if (!valid)
        {
            close();
            return;
        }
        on_frame_(shared_from_this(), frame);
    }
    received_.erase(0, used);
}

void frame_connection::send(const fleet::peer_frame& frame)
{
    if (!open_)
    {
        return;
    }
    const auto length = static_cast<std::uint32_t>(frame.ByteSizeLong());
    append_length(queued_, length);
    frame.AppendToString(&queued_);
    if (queued_.size() > max_queued_bytes)
    {
        close();
        return;
    }
    if (writing_.empty())
    {
        write();
    }
}

void frame_connection::write()
{
    writing_.swap(queued_);
    boost::asio::async_write(
        socket_, boost::asio::buffer(writing_),
        [self = shared_from_this()](error_code error, std::size_t)
        {
            self->writing_.clear();
            if (!self->open_)
            {
                return;
            }
            if (error)
            {
                self->close();
                return;
            }
            if (!self->queued_.empty())
            {
                self->write();
            }
        });
}

void frame_connection::close()
{
    if (!open_)
    {
        return;
    }
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    if (on_close_)
    {
        const auto notify = std::move(on_close_);
        notify();
    }
}

frame_listener::frame_listener(boost::asio::io_context& io,
                               frame_connection::frame_handler on_frame)
    : acceptor_(io)
    , on_frame_(std::move(on_frame))
{
}

bool frame_listener::listen(const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    error_code error;
    if (!endpoint)
    {
        return false;
    }
    acceptor_.open(endpoint->protocol(), error);
    if (!error)
    {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor_.bind(*endpoint, error);
    }
    if (!error)
    {
        acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error)
    {
        return false;
    }
    accept();
    return true;
}

void frame_listener::close()
{
    error_code ignored;
    acceptor_.close(ignored);
}

void frame_listener::close_idle(milliseconds timeout)
{
    const auto now = boot_now();
    for (auto at = accepted_.begin(); at != accepted_.end();)
    {
        const auto connection = at->lock();
        if (connection && connection->is_open() &&
            now - connection->last_received() < timeout)
        {
            ++at;
            continue;
        }
        if (connection)
        {
            connection->close();
        }
        at = accepted_.erase(at);
    }
}

void frame_listener::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                const auto connection =
                    std::make_shared<frame_connection>(std::move(socket));
                accepted_.push_back(connection);
                connection->start(on_frame_, {});
            }
            accept();
        });
}

} // namespace limpetstack
