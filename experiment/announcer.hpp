#pragma once

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack::test
{

/// Announces a stand-in to one daemon after the other, as a balancer would
/// spread its calls.
class announcer
{
public:
    /// `daemons` are callers' listeners (IP:port); `path` is /v1/upstreams or
    /// /v1/workers; `content` returns the announcement without its sequence.
    announcer(std::vector<std::string> daemons, std::string path,
              std::function<nlohmann::json()> content);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    /// Announces soon, and again until two daemons have confirmed.
    void announce_now();

private:
    void run();
    bool announce_to(const std::string& daemon);

    const std::vector<std::string> daemons_;
    const std::string path_;
    const std::function<nlohmann::json()> content_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    int urgent_ = 2; // Confirmations still wanted before the slow pace.
    std::uint64_t sequence_ = 0;
    std::thread thread_;
};

} // namespace limpetstack::test
