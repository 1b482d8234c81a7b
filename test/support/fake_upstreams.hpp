#pragma once

#include "coordination/upstream_caller.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace limpetstack
{

/// Upstreams in memory, named by their addresses. They count the runs of each
/// id and how many attempts each address has at once.
class fake_upstreams : public upstream_caller
{
public:
    /// Shares of attempts that end otherwise than with a whole answer.
    struct faults
    {
        double refused = 0;
        double connect_failed = 0;
        double broken_before_run = 0;
        double broken_after_run = 0;
    };

    explicit fake_upstreams(std::uint64_t seed = 1)
        : random_(seed)
    {
    }

    upstream_answer call(const upstream_attempt& attempt) override;

    void set_faults(faults shares);
    void set_service_time(milliseconds time);

    /// Makes one address give this result to every attempt; broken ones ran.
    void set_result(const std::string& address, attempt_result result);

    /// Holds every attempt back until `open`, or lets it pass.
    void close();
    void open();

    /// Blocks until this many attempts are in progress.
    void wait_for_attempts(int count);

    int runs(const std::string& id) const;
    int attempts(const std::string& address) const;
    int total_attempts() const;
    int most_at_once(const std::string& address) const;

    /// Returns the answer that a run of this id gives.
    static std::string answer_of(const std::string& id, std::string_view body);

private:
    attempt_result choose(const std::string& address, bool& ran);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::mt19937_64 random_;
    faults shares_;
    milliseconds service_time_{0};
    bool closed_ = false;
    int in_progress_ = 0;
    std::map<std::string, attempt_result> results_;
    std::map<std::string, int> runs_;
    std::map<std::string, int> attempts_;
    std::map<std::string, int> at_once_;
    std::map<std::string, int> most_at_once_;
};

} // namespace limpetstack
