#include "coordination/fleet/urgent_headroom.hpp"

namespace limpetstack::fleet
{
namespace
{

// The headroom is at most the service's capacity divided by this number.
constexpr std::int64_t max_share_divisor = 4;

} // namespace

void urgent_headroom::record(const resource_amounts& placed, time_point now)
{
    entries_.push_back({now, placed});
    sum_ = sum_ + placed;
}

void urgent_headroom::refresh(const resource_amounts& capacity, time_point now)
{
    while (!entries_.empty() && entries_.front().at + window_ <= now)
    {
        sum_ = sum_ - entries_.front().placed;
        entries_.pop_front();
    }
    reserved_ = smaller_amounts(sum_, capacity / max_share_divisor);
}

std::uint32_t urgent_headroom::count_allowed(const resource_amounts& free,
                                             const resource_amounts& need,
                                             std::uint32_t count) const
{
    return count_beside(free, reserved_, need, count);
}

} // namespace limpetstack::fleet
