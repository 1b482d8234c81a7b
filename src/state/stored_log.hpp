#pragma once

#include "peer.pb.h"
#include "state/shared_bytes.hpp"

#include <cstdint>
#include <tuple>
#include <vector>

namespace limpetstack
{

/// The newest term that a replica has seen, and the identity that it voted for
/// in this term, or 0 if it has not voted.
struct hard_state
{
    std::uint64_t term = 0;
    std::uint64_t vote = 0;
};

inline bool operator==(const hard_state& a, const hard_state& b)
{
    return std::tie(a.term, a.vote) == std::tie(b.term, b.vote);
}

inline bool operator!=(const hard_state& a, const hard_state& b)
{
    return !(a == b);
}

/// The replicated state after the entry at `index` was applied. Index 0 means
/// that there is no snapshot.
struct log_snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    wire::membership members;
    shared_bytes state;
};

/// The durable state of a replica. `entries` begin after `base_index`, which is
/// at most the index of the snapshot. Some entries that the snapshot covers are
/// retained for replicas that lag slightly.
struct stored_log
{
    hard_state hard;
    log_snapshot snapshot;
    std::uint64_t base_index = 0;
    std::uint64_t base_term = 0;
    std::vector<wire::log_entry> entries;
};

/// Returns true when nothing was ever stored.
inline bool empty(const stored_log& log)
{
    return log.hard == hard_state() && log.snapshot.index == 0 &&
           log.entries.empty();
}

} // namespace limpetstack
