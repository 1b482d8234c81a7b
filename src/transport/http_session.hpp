#pragma once

#include "base/clock.hpp"
#include "transport/http_server.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace limpetstack
{

/// One connection of an HTTP listener. It reads a request in pieces, counts
/// what it keeps, and reads the next request after the answer is written.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<http_connections> connections);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /// Reads the next request.
    void read();

    /// Closes the connection unless a request has begun.
    void close_if_idle();

    /// Closes the connection.
    void disconnect();

    /// Answers the incomplete request that it was refused, and closes.
    void refuse();

    /// Returns true while no complete request has arrived.
    bool is_reading() const { return reading_ && !refused_; }
    time_point reading_since() const { return reading_since_; }
    std::size_t kept_bytes() const { return counted_bytes_; }
    const std::string& peer() const { return peer_; }

private:
    using error_code = boost::beast::error_code;

    void parse();
    void take_header();
    bool reserve_input();
    void read_some();
    std::size_t max_unparsed_bytes() const;
    std::size_t piece_bytes() const;
    std::size_t input_bytes() const;
    void on_piece(error_code error, std::size_t bytes);
    void on_read(error_code error);
    void handle();
    void write_refusal();
    void write(http_server_answer answer);
    void on_written(error_code error);
    void record_bytes(std::size_t bytes);

    boost::beast::tcp_stream stream_;
    std::shared_ptr<http_connections> connections_;
    std::string peer_; // Address of the client.
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>>
        response_;
    // The request without its body, once the header is complete.
    http_server_request request_;
    time_point reading_since_;
    std::size_t counted_bytes_ = 0; // Of this connection, in the budget.
    bool reading_ = false;
    bool piece_pending_ = false; // A read is under way.
    bool header_begun_ = false;
    bool body_begun_ = false;
    bool header_taken_ = false;
    bool refused_ = false;
    bool repeatable_ = false; // The request in progress changes nothing.
    bool close_after_ = false;
};

} // namespace limpetstack
