#pragma once

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

/// An answer to an HTTP call. Status 0 means that there was none: the call may
/// have been carried out, or may be later.
struct http_channel_answer
{
    unsigned status = 0;
    std::string body;
    bool sent = true; // False when no byte of the call left this host.
};

/// Sends HTTP/1.1 calls to one address over one kept connection, one after the
/// other. The connection is opened when it is needed and closed after a failure
/// or a timeout. For the thread that runs `io`; callbacks come from there.
class http_channel
{
public:
    using headers = std::vector<std::pair<std::string, std::string>>;
    using callback = std::function<void(const http_channel_answer&)>;

    http_channel(boost::asio::io_context& io, const std::string& address);
    ~http_channel(); // Pending calls get no callback.
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Queues a call. `timeout` runs from when it is sent.
    void send(const std::string& method, const std::string& target,
              const headers& extra, std::string body,
              std::chrono::milliseconds timeout, callback done);

    /// Returns the calls that wait or are in progress.
    std::size_t backlog() const;

    /// Returns for how long the call in progress has waited; zero without one.
    std::chrono::milliseconds waited() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace limpetstack
