#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <vector>

namespace limpetstack
{

/// A point in a journal. Each epoch has one writer, so that two journals of
/// one incarnation with the same point are equal up to it.
struct journal_point
{
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0;
};

inline bool operator==(const journal_point& a, const journal_point& b)
{
    return a.sequence == b.sequence && a.epoch == b.epoch;
}

/// The newest records of a journal, bounded in count and bytes, for sending
/// them to a copy that lags a little.
class recent_records
{
public:
    explicit recent_records(journal_point end)
        : begin_(end)
        , end_(end)
    {
    }

    /// Forgets all records and starts at a point.
    void reset(journal_point end);

    /// Adds records that follow the end.
    void push(const std::vector<wire::journal_record>& records);

    journal_point end() const;

    /// Returns records after a point, at most about `max_bytes` of them but at
    /// least one if there is one. Returns nothing when the point is not among
    /// the records kept.
    std::optional<std::vector<wire::journal_record>>
    after(journal_point point, std::size_t max_bytes) const;

    /// Returns whether the point is among the records kept.
    bool holds(journal_point point) const;

private:
    bool contains(journal_point point) const;

    mutable std::mutex mutex_;
    std::deque<wire::journal_record> records_;
    journal_point begin_; // Before the first record.
    journal_point end_;
    std::size_t bytes_ = 0;
};

} // namespace limpetstack
