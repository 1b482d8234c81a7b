#include "transport/http_listener.hpp"

#include "transport/bounded_http_server.hpp"

#include <absl/strings/numbers.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace limpetstack
{
namespace
{

constexpr time_t idle_timeout_s = 2;
constexpr std::size_t requests_per_connection = 1000;

void explain_errors(const httplib::Request&, httplib::Response& response)
{
    if (!response.body.empty())
    {
        return;
    }
    switch (response.status)
    {
    case 400:
        set_error(response, 400, "the request is malformed or incomplete");
        break;
    case 404:
        set_error(response, 404, "no such path or method");
        break;
    case 413:
        set_error(response, 413, "the body is larger than the limit");
        break;
    default:
        set_error(response, response.status, "the request failed");
    }
}

} // namespace

void set_error(httplib::Response& response, int status,
               const std::string& message)
{
    response.status = status;
    response.set_content(nlohmann::json{{"error", message}}.dump(),
                         "application/json");
}

http_listener::http_listener(const http_listener_options& options)
    : server_(std::make_unique<bounded_http_server>(options))
{
}

absl::StatusOr<std::unique_ptr<http_listener>>
http_listener::open(const std::string& address,
                    const http_listener_options& options,
                    const std::function<void(httplib::Server&)>& add_routes)
{
    const auto colon = address.rfind(':');
    int port = 0;
    if (colon == std::string::npos ||
        !absl::SimpleAtoi(address.substr(colon + 1), &port))
    {
        return absl::InvalidArgumentError("address " + address +
                                          " must be IP:port");
    }
    std::unique_ptr<http_listener> opened(new http_listener(options));
    auto& server = *opened->server_;
    // By default the library sets SO_REUSEPORT, with which a second daemon on
    // the same port would share it instead of failing.
    server.set_socket_options(
        [](socket_t socket)
        {
            const int enabled = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled,
                         sizeof enabled);
        });
    server.set_payload_max_length(options.body_limit_bytes);
    server.set_keep_alive_timeout(idle_timeout_s);
    server.set_keep_alive_max_count(requests_per_connection);
    server.set_tcp_nodelay(true);
    server.set_error_handler(explain_errors);
    add_routes(server);
    if (!server.bind_to_port(address.substr(0, colon).c_str(), port))
    {
        return absl::UnavailableError("can not listen at " + address +
                                      "; is another process using it?");
    }
    opened->thread_ = std::thread(
        [self = opened.get()]
        {
            self->server_->listen_after_bind();
            self->server_returned_ = true;
        });
    return opened;
}

http_listener::~http_listener()
{
    stop();
}

void http_listener::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    // server_->stop() has no effect before the server accepts connections.
    while (!server_->is_running() && !server_returned_)
    {
        std::this_thread::yield();
    }
    server_->stop();
    thread_.join();
}

} // namespace limpetstack
