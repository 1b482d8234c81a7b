#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace limpetstack
{

using milliseconds = std::chrono::milliseconds;

/// A point on the host's monotonic clock, in milliseconds. Decision logic takes
/// it as an argument and never reads a clock itself.
using time_point =
    std::chrono::time_point<std::chrono::steady_clock, milliseconds>;

/// Returns the current time of the monotonic clock.
inline time_point steady_now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

/// Returns the time since the host started, which also passes while the host is
/// suspended. Leases and leadership are measured with it.
inline time_point boot_now()
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(
        milliseconds(static_cast<milliseconds::rep>(time.tv_sec) * 1000 +
                     static_cast<milliseconds::rep>(time.tv_nsec) / 1000000));
}

/// Returns the wall clock in milliseconds since 1970, for records only.
inline std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace limpetstack
