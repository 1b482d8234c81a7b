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

/// Runs jobs that wait for the disk, away from the thread that decides, and
/// reports back on it. Jobs run one after the other.
class disk_queue
{
public:
    virtual ~disk_queue() = default;
    virtual void run(std::function<absl::Status()> job,
                     std::function<void(absl::Status)> done) = 0;
};

/// What a proposal came to.
enum class proposal_outcome
{
    applied,    // Committed; the second argument tells what it did.
    not_leader, // Never appended.
    unknown     // Leadership was lost before the commit was seen.
};

/// Drives one replica: proposals are appended in groups, state is durable
/// before messages that depend on it leave, and committed batches are applied
/// to the fleet's state. For one thread.
class consensus_runner
{
public:
    using outcome_handler = std::function<void(proposal_outcome, apply_result)>;

    struct effects
    {
        std::function<void(const wire::consensus_message&)> send;
        // After each command that was applied.
        std::function<void(const fleet_command&, apply_result)> on_applied;
        // After all entries that were committed together.
        std::function<void()> on_batch;
        std::function<void()> on_restored; // The state was replaced.
        std::function<void(const absl::Status&)> on_disk_error;
    };

    consensus_runner(const consensus_options& options, const stored_log& stored,
                     log_storage& storage, disk_queue& disk, fleet_state& state,
                     effects handlers, time_point now);

    void tick(time_point now);
    void receive(const wire::consensus_message& message, time_point now);

    /// Appends a command with the next group.
    void propose(fleet_command command, outcome_handler done);

    /// Calls `done(true)` when a majority has confirmed that this replica led
    /// when the read began and everything committed before is applied, else
    /// `done(false)`.
    void read(std::function<void(bool)> done);

    proposal_result change_members(const wire::member_change& change);

    const consensus& core() const { return core_; }

    /// Writes, sends and applies everything that is due.
    void pump();

private:
    struct pending_group
    {
        std::uint64_t term = 0;
        std::vector<outcome_handler> handlers;
    };

    void append_group();
    void save(consensus_output output);
    void finish(const consensus_output& output);
    void apply_committed(std::uint64_t commit);
    void apply_entry(const wire::log_entry& entry);
    void settle_lost();
    void compact_if_due();

    consensus core_;
    log_storage& storage_;
    disk_queue& disk_;
    fleet_state& state_;
    effects effects_;
    bool saving_ = false;
    bool failed_ = false;
    bool pumping_ = false;
    std::uint64_t applied_ = 0;
    std::uint64_t compacted_ = 0;
    std::size_t bytes_since_snapshot_ = 0;
    std::vector<std::pair<fleet_command, outcome_handler>> waiting_;
    std::map<std::uint64_t, pending_group> groups_; // By log index.
    std::map<std::uint64_t, std::function<void(bool)>>
        reads_; // By read identifier.
    std::vector<std::pair<std::uint64_t, std::function<void(bool)>>>
        confirmed_; // Waiting to be applied up to an index.
    std::uint64_t reads_term_ = 0;
};

} // namespace limpetstack::fleet
