#pragma once

#include "base/clock.hpp"
#include "coordination/consensus.hpp"
#include "fleet.pb.h"
#include "state/fleet_state.hpp"
#include "state/log_storage.hpp"
#include "state/stored_log.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Runs jobs that block on disk I/O on another thread, one after the other, and
/// calls `done` with each result on the thread of the consensus runner.
class disk_queue
{
public:
    virtual ~disk_queue() = default;
    virtual void run(std::function<absl::Status()> job,
                     std::function<void(absl::Status)> done) = 0;
};

/// Bounds on the log that a replica keeps in memory and on its disk.
struct log_bounds
{
    std::size_t bytes_per_snapshot = 8U << 20U;
    std::size_t retained_bytes = 4U << 20U; // Of entries before a snapshot.
};

/// The outcome of a proposal.
enum class proposal_outcome
{
    // The command was committed and applied; the second argument of the handler
    // tells what it changed.
    applied,
    // The command will never be committed: it was not appended, or the entry of
    // another leader replaced it.
    not_leader,
    // Leadership was lost before the commit was seen; the command may still be
    // committed.
    unknown
};

/// Drives the consensus protocol of one replica. It appends proposals in
/// groups, makes state durable before it sends messages that depend on it, and
/// applies committed batches to the fleet's state. All calls must come from one
/// thread.
class consensus_runner
{
public:
    using outcome_handler = std::function<void(proposal_outcome, apply_result)>;

    struct callbacks
    {
        std::function<void(const wire::consensus_message&)> send;
        // Called after each applied command.
        std::function<void(const fleet_command&, apply_result)> on_applied;
        // Called after all entries that were committed together are applied.
        std::function<void()> on_batch_applied;
        // Called after a received snapshot has replaced the fleet's state.
        std::function<void()> on_state_restored;
        // Called when a disk operation failed or a snapshot can not be
        // restored; the runner does no more work afterwards.
        std::function<void(const absl::Status&)> on_disk_error;
    };

    consensus_runner(const consensus_options& options, const stored_log& stored,
                     log_storage& storage, disk_queue& disk, fleet_state& state,
                     callbacks handlers, time_point now,
                     const log_bounds& bounds = {});

    /// Advances the clock of the protocol and calls `pump`.
    void tick(time_point now);
    /// Handles a message of another replica and calls `pump`.
    void receive(const wire::consensus_message& message, time_point now);

    /// Queues a command; the next `pump` appends it, or one after that when too
    /// many commands wait for a majority. `done` is called once with the
    /// outcome and may be empty.
    void propose(fleet_command command, outcome_handler done);

    /// Calls `done(true)` once a majority has confirmed that this replica was
    /// the leader when the read began and everything committed before the read
    /// is applied. Calls `done(false)` when leadership is lost first.
    void read(std::function<void(bool)> done);

    /// Appends a membership change, if this replica leads and the rules allow
    /// the change now.
    proposal_result change_members(const wire::member_change& change);

    const consensus& replica() const { return consensus_; }

    /// Appends queued proposals, persists state, sends messages and applies
    /// committed entries until nothing is due or a disk write is running.
    void pump();

private:
    // Proposals that were appended as one log entry.
    struct appended_group
    {
        std::uint64_t term = 0;
        std::vector<outcome_handler> handlers;
    };

    bool waits_for_room() const;
    void append_pending_proposals();
    void write_and_complete(consensus_output output);
    void complete_output(const consensus_output& output);
    void apply_committed(std::uint64_t commit);
    void apply_entry(const wire::log_entry& entry);
    void fail_lost_requests();
    std::uint64_t retained_entries() const;
    void compact_if_due();

    consensus consensus_;
    log_storage& storage_;
    disk_queue& disk_;
    fleet_state& state_;
    callbacks callbacks_;
    const log_bounds bounds_;
    bool writing_ = false; // A disk job is running.
    bool failed_ = false;  // The disk or a snapshot failed.
    bool pumping_ = false; // Prevents `pump` from calling itself.
    std::uint64_t applied_index_ = 0;
    std::uint64_t snapshot_index_ = 0; // Last index in the latest snapshot.
    std::size_t bytes_since_snapshot_ = 0;
    std::vector<std::pair<fleet_command, outcome_handler>> pending_proposals_;
    std::map<std::uint64_t, appended_group> appended_groups_; // By log index.
    std::map<std::uint64_t, std::function<void(bool)>>
        unconfirmed_reads_; // By read identifier.
    std::vector<std::pair<std::uint64_t, std::function<void(bool)>>>
        confirmed_reads_; // Each with the log index that must be applied first.
    std::uint64_t reads_term_ = 0; // Term in which the last read began.
};

} // namespace limpetstack::fleet
