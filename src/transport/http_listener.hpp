#pragma once

#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib
{
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace limpetstack
{

class bounded_http_server;
class metrics;

/// Limits of one HTTP listener.
struct http_listener_options
{
    std::uint32_t threads = 64; // Requests that are handled at once.
    std::uint64_t body_limit_bytes = 1U << 20U;
    // Bytes kept for incomplete requests. One request of the largest size fits
    // always.
    std::uint64_t kept_bytes = 64U << 20U;
    std::uint32_t connections = 1024; // Served or waiting for a thread.
    metrics* counters = nullptr;
};

/// An HTTP server that runs on its own threads.
class http_listener
{
public:
    /// Listens on `address` (IP:port) and serves the routes that `add_routes`
    /// registers. Fails when the address is malformed or in use.
    static absl::StatusOr<std::unique_ptr<http_listener>>
    open(const std::string& address, const http_listener_options& options,
         const std::function<void(httplib::Server&)>& add_routes);

    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Stops accepting connections and waits until every request in progress
    /// has been answered.
    void stop();

private:
    explicit http_listener(const http_listener_options& options);

    std::unique_ptr<bounded_http_server> server_;
    std::atomic<bool> server_returned_{false}; // The server's loop has ended.
    std::thread thread_;
};

/// Sets the status and a JSON body `{"error": message}`.
void set_error(httplib::Response& response, int status,
               const std::string& message);

} // namespace limpetstack
