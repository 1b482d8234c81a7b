#pragma once

#include "state/stored_log.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace limpetstack
{

/// The log of a replica in memory. It holds a snapshot, the entries after the
/// base index, and the memberships in those entries. The membership in use is
/// the latest one in the log, whether or not it is committed.
class replicated_log
{
public:
    explicit replicated_log(const stored_log& stored);

    std::uint64_t base_index() const { return base_index_; }
    std::uint64_t last_index() const { return base_index_ + entries_.size(); }
    std::uint64_t last_term() const;
    const log_snapshot& snapshot() const { return snapshot_; }

    /// Returns the term of the entry at `index`, or nothing when the index is
    /// before the base or after the last entry.
    std::optional<std::uint64_t> term(std::uint64_t index) const;

    /// Returns the entry at `index`, which must be one of the entries after the
    /// base.
    const wire::log_entry& at(std::uint64_t index) const;

    const wire::membership& members() const { return members_.back().second; }

    /// Returns the index at which the membership in use was appended.
    std::uint64_t members_index() const { return members_.back().first; }

    /// Returns the membership that was in use at `index`, which must not be
    /// before the snapshot.
    const wire::membership& members_at(std::uint64_t index) const;

    /// Appends an entry whose index is `last_index() + 1`.
    void append(const wire::log_entry& entry);

    /// Removes the entries from `first` on and the memberships in them.
    void truncate(std::uint64_t first);

    /// Replaces the whole log by a snapshot.
    void install(const log_snapshot& snapshot);

    /// Replaces the snapshot by one of applied entries and drops the entries
    /// before `first_retained`.
    void compact(const log_snapshot& snapshot, std::uint64_t first_retained);

private:
    log_snapshot snapshot_;
    std::uint64_t base_index_ = 0;
    std::uint64_t base_term_ = 0;
    std::deque<wire::log_entry> entries_;
    // The membership of the snapshot and those appended after it, each with its
    // log index.
    std::vector<std::pair<std::uint64_t, wire::membership>> members_;
};

} // namespace limpetstack
