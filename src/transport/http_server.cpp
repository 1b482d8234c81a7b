#include "transport/http_server.hpp"

#include "base/log.hpp"
#include "transport/address.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <utility>

namespace limpetstack
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr int listen_backlog = 512;

std::string host_without_port(beast::string_view value)
{
    std::string host(value.substr(0, value.find(':')));
    for (auto& letter : host)
    {
        letter =
            static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return host;
}

std::int64_t parse_milliseconds(beast::string_view value)
{
    std::int64_t out = 0;
    for (const char digit : value)
    {
        if (digit < '0' || digit > '9' || out > 100000000)
        {
            return 0;
        }
        out = out * 10 + (digit - '0');
    }
    return out;
}

} // namespace

struct http_server::shared_state
{
    std::string deadline_header;
    http_handler handler;
    http_server_limits limits;
    bool draining = false;
    std::set<session*> sessions;
};

class http_server::session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<shared_state> state)
        : stream_(std::move(socket))
        , state_(std::move(state))
    {
        state_->sessions.insert(this);
    }
    ~session() { state_->sessions.erase(this); }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void read()
    {
        parser_.emplace();
        parser_->header_limit(state_->limits.max_header_bytes);
        parser_->body_limit(state_->limits.max_body_bytes);
        waiting_ = true;
        stream_.expires_after(
            std::chrono::milliseconds(state_->limits.idle_timeout_ms));
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                self->on_read(error);
            });
    }

    void close_if_idle()
    {
        if (waiting_ && !(parser_ && parser_->got_some()) &&
            buffer_.size() == 0)
        {
            close();
        }
    }

private:
    void on_read(beast::error_code error)
    {
        waiting_ = false;
        if (error == http::error::body_limit ||
            error == http::error::header_limit)
        {
            close_after_ = true;
            write({error == http::error::body_limit ? 413U : 431U,
                   R"({"error":"too large"})", 0});
            return;
        }
        if (error == http::error::end_of_stream || !parser_->got_some())
        {
            close();
            return;
        }
        if (error)
        {
            close_after_ = true;
            if (error.category() ==
                http::make_error_code(http::error::bad_method).category())
            {
                write({400, R"({"error":"not an HTTP request"})", 0});
            }
            else
            {
                close();
            }
            return;
        }
        stream_.expires_never();
        auto& message = parser_->get();
        close_after_ = !message.keep_alive();
        http_server_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = host_without_port(message[http::field::host]);
        request.authorization =
            std::string(message[http::field::authorization]);
        request.time_left_ms =
            parse_milliseconds(message[state_->deadline_header]);
        request.body = std::move(message.body());
        handle(std::move(request));
    }

    // Calls the handler. An exception that a request causes must not end the
    // process, which serves others; the request may have had an effect.
    void handle(http_server_request request)
    {
        constexpr unsigned outcome_unknown = 504;
        const http_responder respond =
            [self = shared_from_this(),
             used = std::make_shared<bool>(false)](http_server_answer answer)
        {
            if (!std::exchange(*used, true))
            {
                self->write(std::move(answer));
            }
        };
        const auto target = request.target;
        try
        {
            state_->handler(std::move(request), respond);
        }
        catch (const std::exception& error)
        {
            log_event(log_level::error, "request_failed",
                      {{"target", target}, {"reason", error.what()}});
            respond({outcome_unknown, "{}", 0});
        }
    }

    void write(http_server_answer answer)
    {
        response_.emplace();
        response_->version(11);
        response_->result(answer.status);
        response_->set(http::field::content_type, answer.content_type);
        if (answer.retry_after_ms > 0)
        {
            response_->set(
                http::field::retry_after,
                std::to_string((answer.retry_after_ms + 999) / 1000));
        }
        response_->body() = std::move(answer.body);
        close_after_ = close_after_ || state_->draining;
        response_->keep_alive(!close_after_);
        response_->prepare_payload();
        stream_.expires_after(
            std::chrono::milliseconds(state_->limits.idle_timeout_ms));
        http::async_write(
            stream_, *response_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                self->on_written(error);
            });
    }

    void on_written(beast::error_code error)
    {
        if (error)
        {
            close();
            return;
        }
        if (close_after_)
        {
            // The peer closes after it has read the answer.
            beast::error_code ignored;
            stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
            stream_.close();
            return;
        }
        read();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().close(ignored);
    }

    beast::tcp_stream stream_;
    std::shared_ptr<shared_state> state_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    bool waiting_ = false;
    bool close_after_ = false;
};

http_server::http_server(boost::asio::io_context& io,
                         std::string deadline_header, http_handler handler)
    : state_(std::make_shared<shared_state>())
    , acceptor_(io)
{
    state_->deadline_header = std::move(deadline_header);
    state_->handler = std::move(handler);
}

http_server::~http_server() = default;

bool http_server::listen(const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return false;
    }
    beast::error_code error;
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
        [this](beast::error_code error, tcp::socket socket)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<session>(std::move(socket), state_)->read();
            }
            accept();
        });
}

void http_server::set_limits(const http_server_limits& limits)
{
    state_->limits = limits;
}

void http_server::start_draining()
{
    state_->draining = true;
}

void http_server::close_idle()
{
    beast::error_code ignored;
    acceptor_.close(ignored);
    const auto open = state_->sessions;
    for (auto* const item : open)
    {
        item->close_if_idle();
    }
}

std::size_t http_server::connections() const
{
    return state_->sessions.size();
}

} // namespace limpetstack
