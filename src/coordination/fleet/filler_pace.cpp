#include "coordination/fleet/filler_pace.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

constexpr int full_pace = 100;

// Loads at which the pace changes. Figures are rough, so a load a little below
// 1 may already be over the target: a tail that was over it counts as over
// until it is listed well below.
constexpr double raise_below = 0.7;
constexpr double lower_above = 0.85;

// Disturbance grows with the pace. A raise by a quarter from a load below 0.7
// stays below 0.9.
constexpr int raise_divisor = 4;
constexpr int min_raise = 2;
constexpr int max_raise = 10;

// A figure covers the last half second before the answer. A hold is answered
// later than it is requested, so this is the longest reach before the request.
constexpr milliseconds figure_window{500};

// The pace is 0 after this part of the impact limit above the target. The rest
// is left for the delay of the figures, of the order and of a stop.
constexpr int zero_divisor = 4;

// Part of the impact limit after which the tails count as unknown.
constexpr int unknown_divisor = 2;

// Part of the impact limit that a filler has for accepting a pace of 0.
constexpr int accept_divisor = 8;

filler_pace with_percent(filler_pace pace, int percent, time_point now)
{
    if (percent == pace.percent)
    {
        return pace;
    }
    pace.percent = percent;
    pace.changed_at = now;
    pace.stopped_since =
        percent == 0 ? std::optional<time_point>(now) : std::nullopt;
    return pace;
}

} // namespace

filler_pace restarted_pace(const std::optional<filler_pace>& current,
                           time_point now)
{
    filler_pace pace;
    if (current)
    {
        pace = *current;
    }
    pace.percent = std::min(pace.percent, cautious_pace);
    pace.changed_at = now;
    if (!current)
    {
        pace.known_at = now;
    }
    return pace;
}

filler_pace pace_after(const filler_pace& current, const tail_sample& sample,
                       const pace_limits& limits)
{
    const auto now = sample.received_at;
    if (!sample.load)
    {
        return pace_without_sample(current, now, limits);
    }
    auto pace = current;
    pace.known_at = now;
    const auto load = *sample.load;
    if (load > 1)
    {
        pace.over_since = pace.over_since.value_or(now);
    }
    else if (load <= lower_above)
    {
        pace.over_since.reset();
    }
    if (pace.over_since &&
        now - *pace.over_since >= limits.impact_limit / zero_divisor)
    {
        return with_percent(pace, 0, now);
    }
    // Figures from before the last change took effect say nothing about it.
    const bool shows_change =
        sample.received_at - pace.changed_at >= limits.delay + figure_window &&
        sample.requested_at >= pace.changed_at;
    if (!shows_change)
    {
        return pace;
    }
    if (load > 1)
    {
        return with_percent(pace, pace.percent / 2, now);
    }
    if (load > lower_above)
    {
        return with_percent(pace, pace.percent * 3 / 4, now);
    }
    if (load < raise_below)
    {
        const auto raise =
            std::clamp(pace.percent / raise_divisor, min_raise, max_raise);
        return with_percent(pace, std::min(pace.percent + raise, full_pace),
                            now);
    }
    return pace;
}

filler_pace pace_without_sample(const filler_pace& current, time_point now,
                                const pace_limits& limits)
{
    return now - current.known_at < limits.impact_limit / unknown_divisor
               ? current
               : with_percent(current, std::min(current.percent, cautious_pace),
                              now);
}

filler_pace accepted_pace(const filler_pace& current, time_point now)
{
    auto pace = current;
    pace.changed_at = now;
    return pace;
}

bool must_stop_filler(const filler_pace& pace, bool supports_pace,
                      time_point now, const pace_limits& limits)
{
    return pace.percent == 0 && pace.over_since && pace.stopped_since &&
           (!supports_pace ||
            now - *pace.stopped_since >= limits.impact_limit / accept_divisor);
}

} // namespace limpetstack::fleet
