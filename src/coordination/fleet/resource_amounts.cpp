#include "coordination/fleet/resource_amounts.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// One accelerator counts as this many cores when amounts of work or capacity
// are compared.
constexpr std::int64_t cores_per_accelerator = 8;

} // namespace

resource_amounts operator+(const resource_amounts& a, const resource_amounts& b)
{
    return {a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb,
            a.accelerators + b.accelerators};
}

resource_amounts operator-(const resource_amounts& a, const resource_amounts& b)
{
    return {a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb,
            a.accelerators - b.accelerators};
}

resource_amounts operator*(const resource_amounts& amounts, std::int64_t factor)
{
    return {amounts.cpu_milli * factor, amounts.memory_mb * factor,
            amounts.accelerators * factor};
}

resource_amounts operator/(const resource_amounts& amounts,
                           std::int64_t divisor)
{
    return {amounts.cpu_milli / divisor, amounts.memory_mb / divisor,
            amounts.accelerators / divisor};
}

bool operator==(const resource_amounts& a, const resource_amounts& b)
{
    return a.cpu_milli == b.cpu_milli && a.memory_mb == b.memory_mb &&
           a.accelerators == b.accelerators;
}

resource_amounts to_amounts(const resources& value)
{
    return {value.cpu_milli(), value.memory_mb(), value.accelerators()};
}

resource_amounts counted_need(const step_spec& step)
{
    auto need = to_amounts(step.need());
    if (step.filler())
    {
        need.cpu_milli = 0;
    }
    return need;
}

double weight_in_cores(const resource_amounts& amounts)
{
    return static_cast<double>(amounts.cpu_milli) / 1000.0 +
           static_cast<double>(amounts.accelerators * cores_per_accelerator);
}

resource_amounts smaller_amounts(const resource_amounts& a,
                                 const resource_amounts& b)
{
    return {std::min(a.cpu_milli, b.cpu_milli),
            std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

resource_amounts non_negative(const resource_amounts& amounts)
{
    return {std::max<std::int64_t>(amounts.cpu_milli, 0),
            std::max<std::int64_t>(amounts.memory_mb, 0),
            std::max<std::int64_t>(amounts.accelerators, 0)};
}

std::uint32_t count_within(const resource_amounts& free,
                           const resource_amounts& need, std::uint32_t count)
{
    std::int64_t fitting = count;
    const auto limit = [&fitting](std::int64_t available, std::int64_t wanted)
    {
        if (wanted > 0)
        {
            fitting = std::min(fitting,
                               std::max<std::int64_t>(available, 0) / wanted);
        }
    };
    limit(free.cpu_milli, need.cpu_milli);
    limit(free.memory_mb, need.memory_mb);
    limit(free.accelerators, need.accelerators);
    return static_cast<std::uint32_t>(fitting);
}

std::uint32_t count_beside(const resource_amounts& free,
                           const resource_amounts& reserved,
                           const resource_amounts& need, std::uint32_t count)
{
    const auto limiting = [](std::int64_t wanted, std::int64_t kept)
    {
        return kept > 0 ? wanted : 0;
    };
    return count_within(free - reserved,
                        {limiting(need.cpu_milli, reserved.cpu_milli),
                         limiting(need.memory_mb, reserved.memory_mb),
                         limiting(need.accelerators, reserved.accelerators)},
                        count);
}

bool fits(const resource_amounts& need, const resource_amounts& available)
{
    return need.cpu_milli <= available.cpu_milli &&
           need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

} // namespace limpetstack::fleet
