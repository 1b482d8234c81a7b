#pragma once

#include "peer.pb.h"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace limpetstack
{

/// Records that a trail keeps; older ones are dropped. 10,000 records are
/// about 4 MB and cover more than a day of 5,900 changes.
constexpr std::size_t max_audit_records = 10000;

/// The newest audit records, chained by SHA-256. The first kept record carries
/// the hash of the dropped prefix as its `previous_hash`. Not thread-safe.
class audit_trail
{
public:
    /// Adds a record; sets its sequence and both hashes.
    void append(wire::audit_record record);

    /// Returns up to `limit` records with a sequence above `after`.
    std::vector<wire::audit_record> read(std::uint64_t after,
                                         std::size_t limit) const;

    const std::deque<wire::audit_record>& records() const { return records_; }

    void restore(std::vector<wire::audit_record> records);

private:
    std::deque<wire::audit_record> records_;
};

/// Returns the SHA-256 of the record's fields without `hash`, in hexadecimal.
std::string audit_hash(const wire::audit_record& record);

/// Checks that every record has the hash of its content, the hash of the
/// record before it and the next sequence. The first record is taken as the
/// start unless its sequence is 1. Returns `kDataLoss` with the sequence of
/// the first record that does not fit.
absl::Status verify_audit(const std::vector<wire::audit_record>& records);

} // namespace limpetstack
