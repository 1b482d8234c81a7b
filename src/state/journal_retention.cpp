#include "state/journal_retention.hpp"

#include <algorithm>
#include <functional>

namespace limpetstack
{

std::int64_t retention_time(std::vector<std::int64_t> times,
                            const retention_limits& limits, std::int64_t now_ms,
                            std::int64_t current)
{
    std::int64_t result = now_ms - limits.max_age_ms;
    if (times.size() > limits.max_count)
    {
        const auto excess = times.size() - limits.max_count;
        const auto oldest_kept =
            times.begin() + static_cast<std::ptrdiff_t>(excess);
        std::nth_element(times.begin(), oldest_kept, times.end());
        result = std::max(result, *oldest_kept);
    }
    return std::max(current, std::min(result, now_ms - limits.min_age_ms));
}

} // namespace limpetstack
