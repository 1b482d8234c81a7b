#include "transport/bounded_stream.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace limpetstack
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Input is reserved in steps of this size, so that small requests take no lock.
// What is kept below it is bounded by the number of threads.
constexpr std::size_t reservation_step = 16384;

// The library collects a body in a string, which grows by doubling.
constexpr std::size_t bytes_per_input_byte = 2;

// Bodies of chunks of one byte arrive as lines of six bytes for each byte.
constexpr std::size_t line_bytes_per_body_byte = 6;

// Input that is read and dropped behind a refused request.
constexpr std::size_t max_discarded_bytes = 262144;
constexpr milliseconds discard_silence{100};

void read_address(const sockaddr_storage& address, std::string& ip, int& port)
{
    char text[INET6_ADDRSTRLEN] = "";
    if (address.ss_family == AF_INET)
    {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
        ::inet_ntop(AF_INET, &v4.sin_addr, text, sizeof text);
        port = ntohs(v4.sin_port);
    }
    else if (address.ss_family == AF_INET6)
    {
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof text);
        port = ntohs(v6.sin6_port);
    }
    ip = text;
}

} // namespace

bounded_stream::bounded_stream(int socket, const stream_limits& limits,
                               connection_budget& budget)
    : socket_(socket)
    , limits_(limits)
    , budget_(budget)
{
    account_.socket = socket;
    budget_.add(account_);
    budget_.set_reading(account_, true);
}

bounded_stream::~bounded_stream()
{
    budget_.remove(account_);
}

void bounded_stream::begin_request()
{
    in_header_ = true;
    line_ = 0;
    header_ = 0;
    body_ = 0;
    behind_ = 0;
    answering_ = false;
    request_began_ = steady_now();
}

void bounded_stream::end_request()
{
    unreserved_ = 0;
    budget_.release(account_);
    budget_.set_reading(account_, true);
}

bool bounded_stream::wait_for_input(milliseconds timeout) const
{
    return begin_ < end_ || poll_socket(POLLIN, timeout);
}

bool bounded_stream::is_readable() const
{
    return wait_for_input(limits_.silence);
}

bool bounded_stream::is_writable() const
{
    return poll_socket(POLLOUT, limits_.silence);
}

ssize_t bounded_stream::read(char* out, std::size_t size)
{
    if (refusal_ != read_refusal::none)
    {
        return -1;
    }
    if (begin_ == end_)
    {
        const auto limit = in_header_ ? limits_.header : limits_.request;
        const auto left =
            duration_cast<milliseconds>(request_began_ + limit - steady_now());
        if (left <= milliseconds(0) || !fill(std::min(left, limits_.silence)))
        {
            return budget_.is_refused(account_)
                       ? refuse(read_refusal::budget_exhausted)
                       : -1;
        }
        if (begin_ == end_)
        {
            return budget_.is_refused(account_)
                       ? refuse(read_refusal::budget_exhausted)
                       : 0; // The client has ended its side.
        }
    }
    const auto count = std::min(size, end_ - begin_);
    unreserved_ += count;
    if (unreserved_ >= reservation_step)
    {
        if (!budget_.reserve(account_, bytes_per_input_byte * unreserved_))
        {
            return refuse(read_refusal::budget_exhausted);
        }
        unreserved_ = 0;
    }
    if (size == 1)
    {
        if (!check_limits(buffer_[begin_]))
        {
            return -1;
        }
    }
    else
    {
        body_ += count;
        if (body_ > limits_.body_bytes)
        {
            return refuse(read_refusal::body_too_large);
        }
    }
    std::memcpy(out, buffer_.data() + begin_, count);
    begin_ += count;
    return static_cast<ssize_t>(count);
}

// Counts a byte of a line. The header ends with the first empty line.
bool bounded_stream::check_limits(char byte)
{
    if (byte != '\r' && byte != '\n')
    {
        ++line_;
    }
    if (in_header_)
    {
        if (++header_ > limits_.header_bytes)
        {
            refuse(read_refusal::header_too_large);
            return false;
        }
    }
    else if (line_ > limits_.line_bytes)
    {
        refuse(read_refusal::header_too_large);
        return false;
    }
    else if (++behind_ > line_bytes_per_body_byte * limits_.body_bytes +
                             limits_.header_bytes)
    {
        refuse(read_refusal::body_too_large);
        return false;
    }
    if (byte == '\n')
    {
        in_header_ = in_header_ && line_ > 0;
        line_ = 0;
    }
    return true;
}

// Reads what has arrived. Leaves the buffer empty at the end of the input.
bool bounded_stream::fill(milliseconds timeout)
{
    if (!wait_in_turn(POLLIN, timeout))
    {
        if (budget_.waiting() > 0)
        {
            refuse(read_refusal::budget_exhausted);
        }
        return false;
    }
    const auto count = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (count < 0)
    {
        return false;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(count);
    return true;
}

ssize_t bounded_stream::refuse(read_refusal reason)
{
    refusal_ = reason;
    return -1;
}

ssize_t bounded_stream::write(const char* data, std::size_t size)
{
    if (refusal_ != read_refusal::none)
    {
        return static_cast<ssize_t>(size);
    }
    return send_all(data, size);
}

ssize_t bounded_stream::send_all(const char* data, std::size_t size)
{
    if (!answering_)
    {
        answering_ = true;
        answer_began_ = steady_now();
        budget_.set_reading(account_, false);
    }
    std::size_t sent = 0;
    while (sent < size)
    {
        const auto left = duration_cast<milliseconds>(
            answer_began_ + limits_.answer - steady_now());
        if (left <= milliseconds(0) ||
            !wait_in_turn(POLLOUT, std::min(left, limits_.silence)))
        {
            return -1;
        }
        const auto count = ::send(socket_, data + sent, size - sent,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN && errno != EINTR)
        {
            return -1;
        }
        sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    return static_cast<ssize_t>(sent);
}

void bounded_stream::write_refusal()
{
    const char* status = "503 Service Unavailable\r\nRetry-After: 1";
    const char* body = R"({"error":"too many requests are being received"})";
    if (refusal_ == read_refusal::header_too_large)
    {
        status = "431 Request Header Fields Too Large";
        body = R"({"error":"a line or the header is larger than the limit"})";
    }
    else if (refusal_ == read_refusal::body_too_large)
    {
        status = "413 Payload Too Large";
        body = R"({"error":"the body is larger than the limit"})";
    }
    else if (refusal_ == read_refusal::encoded_body)
    {
        status = "415 Unsupported Media Type";
        body = R"({"error":"compressed bodies are not supported"})";
    }
    const auto text = std::string("HTTP/1.1 ") + status +
                      "\r\nConnection: close\r\n"
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(std::strlen(body)) + "\r\n\r\n" + body;
    // One attempt: a client that sends without end may read nothing.
    ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(socket_, SHUT_WR);
    // Unread input would reset the connection and with it the answer.
    for (std::size_t read = 0; read < max_discarded_bytes; read += end_)
    {
        if (!fill(discard_silence) || end_ == 0)
        {
            return;
        }
    }
}

// Waits for a shorter time while other connections wait for the thread.
bool bounded_stream::wait_in_turn(short events, milliseconds timeout) const
{
    const auto first = std::min(timeout, limits_.contended_silence);
    if (poll_socket(events, first))
    {
        return true;
    }
    return budget_.waiting() == 0 && poll_socket(events, timeout - first);
}

bool bounded_stream::poll_socket(short events, milliseconds timeout) const
{
    const auto deadline = steady_now() + timeout;
    for (;;)
    {
        const auto left =
            duration_cast<milliseconds>(deadline - steady_now()).count();
        pollfd item{socket_, events, 0};
        const int ready =
            ::poll(&item, 1, static_cast<int>(std::max<long long>(left, 0)));
        if (ready >= 0 || errno != EINTR)
        {
            return ready > 0;
        }
    }
}

void bounded_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    ::getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    read_address(address, ip, port);
}

void bounded_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    read_address(address, ip, port);
}

} // namespace limpetstack
