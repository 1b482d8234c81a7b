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

/// Bounds of one HTTP listener.
struct http_listener_options
{
    std::uint32_t threads = 64;
    std::uint64_t body_limit_bytes = 1U << 20U;
};

/// An HTTP server on threads of its own.
class http_listener
{
public:
    /// Listens at `address` (IP:port) with the routes that `add_routes` adds.
    /// Fails when the address is wrong or in use.
    static absl::StatusOr<std::unique_ptr<http_listener>>
    open(const std::string& address, const http_listener_options& options,
         const std::function<void(httplib::Server&)>& add_routes);

    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Accepts no more connections and waits until every request in progress
    /// was answered.
    void stop();

private:
    http_listener();

    std::unique_ptr<httplib::Server> server_;
    std::atomic<bool> ended_{false};
    std::thread thread_;
};

/// Writes a JSON error body `{"error": message}`.
void set_error(httplib::Response& response, int status,
               const std::string& message);

} // namespace limpetstack
