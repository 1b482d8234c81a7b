#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack
{

/// Most voters of a control group.
constexpr int max_voters = 7;

/// Returns the member with this identity or nothing.
const wire::member* find_member(const wire::membership& members,
                                std::uint64_t id);

/// Returns the member on this host or nothing.
const wire::member* find_member_on(const wire::membership& members,
                                   const std::string& host);

/// Returns true when the replica is a voter of the membership.
bool is_voter(const wire::membership& members, std::uint64_t id);

/// Returns the identities of the voters.
std::vector<std::uint64_t> voter_ids(const wire::membership& members);

/// Returns the highest value that a majority of the values reaches; the lowest
/// possible value when there are none.
std::uint64_t majority_value(std::vector<std::uint64_t> values);

/// The membership after a change, or why there is none.
struct planned_change
{
    wire::command_code code = wire::command_accepted;
    std::string message;
    std::optional<wire::membership> members; // Nothing: no change is needed.
};

/// Applies a change to a membership. Adding a present member or removing an
/// absent one changes nothing, so that a repeated command is harmless.
planned_change plan_change(const wire::membership& members,
                           const wire::member_change& change);

} // namespace limpetstack
