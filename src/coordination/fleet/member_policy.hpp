#pragma once

#include "base/clock.hpp"

#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace limpetstack::fleet
{

/// A host with a disk that was heard of lately.
struct host_sighting
{
    std::uint64_t replica = 0;
    std::string name;
    std::string address; // Where peers reach it.
    std::string data_centre;
    time_point seen;
};

struct member_policy_options
{
    std::size_t voters = 3;
    milliseconds dead_after{2500};    // A silent voter is replaced.
    milliseconds forget_after{20000}; // A silent learner is removed.
};

/// Decides the next membership change of the group that `leader` leads: hosts
/// that are seen become learners, learners fill up the voters, and a voter that
/// is silent or whose disk was erased is removed once another has taken its
/// place. `since` is when the leader began to watch.
std::optional<wire::member_change>
plan_members(const wire::membership& members, std::uint64_t leader,
             const std::map<std::uint64_t, host_sighting>& sightings,
             const member_policy_options& options, time_point since,
             time_point now);

} // namespace limpetstack::fleet
