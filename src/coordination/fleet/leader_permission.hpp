#pragma once

#include "base/clock.hpp"

#include <optional>

namespace limpetstack::fleet
{

/// What a host knows of its leadership when it is about to send an order.
struct leader_evidence
{
    bool leads = false; // The replica leads the term of the order.
    // False after a suspension, until a majority has confirmed the leadership.
    bool confirmed_after_gap = true;
    time_point checked_at; // When the host last checked whether it leads.
    // When the latest heartbeat was sent that a majority has answered.
    std::optional<time_point> confirmed_at;
};

/// How old the evidence of a leader that may act is at most.
struct leader_limits
{
    milliseconds max_check_age;
    milliseconds max_confirmation_age;
};

/// A leader may act for this many election timeouts after it sent a heartbeat
/// that a majority has answered. With one, others would never lead at the same
/// time, but no leader could act where answers take half a second.
constexpr int confirmation_timeouts = 2;

constexpr milliseconds max_confirmation_age(milliseconds election_timeout)
{
    return confirmation_timeouts * election_timeout;
}

/// Returns how long an earlier leader may act beside a new one at most: others
/// lead at the earliest one election timeout after the heartbeat was sent.
constexpr milliseconds max_leadership_overlap(milliseconds election_timeout)
{
    return max_confirmation_age(election_timeout) - election_timeout;
}

/// Returns true when the host may send orders as the leader.
inline bool may_act(const leader_evidence& evidence,
                    const leader_limits& limits, time_point now)
{
    return evidence.leads && evidence.confirmed_after_gap &&
           now - evidence.checked_at <= limits.max_check_age &&
           evidence.confirmed_at &&
           now - *evidence.confirmed_at < limits.max_confirmation_age;
}

} // namespace limpetstack::fleet
