#include "coordination/fair_queue.hpp"

#include <algorithm>

namespace limpetstack
{
namespace
{

constexpr double average_weight = 0.1; // Of the newest sample.
constexpr double unknown_cost_ms = 1;

// A cost counts as at most this many times the mean of its level, so that a
// turn needs a bounded number of rounds.
constexpr double largest_cost_ratio = 16;

// Estimates are used only after this many finished requests; earlier they
// would refuse requests on a guess.
constexpr std::uint64_t samples_for_estimate = 8;

// Bounds the memory for costs of callers that come once.
constexpr std::size_t callers_learned = 4096;

constexpr milliseconds shortest_retry_after{100};
constexpr milliseconds longest_retry_after{30000};

} // namespace

void fair_queue::average::add(double sample)
{
    value += samples == 0 ? sample : average_weight * (sample - value);
    ++samples;
}

double fair_queue::mean_cost() const
{
    return mean_.samples == 0 ? unknown_cost_ms : mean_.value;
}

double fair_queue::mean_cost(const std::string& account) const
{
    const auto found = costs_.find(account);
    return found == costs_.end() ? mean_cost() : found->second.mean.value;
}

double fair_queue::cost(const std::string& account,
                        const std::string& caller) const
{
    const auto found = costs_.find(account);
    if (found == costs_.end())
    {
        return mean_cost();
    }
    const auto known = found->second.callers.find(caller);
    return known == found->second.callers.end() ? found->second.mean.value
                                                : known->second.value;
}

void fair_queue::learn(const std::string& account, const std::string& caller,
                       milliseconds service_time)
{
    const double sample =
        std::max(unknown_cost_ms, static_cast<double>(service_time.count()));
    mean_.add(sample);
    auto& learned = costs_[account];
    learned.mean.add(sample);
    if (learned.callers.size() >= callers_learned &&
        learned.callers.count(caller) == 0)
    {
        learned.callers.clear();
    }
    learned.callers[caller].add(sample);
}

milliseconds fair_queue::estimated_wait(const std::string& account,
                                        const std::string& caller,
                                        std::uint32_t weight,
                                        std::uint32_t slots) const
{
    if (slots == 0 || mean_.samples < samples_for_estimate)
    {
        return milliseconds(0);
    }
    // While this caller's requests are served, each other caller of the
    // account gets as many turns, and each other account its share.
    double ahead = 0;
    const auto own = accounts_.find(account);
    if (own != accounts_.end())
    {
        const auto& callers = own->second.callers;
        const auto mine = callers.find(caller);
        const std::size_t queued =
            mine == callers.end() ? 0 : mine->second.items.size();
        ahead = mean_cost(account) *
                static_cast<double>(
                    std::min(own->second.size, (queued + 1) * callers.size()));
    }
    const double share = (ahead + mean_cost(account)) / weight;
    double total = ahead;
    for (const auto& other : accounts_)
    {
        if (other.first != account)
        {
            total += std::min(share * other.second.weight,
                              mean_cost(other.first) *
                                  static_cast<double>(other.second.size));
        }
    }
    return milliseconds(static_cast<std::int64_t>(total / slots));
}

milliseconds fair_queue::drain_time(std::uint32_t slots) const
{
    const double total = mean_cost() * static_cast<double>(size());
    const milliseconds estimate(
        static_cast<std::int64_t>(total / std::max<std::uint32_t>(1, slots)));
    return std::clamp(estimate, shortest_retry_after, longest_retry_after);
}

push_outcome fair_queue::push(const queued_request& request,
                              std::uint32_t weight, time_point now,
                              std::uint32_t slots)
{
    push_outcome out;
    const auto wait =
        estimated_wait(request.account, request.caller, weight, slots);
    if (now + wait > request.deadline)
    {
        out.hopeless = true;
        out.retry_after =
            std::clamp(wait, shortest_retry_after, longest_retry_after);
        return out;
    }
    if (size() >= length_)
    {
        out.retry_after = drain_time(slots);
        const auto victim = longest(request, weight);
        if (victim.account == request.account &&
            victim.caller == request.caller)
        {
            return out;
        }
        out.displaced = drop_newest(victim);
    }
    append(request, weight);
    out.accepted = true;
    return out;
}

// Returns the longest caller of the longest account, counting the offered
// request as queued. The offered one's own place wins ties.
fair_queue::place fair_queue::longest(const queued_request& offered,
                                      std::uint32_t weight) const
{
    place out{offered.account, offered.caller};
    const auto own = accounts_.find(offered.account);
    const std::size_t own_size =
        1 + (own == accounts_.end() ? 0 : own->second.size);
    double largest = static_cast<double>(own_size) / weight;
    for (const auto& item : accounts_)
    {
        const double size =
            static_cast<double>(item.second.size) / item.second.weight;
        if (item.first != offered.account && size > largest)
        {
            largest = size;
            out.account = item.first;
        }
    }
    const auto found = accounts_.find(out.account);
    if (found == accounts_.end())
    {
        return out;
    }
    std::size_t most = 0;
    if (out.account == offered.account)
    {
        const auto mine = found->second.callers.find(offered.caller);
        most = 1 + (mine == found->second.callers.end()
                        ? 0
                        : mine->second.items.size());
    }
    for (const auto& item : found->second.callers)
    {
        if (item.second.items.size() > most)
        {
            most = item.second.items.size();
            out.caller = item.first;
        }
    }
    return out;
}

void fair_queue::append(const queued_request& request, std::uint32_t weight)
{
    auto& account = accounts_[request.account];
    if (account.size == 0)
    {
        ring_.push_back(request.account);
    }
    account.weight = std::max<std::uint32_t>(1, weight);
    ++account.size;
    auto& caller = account.callers[request.caller];
    if (caller.items.empty())
    {
        account.ring.push_back(request.caller);
    }
    caller.items.push_back(request);
    index_[request.ticket] = {request.account, request.caller};
}

std::uint64_t fair_queue::drop_newest(const place& from)
{
    auto& account = accounts_[from.account];
    auto& items = account.callers[from.caller].items;
    const auto ticket = items.back().ticket;
    items.pop_back();
    --account.size;
    index_.erase(ticket);
    drop_if_empty(from);
    return ticket;
}

void fair_queue::drop_if_empty(const place& from)
{
    auto& account = accounts_[from.account];
    const auto caller = account.callers.find(from.caller);
    if (caller != account.callers.end() && caller->second.items.empty())
    {
        account.callers.erase(caller);
        account.ring.erase(
            std::find(account.ring.begin(), account.ring.end(), from.caller));
    }
    if (account.size == 0)
    {
        accounts_.erase(from.account);
        ring_.erase(std::find(ring_.begin(), ring_.end(), from.account));
    }
}

// Rotates the account's ring until the front caller can pay for its request.
const std::string& fair_queue::next_caller(const std::string& name,
                                           account_queue& account)
{
    const double quantum = mean_cost(name);
    while (true)
    {
        const auto& front = account.ring.front();
        auto& caller = account.callers[front];
        const double price =
            std::min(cost(name, front), largest_cost_ratio * quantum);
        if (caller.deficit >= price)
        {
            return front;
        }
        caller.deficit += quantum;
        if (caller.deficit < price)
        {
            account.ring.push_back(front);
            account.ring.pop_front();
        }
    }
}

std::optional<queued_request> fair_queue::pop()
{
    if (index_.empty())
    {
        return std::nullopt;
    }
    std::uint32_t largest_weight = 1;
    for (const auto& item : accounts_)
    {
        largest_weight = std::max(largest_weight, item.second.weight);
    }
    while (true)
    {
        const auto name = ring_.front();
        auto& account = accounts_[name];
        const std::string caller = next_caller(name, account);
        const double price =
            std::min(cost(name, caller), largest_cost_ratio * mean_cost());
        if (account.deficit >= price)
        {
            account.deficit -= price;
            return take_front(name, caller);
        }
        account.deficit += mean_cost() * account.weight / largest_weight;
        ring_.pop_front();
        ring_.push_back(name);
    }
}

queued_request fair_queue::take_front(const std::string& account,
                                      const std::string& caller)
{
    auto& from = accounts_[account];
    auto& queue = from.callers[caller];
    const double price = std::min(cost(account, caller),
                                  largest_cost_ratio * mean_cost(account));
    queue.deficit -= price;
    auto out = queue.items.front();
    queue.items.pop_front();
    --from.size;
    index_.erase(out.ticket);
    if (!queue.items.empty())
    {
        from.ring.pop_front();
        from.ring.push_back(caller);
    }
    drop_if_empty({account, caller});
    return out;
}

std::vector<queued_request> fair_queue::expire(time_point now)
{
    std::vector<queued_request> out;
    for (const auto& account : accounts_)
    {
        for (const auto& caller : account.second.callers)
        {
            for (const auto& item : caller.second.items)
            {
                if (item.deadline <= now)
                {
                    out.push_back(item);
                }
            }
        }
    }
    for (const auto& item : out)
    {
        remove(item.ticket);
    }
    return out;
}

bool fair_queue::remove(std::uint64_t ticket)
{
    const auto found = index_.find(ticket);
    if (found == index_.end())
    {
        return false;
    }
    const auto from = found->second;
    index_.erase(found);
    auto& account = accounts_[from.account];
    auto& items = account.callers[from.caller].items;
    items.erase(std::find_if(items.begin(), items.end(),
                             [&](const queued_request& item)
                             {
                                 return item.ticket == ticket;
                             }));
    --account.size;
    drop_if_empty(from);
    return true;
}

} // namespace limpetstack
