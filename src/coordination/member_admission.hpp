#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limpetstack
{

/// What a host knows of its own replica.
struct replica_state
{
    wire::member self;        // Identity, host, address and data centre.
    bool votes = false;       // The host is meant to vote.
    std::uint64_t commit = 0; // Its own commit index.
};

/// Returns the next membership change that a host should propose to join the
/// group as seen by its leader: remove the identity that the host had before
/// its disk was erased, add itself as a learner or correct its address, ask to
/// vote once it holds everything; nothing when there is no step to take.
std::optional<wire::member_change>
next_member_change(const wire::members_response& group,
                   const replica_state& replica);

} // namespace limpetstack
