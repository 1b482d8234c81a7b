#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace limpetstack
{

class http_connections;
class metrics;

struct http_server_request
{
    std::string method;
    std::string target;
    std::string host; // Without the port, in lower case.
    std::string authorization;
    std::string body;
    std::int64_t time_left_ms = 0; // What the caller waits; 0 when not said.
};

struct http_server_answer
{
    unsigned status = 200;
    std::string body;
    std::uint32_t retry_after_ms = 0; // Rounded up to seconds; 0: no header.
    const char* content_type = "application/json";
};

using http_responder = std::function<void(http_server_answer)>;
using http_handler = std::function<void(http_server_request, http_responder)>;

/// Bounds on one connection. What is kept beside the body of a request that is
/// not complete is at most `max_header_bytes` and 4 KiB.
struct http_server_limits
{
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t max_body_bytes = 1U << 20U;
    std::uint32_t request_timeout_ms = 3000; // For the header, once it begins.
    // For the first byte of a request, for its body, and for the client to read
    // the answer.
    std::uint32_t idle_timeout_ms = 15000;
};

/// Bounds on all connections of a listener together.
struct http_server_capacity
{
    // Bytes that may be kept for incomplete requests, requests in progress and
    // answers.
    std::size_t kept_bytes = 64U << 20U;
    std::size_t connections = 4096;
};

/// Returns the capacity of a listener for callers in a process of that memory
/// and that number of descriptors.
http_server_capacity capacity_for(std::size_t memory_bytes,
                                  std::size_t descriptors);

/// Serves HTTP/1.1 on one address, one request at a time on each connection. A
/// client that sends without end, or does not read its answer, is refused or
/// disconnected before the listener exceeds its capacity. For the thread that
/// runs `io`. A responder may be called once, at any later
/// time; it does nothing when the connection is gone.
class http_server
{
public:
    http_server(boost::asio::io_context& io, std::string deadline_header,
                http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on IP:port; false when the address can not be used.
    bool listen(const std::string& address);

    void set_limits(const http_server_limits& limits);

    /// Sets the bounds on all connections, before `listen`. `counters` may be
    /// null; it must outlive the server.
    void set_capacity(const http_server_capacity& capacity, metrics* counters);

    /// Announces the end: each answer closes its connection from now on.
    void start_draining();

    /// Stops accepting and closes connections without a request in progress.
    void close_idle();

    std::size_t connections() const;

    /// Returns the bytes that are kept for all connections.
    std::size_t kept_bytes() const;

private:
    void accept();
    void accept_later();

    std::shared_ptr<http_connections> state_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
};

} // namespace limpetstack
