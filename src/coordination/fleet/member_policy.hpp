#pragma once

#include "base/clock.hpp"

#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace limpetstack::fleet
{

/// A host with a disk, as its last ping described it.
struct observed_host
{
    std::uint64_t replica = 0;
    std::string name;
    std::string address; // Peer address of the host.
    std::string data_centre;
    time_point last_ping; // Arrival of the last ping.
    // False: a version that drops evacuations from its state.
    bool applies_evacuations = true;
};

struct member_policy_options
{
    std::size_t voters = 3; // Wanted number of voters.
    // A host that has been silent this long counts as unavailable: a voter is
    // replaced, and no other host is added or promoted.
    milliseconds voter_timeout{2500};
    // A learner that has been silent this long is removed.
    milliseconds learner_timeout{20000};
};

/// Decides the next membership change of the group that `leader` leads. New
/// hosts become learners. Learners become voters until the wanted number of
/// voters is available. A voter that is silent, or whose disk was erased, is
/// removed once another voter has replaced it. Silence is measured from
/// `observing_since`, when the leader began to observe, at the earliest.
std::optional<wire::member_change>
plan_member_change(const wire::membership& members, std::uint64_t leader,
                   const std::map<std::uint64_t, observed_host>& observed_hosts,
                   const member_policy_options& options,
                   time_point observing_since, time_point now);

} // namespace limpetstack::fleet
