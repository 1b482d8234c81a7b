#include "transport/http_session.hpp"

#include "base/log.hpp"
#include "transport/http_connections.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <exception>
#include <utility>

namespace limpetstack
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

// What may be kept beside the header limit: the size of a chunk, or the begin
// of the next request.
constexpr std::size_t parse_margin_bytes = 4096;

constexpr std::size_t min_piece_bytes = 4096;
constexpr std::size_t max_piece_bytes = 65536;
constexpr std::size_t chunked_piece_bytes = 16384;

// A buffer of more bytes is released when a request is complete.
constexpr std::size_t retained_buffer_bytes = 8192;

// Answers of more bytes count against the budget before they are written.
constexpr std::size_t small_answer_bytes = 16384;

constexpr std::uint32_t refusal_retry_after_ms = 1000;

constexpr unsigned outcome_unknown = 504;
constexpr unsigned unavailable = 503;
constexpr unsigned header_too_large = 431;
constexpr unsigned body_too_large = 413;

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

std::size_t header_bytes(const http_server_request& request)
{
    return request.method.size() + request.target.size() + request.host.size() +
           request.authorization.size();
}

bool is_http_error(beast::error_code error)
{
    return error.category() ==
           http::make_error_code(http::error::bad_method).category();
}

std::string address_of(const tcp::socket& socket)
{
    beast::error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? "" : endpoint.address().to_string();
}

} // namespace

http_session::http_session(tcp::socket socket,
                           std::shared_ptr<http_connections> connections)
    : stream_(std::move(socket))
    , connections_(std::move(connections))
    , peer_(address_of(stream_.socket()))
{
    connections_->add(*this);
}

http_session::~http_session()
{
    record_bytes(0);
    connections_->remove(*this);
}

void http_session::read()
{
    const auto& limits = connections_->limits;
    parser_.emplace();
    parser_->header_limit(limits.max_header_bytes);
    parser_->body_limit(limits.max_body_bytes);
    parser_->eager(true);
    reading_ = true;
    header_begun_ = false;
    body_begun_ = false;
    header_taken_ = false;
    request_ = {};
    reading_since_ = boot_now();
    stream_.expires_after(std::chrono::milliseconds(limits.idle_timeout_ms));
    parse();
}

void http_session::close_if_idle()
{
    if (reading_ && !(parser_ && parser_->got_some()) && buffer_.size() == 0)
    {
        disconnect();
    }
}

void http_session::disconnect()
{
    beast::error_code ignored;
    stream_.socket().close(ignored);
}

// Parses what has arrived, and reads on until the request is complete.
void http_session::parse()
{
    beast::error_code error;
    while (buffer_.size() > 0 && !parser_->is_done() && !error)
    {
        buffer_.consume(parser_->put(buffer_.data(), error));
        if (parser_->is_header_done() && !header_taken_)
        {
            take_header();
        }
    }
    if (error == http::error::need_more)
    {
        error = {};
    }
    if (error || parser_->is_done())
    {
        on_read(error);
        return;
    }
    // The parser searches the line of a chunk's size, and the trailer, for
    // their end without a limit of its own.
    if (buffer_.size() >= max_unparsed_bytes())
    {
        on_read(http::make_error_code(http::error::header_limit));
        return;
    }
    if (reserve_input())
    {
        read_some();
    }
}

// Keeps what the handler needs of the header and releases its fields: each
// takes some 40 bytes beside its text, and the body may take long to arrive.
void http_session::take_header()
{
    header_taken_ = true;
    auto& message = parser_->get();
    close_after_ = !parser_->keep_alive();
    repeatable_ = message.method() == http::verb::get;
    request_.method = std::string(message.method_string());
    request_.target = std::string(message.target());
    request_.host = host_without_port(message[http::field::host]);
    request_.authorization = std::string(message[http::field::authorization]);
    request_.time_left_ms =
        parse_milliseconds(message[connections_->deadline_header]);
    message.clear();
}

// Returns the bytes that are kept for the incomplete request. A body counts as
// far as it has arrived.
std::size_t http_session::input_bytes() const
{
    return buffer_.capacity() + header_bytes(request_) +
           (parser_ && parser_->is_header_done() ? parser_->get().body().size()
                                                 : 0);
}

bool http_session::reserve_input()
{
    const auto bytes = input_bytes() + piece_bytes();
    if (!connections_->reserve(*this, counted_bytes_, bytes))
    {
        return false;
    }
    counted_bytes_ = bytes;
    return true;
}

void http_session::record_bytes(std::size_t bytes)
{
    connections_->record(counted_bytes_, bytes);
    counted_bytes_ = bytes;
}

// Returns how many bytes may be buffered that are not parsed.
std::size_t http_session::max_unparsed_bytes() const
{
    return connections_->limits.max_header_bytes + parse_margin_bytes;
}

// Returns how many bytes the next read asks for. A body of known length is
// parsed as it arrives; anything else may have to stay in the buffer.
std::size_t http_session::piece_bytes() const
{
    const auto remaining = parser_->is_header_done()
                               ? parser_->content_length_remaining()
                               : boost::none;
    if (remaining)
    {
        return static_cast<std::size_t>(std::clamp<std::uint64_t>(
            *remaining, min_piece_bytes, max_piece_bytes));
    }
    const auto room = max_unparsed_bytes() - buffer_.size();
    return std::min(room, parser_->is_header_done() ? chunked_piece_bytes
                                                    : min_piece_bytes);
}

void http_session::read_some()
{
    piece_pending_ = true;
    stream_.async_read_some(
        buffer_.prepare(piece_bytes()),
        [self = shared_from_this()](beast::error_code error, std::size_t bytes)
        {
            self->on_piece(error, bytes);
        });
}

void http_session::on_piece(beast::error_code error, std::size_t bytes)
{
    piece_pending_ = false;
    if (refused_)
    {
        write_refusal();
        return;
    }
    if (error)
    {
        on_read(error == boost::asio::error::eof && parser_->got_some()
                    ? http::make_error_code(http::error::partial_message)
                    : error);
        return;
    }
    buffer_.commit(bytes);
    const auto& limits = connections_->limits;
    if (!std::exchange(header_begun_, true))
    {
        reading_since_ = boot_now();
        stream_.expires_after(
            std::chrono::milliseconds(limits.request_timeout_ms));
    }
    if (parser_->is_header_done() && !std::exchange(body_begun_, true))
    {
        stream_.expires_after(
            std::chrono::milliseconds(limits.idle_timeout_ms));
    }
    parse();
}

void http_session::on_read(beast::error_code error)
{
    reading_ = false;
    if (error == http::error::body_limit || error == http::error::header_limit)
    {
        connections_->report_too_large(peer_);
        close_after_ = true;
        write({error == http::error::body_limit ? body_too_large
                                                : header_too_large,
               R"({"error":"too large"})", 0});
        return;
    }
    if (error && (!parser_->got_some() || !is_http_error(error)))
    {
        disconnect();
        return;
    }
    if (error)
    {
        close_after_ = true;
        write({400, R"({"error":"not an HTTP request"})", 0});
        return;
    }
    stream_.expires_never();
    handle();
}

// Calls the handler. An exception that a request causes must not end the
// process, which serves others; the request may have had an effect.
void http_session::handle()
{
    auto request = std::exchange(request_, {});
    request.body = std::move(parser_->get().body());
    parser_.reset();
    if (buffer_.size() == 0 && buffer_.capacity() > retained_buffer_bytes)
    {
        buffer_.shrink_to_fit();
    }
    record_bytes(buffer_.capacity() + request.body.size() +
                 header_bytes(request));
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
        connections_->handler(std::move(request), respond);
    }
    catch (const std::exception& error)
    {
        log_event(log_level::error, "request_failed",
                  {{"target", target}, {"reason", error.what()}});
        respond({outcome_unknown, "{}", 0});
    }
}

// Releases what was kept for the request. The buffer stays until the read that
// is under way has ended, which writes to it.
void http_session::refuse()
{
    refused_ = true;
    close_after_ = true;
    parser_.reset();
    request_ = {};
    record_bytes(0);
    if (piece_pending_)
    {
        stream_.cancel();
    }
    else
    {
        write_refusal();
    }
}

void http_session::write_refusal()
{
    reading_ = false;
    buffer_.clear();
    buffer_.shrink_to_fit();
    write({unavailable, R"({"error":"too many requests at once"})",
           refusal_retry_after_ms});
}

void http_session::write(http_server_answer answer)
{
    const auto kept = buffer_.capacity() + answer.body.size();
    if (repeatable_ && answer.body.size() > small_answer_bytes &&
        !connections_->budget().fits(counted_bytes_, kept))
    {
        close_after_ = true;
        answer = {unavailable, R"({"error":"too many answers at once"})",
                  refusal_retry_after_ms};
    }
    repeatable_ = false;
    record_bytes(buffer_.capacity() + answer.body.size());
    response_.emplace();
    response_->version(11);
    response_->result(answer.status);
    response_->set(http::field::content_type, answer.content_type);
    if (answer.retry_after_ms > 0)
    {
        response_->set(http::field::retry_after,
                       std::to_string((answer.retry_after_ms + 999) / 1000));
    }
    response_->body() = std::move(answer.body);
    close_after_ = close_after_ || connections_->draining;
    response_->keep_alive(!close_after_);
    response_->prepare_payload();
    stream_.expires_after(
        std::chrono::milliseconds(connections_->limits.idle_timeout_ms));
    http::async_write(
        stream_, *response_,
        [self = shared_from_this()](beast::error_code error, std::size_t)
        {
            self->on_written(error);
        });
}

void http_session::on_written(beast::error_code error)
{
    response_.reset();
    record_bytes(buffer_.capacity());
    if (error)
    {
        disconnect();
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

} // namespace limpetstack
