#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <vector>

namespace limpetstack::wire
{
class log_entry;
} // namespace limpetstack::wire

namespace limpetstack
{

struct hard_state;
struct log_snapshot;

/// Durable storage for the log of one replica. A call that returns OK has made
/// its change durable. After an error it is unknown how much of the change was
/// stored, and every further change is refused.
class log_storage
{
public:
    virtual ~log_storage() = default;

    /// Replaces the stored term and vote.
    virtual absl::Status save_hard_state(const hard_state& state) = 0;

    /// Appends consecutive entries. They replace stored entries from the index
    /// of the first one on.
    virtual absl::Status
    append(const std::vector<wire::log_entry>& entries) = 0;

    /// Replaces the stored log by a snapshot that the leader sent.
    virtual absl::Status install(const log_snapshot& snapshot) = 0;

    /// Saves a snapshot of this replica's own state and drops the entries
    /// before `first_retained`, which is at most the snapshot's index + 1.
    virtual absl::Status compact(const log_snapshot& snapshot,
                                 std::uint64_t first_retained) = 0;
};

} // namespace limpetstack
