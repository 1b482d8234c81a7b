#pragma once

#include "base/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack
{

/// The answer to an HTTP call. Status 0 means that no answer came: the receiver
/// may have carried out the call, or may carry it out later.
struct http_channel_answer
{
    unsigned status = 0;
    std::string body;
    bool sent = true; // False when no byte of the call was sent.
    // The receiver closed or refused the connection; otherwise, without an
    // answer, it was silent until the timeout.
    bool closed = false;
    // The connection was opened for this call, or an attempt was made.
    bool on_new_connection = false;
};

/// Sends HTTP/1.1 calls to one address, one after the other, over a persistent
/// connection. The connection is opened when it is needed and closed after a
/// failure or a timeout. Not thread-safe: all functions must be called on the
/// thread that runs `io`, which also invokes the callbacks.
class http_channel
{
public:
    using headers = std::vector<std::pair<std::string, std::string>>;
    using callback = std::function<void(const http_channel_answer&)>;

    http_channel(boost::asio::io_context& io, const std::string& address);
    ~http_channel(); // The callbacks of pending calls are not invoked.
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Queues a call. `timeout` starts when the call's request is sent, not
    /// when the call is queued.
    void send(const std::string& method, const std::string& target,
              const headers& extra, std::string body,
              std::chrono::milliseconds timeout, callback done);

    /// Returns the number of calls that are queued or in progress.
    std::size_t backlog() const;

    /// Returns true while a connection is open or being opened.
    bool is_open() const;

    /// Returns when the last call was queued or ended.
    time_point last_used() const;

    /// Closes the connection unless a call is queued or in progress. The next
    /// call opens another one.
    void close_if_idle();

    /// Returns how long the current call has been in progress; zero without
    /// one.
    std::chrono::milliseconds waited() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace limpetstack
