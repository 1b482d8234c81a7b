#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace limpetstack
{

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

/// Bounds on one connection.
struct http_server_limits
{
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t max_body_bytes = 1U << 20U;
    std::uint32_t request_timeout_ms = 3000; // From first to last byte.
    std::uint32_t idle_timeout_ms = 15000;
};

/// Serves HTTP/1.1 on one address, one request at a time on each connection.
/// For the thread that runs `io`. A responder may be called once, at any later
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

    /// Announces the end: each answer closes its connection from now on.
    void start_draining();

    /// Stops accepting and closes connections without a request in progress.
    void close_idle();

    std::size_t connections() const;

private:
    class session;
    struct shared_state;
    void accept();

    std::shared_ptr<shared_state> state_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace limpetstack
