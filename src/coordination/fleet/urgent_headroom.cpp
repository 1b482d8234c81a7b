#include "coordination/fleet/urgent_headroom.hpp"

#include <algorithm>

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
    reserved_ = {
        std::min(sum_.cpu_milli, capacity.cpu_milli / max_share_divisor),
        std::min(sum_.memory_mb, capacity.memory_mb / max_share_divisor),
        std::min(sum_.accelerators, capacity.accelerators / max_share_divisor)};
}

std::uint32_t urgent_headroom::count_allowed(const resource_amounts& free,
                                             const resource_amounts& need,
                                             std::uint32_t count) const
{
    std::int64_t fitting = count;
    const auto limit = [&fitting](std::int64_t available, std::int64_t reserved,
                                  std::int64_t need_per_subtask)
    {
        if (reserved > 0 && need_per_subtask > 0)
        {
            fitting = std::min(fitting,
                               std::max<std::int64_t>(available - reserved, 0) /
                                   need_per_subtask);
        }
    };
    limit(free.cpu_milli, reserved_.cpu_milli, need.cpu_milli);
    limit(free.memory_mb, reserved_.memory_mb, need.memory_mb);
    limit(free.accelerators, reserved_.accelerators, need.accelerators);
    return static_cast<std::uint32_t>(fitting);
}

} // namespace limpetstack::fleet
