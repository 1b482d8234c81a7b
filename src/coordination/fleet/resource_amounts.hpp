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
resource_amounts to_amounts(const resources& value);

/// Returns the resources that a run of one subtask of the step occupies in the
/// accounting of its worker. The processor need of fillers is not counted.
resource_amounts counted_need(const step_spec& step);

/// Returns the processors and accelerators as a number of cores; an accelerator
/// counts as several cores.
double weight_in_cores(const resource_amounts& amounts);

/// Returns true when `need` does not exceed the `available` resources.
bool fits(const resource_amounts& need, const resource_amounts& available);

} // namespace limpetstack::fleet
