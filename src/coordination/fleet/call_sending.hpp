#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace limpetstack::fleet
{

/// What is known of the effect of one sending of a call.
enum class sending_outcome
{
    open,      // The leader has not answered yet.
    no_effect, // The sending had no effect and will have none.
    unknown    // It may have had an effect, or may have one later.
};

/// One transmission of a caller's call to a leader.
struct call_sending
{
    std::string leader; // Peer address.
    std::uint64_t term = 0;
    time_point sent_at;
    sending_outcome outcome = sending_outcome::open;

    friend bool operator==(const call_sending& a, const call_sending& b)
    {
        return std::tie(a.leader, a.term, a.sent_at, a.outcome) ==
               std::tie(b.leader, b.term, b.sent_at, b.outcome);
    }
    friend bool operator!=(const call_sending& a, const call_sending& b)
    {
        return !(a == b);
    }
};

/// Returns true when a sending that ended without an answer may have had an
/// effect.
bool has_unknown_outcome(const std::vector<call_sending>& sendings);

/// Returns the sendings for log lines, oldest first: the leader, its term, the
/// age in milliseconds and the outcome of each.
std::string describe(const std::vector<call_sending>& sendings, time_point now);

} // namespace limpetstack::fleet
