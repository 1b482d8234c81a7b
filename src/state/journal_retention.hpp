#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace limpetstack
{

/// How long and how many finished records a journal keeps.
struct retention_limits
{
    std::int64_t max_age_ms = 3600000;
    /// Records younger than this are kept even above the count, so that a
    /// flood of ids does not make requests in progress unknown.
    std::int64_t min_age_ms = 120000;
    std::size_t max_count = 100000;
};

/// Returns the time, in milliseconds since 1970, before which records with the
/// given times are to be dropped. It never goes below `current`.
std::int64_t retention_time(std::vector<std::int64_t> times,
                            const retention_limits& limits, std::int64_t now_ms,
                            std::int64_t current);

} // namespace limpetstack
