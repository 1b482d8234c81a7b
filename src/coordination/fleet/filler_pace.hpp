#pragma once

#include "base/clock.hpp"

#include <optional>

namespace limpetstack::fleet
{

/// Time limits of pacing, taken from the deployment's settings.
struct pace_limits
{
    // Time from an accepted pace order until it has an effect.
    milliseconds delay{100};
    // For this time on end, a serving run may be over its target because of
    // fillers.
    milliseconds impact_limit{4000};
};

/// The tail latencies of the serving runs on one worker at one time.
struct tail_sample
{
    // The highest ratio of a tail to its target. Empty when any tail is
    // unknown.
    std::optional<double> load;
    time_point requested_at; // When the worker was asked for the figures.
    time_point received_at;
};

inline bool operator==(const tail_sample& a, const tail_sample& b)
{
    return a.load == b.load && a.requested_at == b.requested_at &&
           a.received_at == b.received_at;
}

inline bool operator!=(const tail_sample& a, const tail_sample& b)
{
    return !(a == b);
}

/// The pace of fillers while the effect on the serving runs is unknown.
constexpr int cautious_pace = 20;

/// The pace of all fillers on a worker that also has serving runs.
struct filler_pace
{
    int percent = cautious_pace;
    time_point changed_at; // When the fillers accepted the last change.
    time_point known_at;   // The last sample with a load, or the beginning.
    // Since when a tail may have been above its target.
    std::optional<time_point> over_since;
    std::optional<time_point> stopped_since; // Since when the pace is 0.
};

inline bool operator==(const filler_pace& a, const filler_pace& b)
{
    return a.percent == b.percent && a.changed_at == b.changed_at &&
           a.known_at == b.known_at && a.over_since == b.over_since &&
           a.stopped_since == b.stopped_since;
}

inline bool operator!=(const filler_pace& a, const filler_pace& b)
{
    return !(a == b);
}

/// Returns the pace with which fillers and serving runs begin to share a
/// worker, or go on after another run of either kind has joined. `current` is
/// the pace so far, if they share it already.
filler_pace restarted_pace(const std::optional<filler_pace>& current,
                           time_point now);

/// Returns the pace after a sample of the tail latencies.
filler_pace pace_after(const filler_pace& current, const tail_sample& sample,
                       const pace_limits& limits);

/// Returns the pace at `now`, when no sample has arrived since the last change:
/// it falls when the tails have been unknown for too long.
filler_pace pace_without_sample(const filler_pace& current, time_point now,
                                const pace_limits& limits);

/// Returns the pace with the time at which all fillers had accepted it.
filler_pace accepted_pace(const filler_pace& current, time_point now);

/// Returns true when a filler that has not accepted the pace of 0 must be
/// stopped, so that it can not harm for longer than the limit.
bool must_stop_filler(const filler_pace& pace, bool supports_pace,
                      time_point now, const pace_limits& limits);

} // namespace limpetstack::fleet
