#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack::test
{

/// One member of one attempt of a gang, as its worker ran it. Times are in
/// milliseconds of one clock.
struct member_interval
{
    std::string job;
    std::uint32_t attempt = 0;
    std::uint32_t member = 0;
    std::string worker;
    std::int64_t started_ms = 0;
    std::optional<std::int64_t> ended_ms; // Nothing: it still runs.
    bool done = false;                    // It ended because it was complete.
};

/// Returns why the intervals break the rule that a gang runs whole or not at
/// all, empty when they keep it. `members` is the size of the gang, and
/// `bound_ms` the longest time for which a part of it may run alone. Two
/// attempts of a gang must not overlap.
std::string check_gang(const std::vector<member_interval>& intervals,
                       std::uint32_t members, std::int64_t bound_ms);

} // namespace limpetstack::test
