#pragma once

#include "transport/connection_budget.hpp"

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace limpetstack
{

/// Bounds on one connection of a listener.
struct stream_limits
{
    std::size_t header_bytes = 16384; // Request line and header.
    std::size_t line_bytes = 4096;    // Of any line behind the header.
    std::size_t body_bytes = 1U << 20U;
    std::chrono::milliseconds silence{5000}; // Nothing is sent or read.
    // The same while other connections wait for a thread.
    std::chrono::milliseconds contended_silence{1000};
    std::chrono::milliseconds header{5000};   // From its first byte.
    std::chrono::milliseconds request{15000}; // From its first byte.
    std::chrono::milliseconds answer{15000};  // Until it is read.
};

/// Why a request was not read to its end.
enum class read_refusal
{
    none,
    header_too_large,
    body_too_large,
    encoded_body,
    budget_exhausted
};

/// The stream that cpp-httplib reads requests from and writes answers to. The
/// library (0.11) reads lines of any length and chunked bodies of any size, so
/// this stream ends when a limit is exceeded. It relies on that the library
/// reads lines byte by byte and bodies in larger pieces.
class bounded_stream : public httplib::Stream
{
public:
    bounded_stream(int socket, const stream_limits& limits,
                   connection_budget& budget);
    ~bounded_stream() override;
    bounded_stream(const bounded_stream&) = delete;
    bounded_stream& operator=(const bounded_stream&) = delete;

    /// Prepares for the next request of the connection.
    void begin_request();

    /// Ends the request: releases what it kept.
    void end_request();

    /// Returns true when input of the next request has arrived. Waits for
    /// `timeout` at most.
    bool wait_for_input(std::chrono::milliseconds timeout) const;

    read_refusal refusal() const { return refusal_; }

    /// Ends the request: nothing more of it is read.
    ssize_t refuse(read_refusal reason);

    /// Returns true when another connection needed the room or the thread.
    bool is_refused() const { return budget_.is_refused(account_); }

    /// Sends the answer of a refused request. What the library writes after
    /// a refusal is dropped.
    void write_refusal();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* out, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_; }

private:
    bool check_limits(char byte);
    bool fill(std::chrono::milliseconds timeout);
    ssize_t send_all(const char* data, std::size_t size);
    bool wait_in_turn(short events, std::chrono::milliseconds timeout) const;
    bool poll_socket(short events, std::chrono::milliseconds timeout) const;

    const int socket_;
    const stream_limits limits_;
    connection_budget& budget_;
    connection_budget::connection account_;
    std::array<char, 4096> buffer_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    bool in_header_ = true;
    std::size_t line_ = 0;   // Bytes of the current line.
    std::size_t header_ = 0; // Bytes of request line and header.
    std::size_t body_ = 0;   // Bytes of the body, without lines.
    std::size_t behind_ = 0; // Bytes of lines behind the header.
    std::size_t unreserved_ = 0;
    time_point request_began_;
    time_point answer_began_;
    bool answering_ = false;
    read_refusal refusal_ = read_refusal::none;
};

} // namespace limpetstack
