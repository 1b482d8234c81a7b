#pragma once

#include "state/job_table.hpp"
#include "state/journal_store.hpp"
#include "state/request_table.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <tuple>

namespace limpetstack::wire
{
class journal_record;
} // namespace limpetstack::wire

namespace limpetstack
{

/// What a journal holds and has promised.
struct journal_position
{
    /// Random identity of the memory or file, given when it was empty.
    std::uint64_t store = 0;
    std::uint64_t incarnation = 0;    // 0 for an empty journal.
    std::uint64_t promised_epoch = 0; // Messages of lower epochs are refused.
    /// The journal holds every durable record up to this epoch; 0 when it may
    /// lack some.
    std::uint64_t complete_epoch = 0;
    std::uint64_t last_sequence = 0;
    std::uint64_t last_epoch = 0;        // Of the record with `last_sequence`.
    std::int64_t requests_before_ms = 0; // Earlier ids were dropped.
    std::int64_t jobs_before_ms = 0;     // Jobs finished earlier were dropped.
};

inline bool operator==(const journal_position& a, const journal_position& b)
{
    return std::tie(a.store, a.incarnation, a.promised_epoch, a.complete_epoch,
                    a.last_sequence, a.last_epoch, a.requests_before_ms,
                    a.jobs_before_ms) ==
           std::tie(b.store, b.incarnation, b.promised_epoch, b.complete_epoch,
                    b.last_sequence, b.last_epoch, b.requests_before_ms,
                    b.jobs_before_ms);
}

/// Journal records of one data centre, applied in order to a table of requests
/// and a table of jobs. Writers must not overlap; readers may come from any
/// thread.
class journal
{
public:
    /// Reads the journal from the store; without a store it is in memory only.
    /// An empty one gets the identity `fresh_store`, random and above 0.
    static absl::StatusOr<std::unique_ptr<journal>>
    open(std::unique_ptr<journal_store> store, std::uint64_t fresh_store);

    /// Opens the journal in a data folder, in memory when the path is empty.
    static absl::StatusOr<std::unique_ptr<journal>>
    open_folder(const std::string& folder);

    journal_position position() const;

    /// Adds records, whose sequences continue the journal's, and sets the
    /// epochs; all is synced when it returns. After an error nothing of it is
    /// in the journal. `kFailedPrecondition`: the sequences do not continue.
    absl::Status append(const std::vector<wire::journal_record>& records,
                        std::uint64_t promised_epoch,
                        std::uint64_t complete_epoch);

    /// Replaces the content as a whole, apart from the store's identity.
    absl::Status replace(const journal_position& position,
                         const std::vector<wire::journal_record>& state);

    /// Returns a record for every live request and job. Their sequences only
    /// order them in time.
    std::vector<wire::journal_record> state() const;

    /// Rewrites the file with the live records when they are less than half of
    /// it. Returns whether it did.
    absl::StatusOr<bool> compact_if_due();

    /// False after a write whose effect on the disk is not known.
    bool writable() const;
    bool on_disk() const { return store_ != nullptr; }

    const request_table& requests() const { return requests_; }
    const job_table& jobs() const { return jobs_; }

    /// Returns the size of the file, 0 in memory.
    std::uint64_t file_bytes() const;

private:
    explicit journal(std::unique_ptr<journal_store> store);

    absl::Status load(std::uint64_t fresh_store);
    void apply(const wire::journal_record& record);
    absl::Status rewrite(const journal_position& position,
                         const std::vector<wire::journal_record>& state);

    std::unique_ptr<journal_store> store_;
    request_table requests_;
    job_table jobs_;
    mutable std::mutex mutex_; // Guards the members below.
    journal_position position_;
    std::uint64_t file_bytes_ = 0;
    bool writable_ = true;
};

} // namespace limpetstack
