#include "transport/http_channel.hpp"

#include "base/clock.hpp"
#include "transport/address.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>
#include <utility>

namespace limpetstack
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

// TCP sends a lost SYN packet again after one second. A connection that needs
// more than one repetition takes longer than the timeout of any call.
constexpr std::chrono::milliseconds connect_timeout{700};

constexpr std::uint64_t max_answer_bytes = 8U << 20U;

} // namespace

class http_channel::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& io, const std::string& address)
        : io_(io)
        , address_(address)
        , endpoint_(parse_endpoint(address))
    {
    }

    void send(http::request<http::string_body> request,
              std::chrono::milliseconds timeout, callback done)
    {
        calls_.push_back(
            {std::make_shared<const http::request<http::string_body>>(
                 std::move(request)),
             timeout, std::move(done)});
        last_used_ = boot_now();
        start_next();
    }

    // Drops all calls without their callbacks and closes the connection.
    void close()
    {
        calls_.clear();
        closed_ = true;
        if (const auto stream = std::exchange(stream_, nullptr))
        {
            stream->close();
        }
    }

    std::size_t backlog() const { return calls_.size(); }
    bool is_open() const { return stream_ != nullptr; }
    time_point last_used() const { return last_used_; }

    void close_if_idle()
    {
        if (calls_.empty())
        {
            if (const auto stream = std::exchange(stream_, nullptr))
            {
                stream->close();
            }
        }
    }

    std::chrono::milliseconds waited() const
    {
        return calls_.empty() ? milliseconds(0) : boot_now() - call_started_;
    }

private:
    struct call
    {
        // Shared with the write in progress, which may outlast this entry.
        std::shared_ptr<const http::request<http::string_body>> request;
        std::chrono::milliseconds timeout;
        callback done;
    };

    // Starts the first pending call unless one is in progress.
    void start_next()
    {
        if (closed_ || active_ || calls_.empty())
        {
            return;
        }
        active_ = true;
        call_started_ = boot_now();
        opened_for_call_ = stream_ == nullptr;
        if (!endpoint_)
        {
            boost::asio::post(io_,
                              [self = shared_from_this()]
                              {
                                  self->finish({0, "", false, false});
                              });
            return;
        }
        if (stream_)
        {
            write();
            return;
        }
        buffer_.clear();
        stream_ = std::make_shared<beast::tcp_stream>(io_);
        stream_->expires_after(connect_timeout);
        stream_->async_connect(*endpoint_,
                               [self = shared_from_this(),
                                stream = stream_](beast::error_code error)
                               {
                                   if (self->call_ended(stream, error, false))
                                   {
                                       return;
                                   }
                                   beast::error_code ignored;
                                   stream->socket().set_option(
                                       tcp::no_delay(true), ignored);
                                   self->write();
                               });
    }

    void write()
    {
        stream_->expires_after(calls_.front().timeout);
        const auto request = calls_.front().request;
        http::async_write(*stream_, *request,
                          [self = shared_from_this(), stream = stream_,
                           request](beast::error_code error, std::size_t)
                          {
                              if (self->call_ended(stream, error, true))
                              {
                                  return;
                              }
                              self->read();
                          });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_answer_bytes);
        http::async_read(
            *stream_, buffer_, *parser_,
            [self = shared_from_this(),
             stream = stream_](beast::error_code error, std::size_t)
            {
                if (self->call_ended(stream, error, true))
                {
                    return;
                }
                auto& answer = self->parser_->get();
                if (answer.keep_alive())
                {
                    stream->expires_never();
                }
                else
                {
                    self->stream_.reset();
                }
                self->finish({answer.result_int(), std::move(answer.body()),
                              true, false});
            });
    }

    // Returns true when the callback of an operation on `stream` must do
    // nothing more: the channel no longer uses that connection, or `error`
    // ended the call. `sent` tells whether bytes of the call may have been
    // sent.
    bool call_ended(const std::shared_ptr<beast::tcp_stream>& stream,
                    beast::error_code error, bool sent)
    {
        if (stream_ != stream)
        {
            return true;
        }
        if (error)
        {
            stream_.reset();
            finish({0, "", sent, error != beast::error::timeout});
            return true;
        }
        return false;
    }

    void finish(http_channel_answer answer)
    {
        if (closed_ || calls_.empty())
        {
            return;
        }
        const auto done = std::move(calls_.front().done);
        calls_.pop_front();
        answer.on_new_connection = opened_for_call_;
        last_used_ = boot_now();
        const auto self = shared_from_this();
        active_ = false;
        done(answer); // The callback may queue and start the next call.
        start_next();
    }

    boost::asio::io_context& io_;
    std::string address_;
    std::optional<tcp::endpoint> endpoint_;
    std::shared_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::deque<call> calls_;
    time_point call_started_;      // When the first call became active.
    time_point last_used_;         // When a call was queued or ended.
    bool active_ = false;          // The first call is in progress.
    bool opened_for_call_ = false; // Its connection was opened for it.
    bool closed_ = false;          // No further callback may be invoked.
};

http_channel::http_channel(boost::asio::io_context& io,
                           const std::string& address)
    : implementation_(std::make_shared<implementation>(io, address))
{
}

http_channel::~http_channel()
{
    implementation_->close();
}

void http_channel::send(const std::string& method, const std::string& target,
                        const headers& extra, std::string body,
                        std::chrono::milliseconds timeout, callback done)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, "localhost");
    if (!body.empty())
    {
        request.set(http::field::content_type, "application/json");
    }
    for (const auto& [name, value] : extra)
    {
        request.set(name, value);
    }
    request.body() = std::move(body);
    request.prepare_payload();
    implementation_->send(std::move(request), timeout, std::move(done));
}

std::size_t http_channel::backlog() const
{
    return implementation_->backlog();
}

bool http_channel::is_open() const
{
    return implementation_->is_open();
}

time_point http_channel::last_used() const
{
    return implementation_->last_used();
}

void http_channel::close_if_idle()
{
    implementation_->close_if_idle();
}

std::chrono::milliseconds http_channel::waited() const
{
    return implementation_->waited();
}

} // namespace limpetstack
