#include "transport/upstream_client.hpp"

#include "base/hash.hpp"
#include "base/metrics.hpp"

#include <httplib.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace limpetstack
{
namespace
{

// Connections that were idle longer are closed: common servers close theirs
// after 5 s, and a request that meets such a close counts as broken.
constexpr milliseconds idle_limit{2000};

constexpr milliseconds connect_limit{1000};

using client_ptr = std::shared_ptr<httplib::Client>;

std::optional<std::pair<std::string, int>> split(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon + 1 == address.size())
    {
        return std::nullopt;
    }
    int port = 0;
    for (const char digit : address.substr(colon + 1))
    {
        if (digit < '0' || digit > '9' || port > 65535)
        {
            return std::nullopt;
        }
        port = 10 * port + (digit - '0');
    }
    return std::make_pair(address.substr(0, colon), port);
}

client_ptr connect_to(const std::string& host, int port)
{
    auto out = std::make_shared<httplib::Client>(host, port);
    out->set_keep_alive(true);
    out->set_tcp_nodelay(true);
    out->set_follow_location(false);
    out->set_decompress(false);
    return out;
}

// Returns the declared length, or nothing when it is missing, repeated or not
// a number.
std::optional<std::uint64_t> declared_length(const httplib::Response& response)
{
    const std::string name = "Content-Length";
    if (response.get_header_value_count(name) != 1 ||
        response.has_header("Transfer-Encoding"))
    {
        return std::nullopt;
    }
    const auto text = response.get_header_value(name);
    if (text.empty() || text.size() > 18 ||
        !std::all_of(text.begin(), text.end(),
                     [](char c)
                     {
                         return c >= '0' && c <= '9';
                     }))
    {
        return std::nullopt;
    }
    return std::stoull(text);
}

// Returns why the headers do not belong to a whole answer to this attempt.
std::string header_fault(const httplib::Response& response,
                         const upstream_attempt& attempt, std::uint64_t limit)
{
    if (response.get_header_value("Limpetstack-Request-Id") != attempt.id)
    {
        return "answer carries another request id";
    }
    if (response.get_header_value("Limpetstack-Attempt") !=
        std::to_string(attempt.attempt))
    {
        return "answer carries another attempt";
    }
    const auto length = declared_length(response);
    if (!length)
    {
        return "answer declares no length";
    }
    if (*length > limit)
    {
        return "answer is too large";
    }
    return {};
}

std::string body_fault(const httplib::Response& response,
                       const std::string& body)
{
    if (declared_length(response) != body.size())
    {
        return "answer is cut off";
    }
    const auto digest = response.get_header_value("Limpetstack-Digest");
    if (!digest.empty() && digest != "sha-256=" + sha256_hex(body))
    {
        return "answer has a wrong digest";
    }
    return {};
}

upstream_answer failure(attempt_result result, std::string reason)
{
    upstream_answer out;
    out.result = result;
    out.reason = std::move(reason);
    return out;
}

httplib::Request request_of(const upstream_attempt& attempt)
{
    httplib::Request out;
    out.method = "POST";
    out.path = "/run";
    out.set_header("Limpetstack-Request-Id", attempt.id);
    out.set_header("Limpetstack-Attempt", std::to_string(attempt.attempt));
    out.set_header("Limpetstack-Account", attempt.account);
    out.set_header("Limpetstack-Service", attempt.service);
    // Lengths and digests are those of the bytes that are passed on.
    out.set_header("Accept-Encoding", "identity");
    out.set_header("Content-Type", attempt.content_type.empty()
                                       ? "application/octet-stream"
                                       : attempt.content_type);
    out.body = std::string(attempt.body);
    return out;
}

} // namespace

/// Kept-alive connections by address.
class upstream_client::pool
{
public:
    /// Takes a connection; waits until `deadline` for one to become free.
    /// Returns nothing after that or for a malformed address.
    client_ptr acquire(const upstream_attempt& attempt, time_point deadline)
    {
        const auto target = split(attempt.address);
        if (!target)
        {
            return nullptr;
        }
        std::unique_lock lock(mutex_);
        discard_idle(steady_now());
        const auto limit = std::max<std::uint32_t>(1, attempt.connections);
        const bool free = freed_.wait_until(
            lock, deadline,
            [&]
            {
                return upstreams_[attempt.address].in_use < limit;
            });
        if (!free)
        {
            return nullptr;
        }
        auto& upstream = upstreams_[attempt.address];
        ++upstream.in_use;
        if (upstream.idle.empty())
        {
            return connect_to(target->first, target->second);
        }
        auto out = std::move(upstream.idle.back().client);
        upstream.idle.pop_back();
        return out;
    }

    void release(const std::string& address, client_ptr client, bool reusable)
    {
        {
            const std::lock_guard lock(mutex_);
            auto& upstream = upstreams_[address];
            --upstream.in_use;
            if (reusable)
            {
                upstream.idle.push_back({std::move(client), steady_now()});
            }
        }
        freed_.notify_all();
    }

private:
    struct idle_client
    {
        client_ptr client;
        time_point since;
    };

    struct upstream
    {
        std::uint32_t in_use = 0;
        std::deque<idle_client> idle; // Oldest first.
    };

    // Also drops addresses that are no longer used.
    void discard_idle(time_point now)
    {
        if (now - last_discard_ < idle_limit / 4)
        {
            return;
        }
        last_discard_ = now;
        for (auto i = upstreams_.begin(); i != upstreams_.end();)
        {
            auto& idle = i->second.idle;
            while (!idle.empty() && now - idle.front().since > idle_limit)
            {
                idle.pop_front();
            }
            i = idle.empty() && i->second.in_use == 0 ? upstreams_.erase(i)
                                                      : std::next(i);
        }
    }

    std::mutex mutex_;
    std::condition_variable freed_;
    std::map<std::string, upstream> upstreams_;
    time_point last_discard_{};
};

/// Ends attempts at their deadline. The library's timeouts count from the last
/// byte, so an upstream that sends a byte now and then would escape them.
class upstream_client::watchdog
{
public:
    using ticket = std::multimap<time_point, std::weak_ptr<httplib::Client>>;

    watchdog()
        : thread_(
              [this]
              {
                  work();
              })
    {
    }

    ~watchdog()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_all();
        thread_.join();
    }

    ticket::iterator watch(const client_ptr& client, time_point deadline)
    {
        const std::lock_guard lock(mutex_);
        const auto out = watched_.emplace(deadline, client);
        if (out == watched_.begin())
        {
            wake_.notify_all();
        }
        return out;
    }

    void forget(ticket::iterator entry)
    {
        const std::lock_guard lock(mutex_);
        watched_.erase(entry);
    }

private:
    void work()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_)
        {
            if (watched_.empty())
            {
                wake_.wait(lock);
                continue;
            }
            const auto first = watched_.begin();
            if (steady_now() < first->first)
            {
                const auto due = first->first;
                wake_.wait_until(lock, due);
                continue;
            }
            const auto client = first->second.lock();
            // Due again a little later: the attempt may have been between two
            // steps. Entries are removed by forget() alone.
            auto node = watched_.extract(first);
            node.key() = steady_now() + milliseconds(50);
            watched_.insert(std::move(node));
            lock.unlock();
            if (client)
            {
                client->stop();
            }
            lock.lock();
        }
    }

    std::mutex mutex_;
    std::condition_variable wake_;
    ticket watched_;
    bool stopping_ = false;
    std::thread thread_;
};

upstream_client::upstream_client(std::uint64_t answer_bytes, metrics& counters)
    : answer_bytes_(answer_bytes)
    , metrics_(counters)
    , pool_(std::make_unique<pool>())
    , watchdog_(std::make_unique<watchdog>())
{
}

upstream_client::~upstream_client() = default;

upstream_answer upstream_client::call(const upstream_attempt& attempt)
{
    auto out = exchange(attempt);
    static constexpr const char* names[] = {"whole", "refused",
                                            "connect_failed", "broken"};
    metrics_.add(std::string("upstream_attempts_total{result=\"") +
                 names[static_cast<int>(out.result)] + "\"}");
    return out;
}

upstream_answer upstream_client::exchange(const upstream_attempt& attempt)
{
    const auto deadline = steady_now() + attempt.timeout;
    auto client = pool_->acquire(attempt, deadline);
    if (!client)
    {
        return failure(attempt_result::connect_failed,
                       "no connection available");
    }
    client->set_connection_timeout(std::min(connect_limit, attempt.timeout));
    client->set_read_timeout(attempt.timeout);
    client->set_write_timeout(attempt.timeout);
    auto request = request_of(attempt);
    std::string body;
    std::string fault;
    request.response_handler = [&](const httplib::Response& response)
    {
        if (response.has_header("Limpetstack-Refused"))
        {
            return true;
        }
        fault = header_fault(response, attempt, answer_bytes_);
        return fault.empty();
    };
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (body.size() + size > answer_bytes_ || steady_now() >= deadline)
        {
            return false;
        }
        body.append(data, size);
        return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    const auto watched = watchdog_->watch(client, deadline);
    const bool sent = client->send(request, response, error);
    watchdog_->forget(watched);
    const bool refused =
        sent && response.status == 503 &&
        response.get_header_value("Limpetstack-Refused") == "1" &&
        header_fault(response, attempt, answer_bytes_).empty();
    if (sent && !refused && fault.empty())
    {
        fault = header_fault(response, attempt, answer_bytes_);
    }
    if (sent && !refused && fault.empty())
    {
        fault = body_fault(response, body);
    }
    pool_->release(attempt.address, std::move(client), sent && fault.empty());
    if (refused)
    {
        return failure(attempt_result::refused_before_run,
                       "refused by the upstream");
    }
    if (error == httplib::Error::Connection ||
        error == httplib::Error::ConnectionTimeout)
    {
        return failure(attempt_result::connect_failed, "connect failed");
    }
    if (!sent || !fault.empty())
    {
        return failure(attempt_result::broken,
                       fault.empty() ? httplib::to_string(error) : fault);
    }
    upstream_answer out;
    out.result = attempt_result::whole_answer;
    out.status = static_cast<std::uint32_t>(response.status);
    out.content_type = response.get_header_value("Content-Type");
    out.body = std::move(body);
    return out;
}

} // namespace limpetstack
