#include "coordination/fleet/backfill_limit.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// Waiting gangs of all queues together are left at most the service's capacity
// divided by this number.
constexpr std::int64_t gang_reserve_divisor = 8;

// The share of each priority is the service's capacity divided by this number.
constexpr std::int64_t share_divisor = 6;

// Work leaves free for the shares of all less urgent queues together at most
// the service's capacity divided by this number.
constexpr std::int64_t shares_reserve_divisor = 4;

} // namespace

void backfill_limit::begin_round(const resource_amounts& capacity)
{
    capacity_ = capacity;
    priorities_.clear();
}

void backfill_limit::add_used(std::int64_t priority,
                              const resource_amounts& amounts)
{
    auto& used = priorities_[priority].used;
    used = used + amounts;
}

void backfill_limit::add_waiting(std::int64_t priority,
                                 const resource_amounts& need,
                                 std::uint32_t count, bool all_or_nothing)
{
    auto& amounts = priorities_[priority];
    const auto fitting =
        count_within(capacity_ / share_divisor - amounts.used - amounts.waiting,
                     need, count);
    if (!all_or_nothing || fitting == count)
    {
        amounts.waiting = amounts.waiting + need * fitting;
    }
}

void backfill_limit::add_waiting_gang(std::int64_t priority,
                                      const resource_amounts& amounts)
{
    auto& gangs = priorities_[priority].waiting_gangs;
    gangs = gangs + amounts;
}

void backfill_limit::add_held(std::int64_t priority,
                              const resource_amounts& amounts)
{
    auto& held = priorities_[priority].held;
    held = held + amounts;
}

void backfill_limit::clear_held(std::int64_t priority)
{
    priorities_[priority].held = {};
}

bool backfill_limit::is_gang_reserve_full(std::int64_t priority) const
{
    const auto found = priorities_.find(priority);
    return found != priorities_.end() &&
           fits(capacity_ / gang_reserve_divisor, found->second.waiting_gangs);
}

resource_amounts backfill_limit::reserved_for_gangs(std::int64_t priority) const
{
    resource_amounts needed;
    resource_amounts held;
    for (auto at = priorities_.begin();
         at != priorities_.end() && at->first < priority; ++at)
    {
        needed = needed + at->second.waiting_gangs;
        held = held + at->second.held;
    }
    return smaller_amounts(needed, capacity_ / gang_reserve_divisor) + held;
}

resource_amounts
backfill_limit::reserved_for_shares(std::int64_t priority) const
{
    const auto share = capacity_ / share_divisor;
    resource_amounts sum;
    for (auto at = priorities_.upper_bound(priority); at != priorities_.end();
         ++at)
    {
        const auto& amounts = at->second;
        sum = sum + non_negative(
                        smaller_amounts(amounts.waiting, share - amounts.used));
    }
    return smaller_amounts(sum, capacity_ / shares_reserve_divisor);
}

std::uint32_t backfill_limit::count_allowed(std::int64_t priority,
                                            const resource_amounts& free,
                                            const resource_amounts& headroom,
                                            const resource_amounts& need,
                                            std::uint32_t count) const
{
    const auto beside_others = count_beside(
        free,
        headroom + reserved_for_gangs(priority) + reserved_for_shares(priority),
        need, count);
    const auto found = priorities_.find(priority);
    const auto used =
        found == priorities_.end() ? resource_amounts{} : found->second.used;
    const auto within_share =
        std::min(count_beside(free, headroom, need, count),
                 count_within(capacity_ / share_divisor - used, need, count));
    return std::max(beside_others, within_share);
}

} // namespace limpetstack::fleet
