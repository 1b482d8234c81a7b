#include "coordination/fleet/urgent_headroom.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// Part of the service's capacity that may be kept: one in this many.
constexpr std::int64_t max_share_divisor = 4;

} // namespace

void urgent_headroom::note(const resource_amounts& placed, time_point now)
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
    kept_ = {
        std::min(sum_.cpu_milli, capacity.cpu_milli / max_share_divisor),
        std::min(sum_.memory_mb, capacity.memory_mb / max_share_divisor),
        std::min(sum_.accelerators, capacity.accelerators / max_share_divisor)};
}

std::uint32_t urgent_headroom::allowed(const resource_amounts& free,
                                       const resource_amounts& need,
                                       std::uint32_t count) const
{
    std::int64_t fitting = count;
    const auto limit =
        [&fitting](std::int64_t have, std::int64_t kept, std::int64_t each)
    {
        if (kept > 0 && each > 0)
        {
            fitting = std::min(fitting,
                               std::max<std::int64_t>(have - kept, 0) / each);
        }
    };
    limit(free.cpu_milli, kept_.cpu_milli, need.cpu_milli);
    limit(free.memory_mb, kept_.memory_mb, need.memory_mb);
    limit(free.accelerators, kept_.accelerators, need.accelerators);
    return static_cast<std::uint32_t>(fitting);
}

} // namespace limpetstack::fleet
