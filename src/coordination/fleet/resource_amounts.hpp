#pragma once

#include "fleet.pb.h"

#include <cstdint>

namespace limpetstack::fleet
{

/// Amounts of one worker's resources: its capacity, the part that is free, or
/// the need of a run.
struct resource_amounts
{
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
};

resource_amounts operator+(const resource_amounts& a,
                           const resource_amounts& b);
resource_amounts operator-(const resource_amounts& a,
                           const resource_amounts& b);
resource_amounts operator*(const resource_amounts& amounts,
                           std::int64_t factor);
resource_amounts operator/(const resource_amounts& amounts,
                           std::int64_t divisor);
bool operator==(const resource_amounts& a, const resource_amounts& b);
resource_amounts to_amounts(const resources& value);

/// Returns the resources that a run of one subtask of the step occupies in the
/// accounting of its worker. The processor need of fillers is not counted.
resource_amounts counted_need(const step_spec& step);

/// Returns the processors and accelerators as a number of cores; an accelerator
/// counts as several cores.
double weight_in_cores(const resource_amounts& amounts);

/// Returns the smaller amount of each resource.
resource_amounts smaller_amounts(const resource_amounts& a,
                                 const resource_amounts& b);

/// Returns the amounts with negative ones replaced by zero.
resource_amounts non_negative(const resource_amounts& amounts);

/// Returns how many times `need` fits into `free`, at most `count`.
std::uint32_t count_within(const resource_amounts& free,
                           const resource_amounts& need, std::uint32_t count);

/// Returns how many times `need` fits into `free`, at most `count`, while
/// `reserved` stays free. Resources of which nothing is reserved do not limit
/// the result.
std::uint32_t count_beside(const resource_amounts& free,
                           const resource_amounts& reserved,
                           const resource_amounts& need, std::uint32_t count);

/// Returns true when `need` does not exceed the `available` resources.
bool fits(const resource_amounts& need, const resource_amounts& available);

} // namespace limpetstack::fleet
