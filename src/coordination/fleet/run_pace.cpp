#include "coordination/fleet/run_pace.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// A pace below 100 is sent again after this time, and any pace while an earlier
// order may still be carried out.
constexpr milliseconds refresh_interval{2000};

// An order without an answer may be carried out for this time.
constexpr milliseconds late_order_limit{15000};

// Delay after an order that was not accepted; it doubles with each further one.
constexpr milliseconds first_retry_delay{150};
constexpr int max_retry_doublings = 4;

constexpr int full_pace = 100;

} // namespace

bool is_pace_due(const run_pace& pace, int percent, time_point now)
{
    if (pace.order_open || now < pace.retry_at)
    {
        return false;
    }
    const bool refreshes = percent < full_pace || pace.unsure_until;
    return pace.accepted != percent ||
           (refreshes && now - pace.sent_at >= refresh_interval);
}

run_pace pace_sent(const run_pace& pace, int percent, time_point now)
{
    auto next = pace;
    next.sent = percent;
    next.order_open = true;
    next.sent_at = now;
    return next;
}

run_pace pace_accepted(const run_pace& pace, time_point now)
{
    auto next = pace;
    next.accepted = pace.sent;
    next.order_open = false;
    next.failures = 0;
    if (pace.unsure_until && now >= *pace.unsure_until)
    {
        next.unsure_until.reset();
    }
    return next;
}

run_pace pace_failed(const run_pace& pace, bool answered, time_point now)
{
    auto next = pace;
    next.order_open = false;
    next.accepted.reset();
    if (!answered)
    {
        next.unsure_until = now + late_order_limit;
    }
    next.retry_at =
        now +
        first_retry_delay * (1 << std::min(pace.failures, max_retry_doublings));
    ++next.failures;
    return next;
}

} // namespace limpetstack::fleet
