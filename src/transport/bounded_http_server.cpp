#include "transport/bounded_http_server.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "transport/newest_first_pool.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace limpetstack
{
namespace
{

// Clients must not be able to fill the log.
constexpr milliseconds report_interval{1000};

// A stopping server notices within this time that a connection is idle.
constexpr milliseconds stop_check_interval{100};

// Beside twice the largest body: its header and what is read ahead.
constexpr std::uint64_t request_overhead_bytes = 65536;

// Connections wait for a moment also while threads are free.
constexpr std::uint32_t min_waiting_connections = 16;

// Set while the accepting thread closes a connection for which there is no
// room.
thread_local bool refuse_connection = false;

// The connection whose request this thread reads.
thread_local bounded_stream* current_stream = nullptr;

// Limits the connections that wait for a thread.
class bounded_task_queue : public httplib::TaskQueue
{
public:
    bounded_task_queue(bounded_http_server& server, connection_budget& budget,
                       const http_listener_options& options)
        : server_(server)
        , budget_(budget)
        , threads_(std::min(options.threads, options.connections))
        , max_waiting_(
              std::max(options.connections - threads_, min_waiting_connections))
        , pool_(threads_)
    {
    }

    void enqueue(std::function<void()> serve) override
    {
        if (budget_.waiting() >= max_waiting_ &&
            !server_.make_room_for_connection())
        {
            refuse_connection = true;
            serve();
            refuse_connection = false;
            return;
        }
        budget_.add_waiting();
        pool_.enqueue(
            [this, serve = std::move(serve)]
            {
                budget_.remove_waiting();
                serve();
            });
    }

    void shutdown() override { pool_.shutdown(); }

private:
    bounded_http_server& server_;
    connection_budget& budget_;
    const std::uint32_t threads_;
    const std::uint32_t max_waiting_;
    newest_first_pool pool_;
};

} // namespace

bool refuse_encoded_body(const httplib::Request& request)
{
    const auto encoding = request.get_header_value("Content-Encoding");
    if (encoding.empty() || encoding == "identity")
    {
        return false;
    }
    current_stream->refuse(read_refusal::encoded_body);
    return true;
}

bounded_http_server::bounded_http_server(const http_listener_options& options)
    : budget_(std::max(options.kept_bytes,
                       2 * options.body_limit_bytes + request_overhead_bytes))
    , counters_(options.counters)
{
    limits_.body_bytes = options.body_limit_bytes;
    set_pre_routing_handler(
        [](const httplib::Request& request, httplib::Response&)
        {
            return refuse_encoded_body(request)
                       ? httplib::Server::HandlerResponse::Handled
                       : httplib::Server::HandlerResponse::Unhandled;
        });
    new_task_queue = [this, options]
    {
        return new bounded_task_queue(*this, budget_, options);
    };
}

bool bounded_http_server::make_room_for_connection()
{
    report("connection_limit_reached",
           "connections_closed_total{reason=\"connection_limit\"}",
           connections_reported_at_, "");
    return budget_.refuse_oldest();
}

bool bounded_http_server::process_and_close_socket(socket_t socket)
{
    if (refuse_connection)
    {
        constexpr char answer[] = "HTTP/1.1 503 Service Unavailable\r\n"
                                  "Retry-After: 1\r\nConnection: close\r\n"
                                  "Content-Length: 0\r\n\r\n";
        ::send(socket, answer, sizeof answer - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    else
    {
        bounded_stream stream(socket, limits_, budget_);
        current_stream = &stream;
        serve(stream);
        current_stream = nullptr;
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

void bounded_http_server::serve(bounded_stream& stream)
{
    for (auto left = keep_alive_max_count_; left > 0; --left)
    {
        if (!wait_for_request(stream))
        {
            return;
        }
        stream.begin_request();
        bool closed = false;
        const bool answered =
            process_request(stream, left == 1, closed, nullptr);
        if (stream.refusal() != read_refusal::none)
        {
            report_refusal(stream);
            stream.write_refusal();
            return;
        }
        stream.end_request();
        if (!answered || closed || stream.is_refused())
        {
            return;
        }
    }
}

bool bounded_http_server::wait_for_request(const bounded_stream& stream) const
{
    const auto began = steady_now();
    const auto deadline = began + std::chrono::seconds(keep_alive_timeout_sec_);
    while (svr_sock_ != INVALID_SOCKET && !stream.is_refused() &&
           steady_now() < deadline)
    {
        if (stream.wait_for_input(stop_check_interval))
        {
            return !stream.is_refused();
        }
        if (budget_.waiting() > 0 &&
            steady_now() - began >= limits_.contended_silence)
        {
            return false; // Another connection needs the thread.
        }
    }
    return false;
}

void bounded_http_server::report_refusal(const bounded_stream& stream)
{
    std::string ip;
    int port = 0;
    stream.get_remote_ip_and_port(ip, port);
    if (stream.refusal() == read_refusal::budget_exhausted)
    {
        report("input_budget_exhausted",
               "requests_refused_total{reason=\"input_budget\"}",
               budget_reported_at_, ip);
    }
    else
    {
        report("request_too_large",
               "requests_refused_total{reason=\"too_large\"}",
               too_large_reported_at_, ip);
    }
}

// Counts the event, and logs it unless it was logged a short time ago.
void bounded_http_server::report(const char* event, const char* counter,
                                 time_point& reported_at,
                                 const std::string& peer)
{
    if (counters_ != nullptr)
    {
        counters_->add(counter);
    }
    const auto now = steady_now();
    {
        const std::lock_guard lock(report_mutex_);
        if (now - reported_at < report_interval)
        {
            return;
        }
        reported_at = now;
    }
    log_event(log_level::warning, event,
              {{"peer", peer},
               {"kept_bytes", std::to_string(budget_.used_bytes())},
               {"limit_bytes", std::to_string(budget_.limit_bytes())}});
}

} // namespace limpetstack
