#include "transport/frame_link.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "transport/address.hpp"

#include <absl/strings/str_cat.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
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

// A buffer of more bytes is released when it is empty.
constexpr std::size_t retained_buffer_bytes = 64U << 10U;

// A connection that keeps less does not have the limit of bytes checked.
constexpr std::size_t uncounted_bytes = 4096;

// Hosts introduce themselves with a ping, which lists the core hosts.
constexpr std::size_t max_introduction_bytes = 64U << 10U;

// Time until the next attempt to accept when no descriptor is left.
constexpr std::chrono::milliseconds accept_retry_delay{100};

// Clients must not be able to fill the log.
constexpr milliseconds report_interval{1000};

std::string address_of(const tcp::socket& socket)
{
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? "" : endpoint.address().to_string();
}

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
    , peer_(address_of(socket_))
    , max_first_frame_bytes_(max_frame_bytes)
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

void frame_connection::set_limits(std::size_t max_first_frame_bytes,
                                  std::function<void()> on_growth)
{
    max_first_frame_bytes_ = max_first_frame_bytes;
    on_growth_ = std::move(on_growth);
}

std::size_t frame_connection::kept_bytes() const
{
    return open_ ? received_.size() + queued_.size() + writing_.size() : 0;
}

void frame_connection::report_growth()
{
    if (open_ && on_growth_ && kept_bytes() > uncounted_bytes)
    {
        on_growth_();
    }
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
            self->report_growth();
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
        if (length >
            (has_received_frame_ ? max_frame_bytes : max_first_frame_bytes_))
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
        has_received_frame_ = true;
        on_frame_(shared_from_this(), frame);
    }
    received_.erase(0, used);
    if (received_.empty() && received_.capacity() > retained_buffer_bytes)
    {
        received_.shrink_to_fit();
    }
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
    report_growth();
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
    received_ = {};
    queued_ = {};
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
    , retry_timer_(io)
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
    retry_timer_.cancel();
}

void frame_listener::close_idle(milliseconds timeout)
{
    const auto now = boot_now();
    for (auto at = accepted_.begin(); at != accepted_.end();)
    {
        const auto connection = at->lock();
        if (connection && connection->is_open() &&
            now - connection->last_received() < timeout &&
            (connection->has_received_frame() ||
             now - connection->created_at() < timeout))
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
            if (error)
            {
                accept_later();
                return;
            }
            make_room_for_connection();
            add(std::move(socket));
            accept();
        });
}

// Without a free descriptor, each attempt fails at once.
void frame_listener::accept_later()
{
    retry_timer_.expires_after(accept_retry_delay);
    retry_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                accept();
            }
        });
}

void frame_listener::add(tcp::socket socket)
{
    const auto connection =
        std::make_shared<frame_connection>(std::move(socket));
    connection->set_limits(max_introduction_bytes,
                           [this]
                           {
                               make_room_for_bytes();
                           });
    accepted_.push_back(connection);
    connection->start(on_frame_, {});
}

void frame_listener::set_limits(const frame_listener_limits& limits,
                                metrics* counters)
{
    limits_ = limits;
    counters_ = counters;
}

std::vector<std::shared_ptr<frame_connection>>
frame_listener::open_connections()
{
    std::vector<std::shared_ptr<frame_connection>> open;
    for (const auto& item : accepted_)
    {
        auto connection = item.lock();
        if (connection && connection->is_open())
        {
            open.push_back(std::move(connection));
        }
    }
    return open;
}

// Closes the connection that has been silent for the longest time, and of those
// without a valid frame if there are any.
void frame_listener::make_room_for_connection()
{
    auto open = open_connections();
    if (open.size() < limits_.connections)
    {
        return;
    }
    const auto next = std::min_element(
        open.begin(), open.end(),
        [](const auto& a, const auto& b)
        {
            return std::pair(a->has_received_frame(), a->last_received()) <
                   std::pair(b->has_received_frame(), b->last_received());
        });
    report("connection_limit", **next);
    (*next)->close();
    open.erase(next);
    accepted_.assign(open.begin(), open.end());
}

void frame_listener::make_room_for_bytes()
{
    const auto open = open_connections();
    std::size_t kept = 0;
    for (const auto& item : open)
    {
        kept += item->kept_bytes();
    }
    while (kept > limits_.kept_bytes)
    {
        const auto most =
            std::max_element(open.begin(), open.end(),
                             [](const auto& a, const auto& b)
                             {
                                 return a->kept_bytes() < b->kept_bytes();
                             });
        kept -= (*most)->kept_bytes();
        report("input_budget", **most);
        (*most)->close();
    }
}

// Counts a connection that is closed for a limit, and logs it unless one was
// logged a short time ago.
void frame_listener::report(const char* reason, const frame_connection& closed)
{
    if (counters_ != nullptr)
    {
        counters_->add(absl::StrCat("peer_connections_closed_total{reason=\"",
                                    reason, "\"}"));
    }
    const auto now = boot_now();
    if (now - reported_at_ < report_interval)
    {
        return;
    }
    reported_at_ = now;
    log_event(log_level::warning, "peer_connection_closed",
              {{"reason", reason},
               {"peer", closed.peer()},
               {"introduced", closed.has_received_frame() ? "yes" : "no"},
               {"kept_bytes", absl::StrCat(closed.kept_bytes())},
               {"limit_bytes", absl::StrCat(limits_.kept_bytes)},
               {"limit_connections", absl::StrCat(limits_.connections)}});
}

} // namespace limpetstack
