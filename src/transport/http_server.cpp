#include "transport/http_server.hpp"

#include "transport/address.hpp"
#include "transport/http_connections.hpp"
#include "transport/http_session.hpp"

#include <boost/beast/core.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace limpetstack
{
namespace
{

using tcp = boost::asio::ip::tcp;
using boost::beast::error_code;

constexpr int listen_backlog = 512;

// Time until the next attempt to accept when no descriptor is left.
constexpr std::chrono::milliseconds accept_retry_delay{100};

// The part of the memory that the requests and answers of a listener may take.
constexpr std::size_t kept_memory_divisor = 4;

// Half of the memory is for connections; each takes about this much with its
// buffers and those of the kernel.
constexpr std::size_t connection_memory_divisor = 2;
constexpr std::size_t bytes_per_connection = 32768;

// Files and connections to other hosts need descriptors as well.
constexpr std::size_t reserved_descriptors = 200;

} // namespace

http_server_capacity capacity_for(std::size_t memory_bytes,
                                  std::size_t descriptors)
{
    http_server_capacity capacity;
    capacity.kept_bytes = memory_bytes / kept_memory_divisor;
    capacity.connections = std::min(
        memory_bytes / connection_memory_divisor / bytes_per_connection,
        descriptors - std::min(descriptors / 2, reserved_descriptors));
    return capacity;
}

http_server::http_server(boost::asio::io_context& io,
                         std::string deadline_header, http_handler handler)
    : state_(std::make_shared<http_connections>(std::move(deadline_header),
                                                std::move(handler)))
    , acceptor_(io)
    , retry_timer_(io)
{
}

http_server::~http_server() = default;

bool http_server::listen(const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return false;
    }
    error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error)
    {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor_.bind(*endpoint, error);
    }
    if (!error)
    {
        acceptor_.listen(listen_backlog, error);
    }
    if (error)
    {
        return false;
    }
    accept();
    return true;
}

void http_server::accept()
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
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            state_->make_room_for_connection();
            std::make_shared<http_session>(std::move(socket), state_)->read();
            accept();
        });
}

// Without a free descriptor, each attempt fails at once.
void http_server::accept_later()
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

void http_server::set_limits(const http_server_limits& limits)
{
    state_->limits = limits;
}

void http_server::set_capacity(const http_server_capacity& capacity,
                               metrics* counters)
{
    state_->set_capacity(capacity);
    state_->counters = counters;
}

void http_server::start_draining()
{
    state_->draining = true;
}

void http_server::close_idle()
{
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
    const auto open = state_->sessions();
    for (auto* const item : open)
    {
        item->close_if_idle();
    }
}

std::size_t http_server::connections() const
{
    return state_->sessions().size();
}

std::size_t http_server::kept_bytes() const
{
    return state_->budget().used();
}

} // namespace limpetstack
