#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetstack
{

/// A request that waits for a slot. Tickets are unique in one queue.
struct queued_request
{
    std::uint64_t ticket = 0;
    std::string account;
    std::string caller;
    time_point deadline;
};

/// What became of a request that was offered to a queue.
struct push_outcome
{
    bool accepted = false;
    bool hopeless = false; // Refused, since its deadline can not be met.
    std::optional<std::uint64_t> displaced; // Refused in favour of this one.
    milliseconds retry_after{0};            // For the refused one.
};

/// Queue of one service: deficit round robin over the accounts by weight, and
/// inside an account over its callers. A request costs its learned service
/// time. Pure and not synchronized.
class fair_queue
{
public:
    /// Holds at most `length` requests.
    explicit fair_queue(std::size_t length)
        : length_(length)
    {
    }

    /// Offers a request. `slots` is the number of requests that run at once, 0
    /// when unknown. A full queue refuses the newest request of the longest
    /// caller of the account that is longest for its weight, which can be the
    /// offered one.
    push_outcome push(const queued_request& request, std::uint32_t weight,
                      time_point now, std::uint32_t slots);

    /// Takes out the request whose turn it is.
    std::optional<queued_request> pop();

    /// Takes out the requests whose deadline has passed.
    std::vector<queued_request> expire(time_point now);

    bool remove(std::uint64_t ticket);

    /// Learns from the service time of a finished request.
    void learn(const std::string& account, const std::string& caller,
               milliseconds service_time);

    /// Estimates when a new request of this caller would get a slot.
    milliseconds estimated_wait(const std::string& account,
                                const std::string& caller, std::uint32_t weight,
                                std::uint32_t slots) const;

    std::size_t size() const { return index_.size(); }

private:
    struct caller_queue
    {
        std::deque<queued_request> items;
        double deficit = 0;
    };

    struct account_queue
    {
        std::uint32_t weight = 1;
        std::size_t size = 0;
        double deficit = 0;
        std::map<std::string, caller_queue> callers;
        std::deque<std::string> ring;
    };

    struct average
    {
        double value = 0;
        std::uint64_t samples = 0;
        void add(double sample);
    };

    struct account_cost
    {
        average mean;
        std::unordered_map<std::string, average> callers;
    };

    struct place
    {
        std::string account;
        std::string caller;
    };

    double mean_cost() const;
    double mean_cost(const std::string& account) const;
    double cost(const std::string& account, const std::string& caller) const;
    milliseconds drain_time(std::uint32_t slots) const;
    place longest(const queued_request& offered, std::uint32_t weight) const;
    void append(const queued_request& request, std::uint32_t weight);
    std::uint64_t drop_newest(const place& from);
    const std::string& next_caller(const std::string& name,
                                   account_queue& account);
    queued_request take_front(const std::string& account,
                              const std::string& caller);
    void drop_if_empty(const place& from);

    std::size_t length_;
    std::map<std::string, account_queue> accounts_; // Active ones.
    std::deque<std::string> ring_;
    std::unordered_map<std::uint64_t, place> index_;
    average mean_;
    std::map<std::string, account_cost> costs_;
};

} // namespace limpetstack
