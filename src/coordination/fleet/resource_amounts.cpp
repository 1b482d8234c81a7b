#include "coordination/fleet/resource_amounts.hpp"

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

bool fits(const resource_amounts& need, const resource_amounts& available)
{
    return need.cpu_milli <= available.cpu_milli &&
           need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

} // namespace limpetstack::fleet
