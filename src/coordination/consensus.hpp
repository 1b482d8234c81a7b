#pragma once

#include "base/clock.hpp"
#include "coordination/replicated_log.hpp"
#include "state/stored_log.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack
{

struct consensus_options
{
    std::uint64_t id = 0;        // Identity of this replica.
    std::string peer_address;    // Address at which others reach this replica.
    milliseconds heartbeat{100}; // Interval between heartbeats of a leader.
    milliseconds election_timeout{1000};
    std::uint64_t seed = 0; // Seed of the randomized election timeouts.
};

/// A read for which a majority has confirmed the leadership. The read may be
/// served once the entry at `index` is applied.
struct confirmed_read
{
    std::uint64_t read_id = 0;
    std::uint64_t index = 0;
};

/// The work that the protocol hands to its driver. The driver saves `hard`,
/// installs `snapshot`, appends `entries` (which replace stored entries from
/// the index of the first one on) and calls `persisted`, in this order. Only
/// then does it send `messages` and apply entries up to `commit`.
struct consensus_output
{
    std::optional<hard_state> hard;
    std::optional<log_snapshot> snapshot;
    std::vector<wire::log_entry> entries;
    std::vector<wire::consensus_message> messages;
    std::uint64_t commit = 0;
    std::vector<confirmed_read> reads;
};

/// The result of a proposal. An appended entry has its `index` here; index 0
/// means that nothing was appended, and `code` and `message` tell why. Accepted
/// with index 0 means that no change was needed.
struct proposal_result
{
    wire::command_code code = wire::command_unavailable;
    std::string message;
    std::uint64_t index = 0;
};

/// The Raft consensus protocol for one replica of the control log. It supports
/// leader election with pre-vote and check-quorum, log replication, snapshots,
/// learners, one membership change at a time, and reads confirmed by a
/// majority. It does no I/O and reads no clock; only `tick` advances the time.
class consensus
{
public:
    consensus(const consensus_options& options, const stored_log& stored,
              time_point now);

    /// Advances the clock. Starts elections that are due, sends heartbeats, and
    /// makes a leader step down that no longer reaches a majority.
    void tick(time_point now);

    /// Handles a message. Drops messages that are addressed to another
    /// identity.
    void receive(const wire::consensus_message& message);

    /// Appends a command on the leader.
    proposal_result propose(std::string payload);

    /// Appends a membership change on the leader, unless the membership rules
    /// forbid it at this time.
    proposal_result propose_change(const wire::member_change& change);

    /// Starts a read on the leader and returns its identifier, or nothing on
    /// another replica. The identifier appears in an output once a majority has
    /// confirmed the leadership after this call. It never appears if the
    /// leadership ends first.
    std::optional<std::uint64_t> begin_read();

    /// Returns all work that has come up since the last call.
    consensus_output take_output();

    /// Reports that the state in the last output is durable.
    void persisted();

    /// Makes a snapshot of `state`, the state after the entry at `index` was
    /// applied, and drops the log entries that it covers, except the last
    /// `retained` ones.
    log_snapshot compact(std::uint64_t index, std::string state,
                         std::uint64_t retained);

    bool is_leader() const { return role_ == role::leader; }

    /// Returns true when further commands may be appended while the last ones
    /// wait for a majority.
    bool has_room() const;

    /// Returns when this leader sent the latest heartbeat that a majority has
    /// answered. Members that answered it elect no other leader before an
    /// election timeout has passed since then. Returns nothing without such a
    /// heartbeat or on another replica.
    std::optional<time_point> confirmed_at() const;

    std::uint64_t leader() const { return leader_; }
    std::uint64_t term() const { return hard_state_.term; }
    std::uint64_t commit() const { return commit_; }
    const replicated_log& log() const { return log_; }

private:
    enum class role
    {
        follower,
        pre_candidate,
        candidate,
        leader
    };

    // What the leader knows of another member.
    struct progress
    {
        // Highest index that is known to be durable on the member.
        std::uint64_t match = 0;
        std::uint64_t next = 1; // Index of the next entry to send.
        // Highest heartbeat round that the member has acknowledged.
        std::uint64_t acknowledged_round = 0;
        // True while `next` is an estimate; only empty appends are sent then.
        bool probing = true;
        // Time of the last answer to a newer heartbeat round.
        std::optional<time_point> last_response;
        // When the latest heartbeat that the member has answered was sent.
        std::optional<time_point> confirmed_at;
        std::optional<time_point> snapshot_sent;
    };

    struct pending_read
    {
        std::uint64_t read_id = 0;
        std::uint64_t index = 0;
        // Heartbeat round that confirms the read; 0 until it is sent.
        std::uint64_t round = 0;
    };

    // Elections, in consensus_election.cpp.
    bool has_live_leader() const;
    bool is_log_up_to_date(std::uint64_t last_index,
                           std::uint64_t last_term) const;
    void reset_election_deadline();
    void set_term(std::uint64_t term);
    void become_follower(std::uint64_t term);
    void start_pre_vote();
    void start_election();
    void become_leader();
    void count_votes();
    void request_votes(std::uint64_t term);
    void handle_pre_vote(const wire::consensus_message& message);
    void handle_vote(const wire::consensus_message& message);
    void handle_vote_answer(const wire::consensus_message& message);
    void answer_vote(const wire::consensus_message& message, bool granted,
                     bool pre_vote, std::uint64_t term);

    // Log replication on a follower, in consensus_follower.cpp, and
    // `check_term`, in consensus.cpp.
    bool check_term(const wire::consensus_message& message);
    void accept_leader(std::uint64_t leader);
    void handle_append(const wire::consensus_message& message);
    void handle_snapshot(const wire::consensus_message& message);
    std::uint64_t rejection_hint(std::uint64_t previous) const;
    std::uint64_t store_entries(const wire::append_request& request);
    void answer_append(std::uint64_t to, bool accepted, std::uint64_t index,
                       std::uint64_t round);

    // Work of the leader, in consensus_leader.cpp.
    void append_entry(wire::entry_kind kind, std::string payload);
    void update_members();
    void check_quorum();
    void broadcast_heartbeat();
    std::optional<time_point> round_sent_at(std::uint64_t round) const;
    void send_empty_append(std::uint64_t to, const progress& peer);
    void send_new_entries(std::uint64_t to, progress& peer);
    void send_snapshot(std::uint64_t to, progress& peer);
    wire::append_request next_append(const progress& peer) const;
    void handle_append_answer(const wire::consensus_message& message);
    void advance_match(progress& peer, std::uint64_t index) const;
    void handle_rejection(progress& peer, std::uint64_t hint) const;
    bool is_live(const progress& peer) const;
    bool has_live_majority(const wire::membership& members) const;
    bool can_change_membership() const;
    void update_commit();
    void update_reads();

    wire::consensus_message message_to(std::uint64_t to) const;

    const consensus_options options_;
    std::mt19937_64 random_;
    time_point now_;
    replicated_log log_;
    hard_state hard_state_;
    hard_state last_output_hard_state_;
    role role_ = role::follower;
    std::uint64_t leader_ = 0;
    std::uint64_t commit_ = 0;
    std::optional<time_point> last_leader_contact_;
    time_point election_deadline_;
    std::set<std::uint64_t> votes_;

    // These members are used only while this replica is the leader.
    std::map<std::uint64_t, progress> peers_;
    time_point leader_since_;
    time_point last_heartbeat_;
    std::uint64_t round_ = 0; // Number of the latest heartbeat round.
    // When the latest rounds were sent, in their order.
    std::deque<time_point> round_times_;
    // Index of the no-op entry with which this leader began its term.
    std::uint64_t term_start_index_ = 0;
    std::uint64_t next_read_id_ = 1;
    std::vector<pending_read> pending_reads_;

    // These members hold the next output and how far the log was saved.
    // Index of the first entry that was in no output so far.
    std::uint64_t first_unsaved_index_ = 0;
    // Index of the last entry that was in an output.
    std::uint64_t last_output_index_ = 0;
    // Index of the last entry that the driver has reported as durable.
    std::uint64_t durable_index_ = 0;
    std::optional<log_snapshot> received_snapshot_;
    std::vector<wire::consensus_message> messages_;
    std::vector<confirmed_read> confirmed_reads_;
};

/// Returns true when the output holds nothing to save, send or confirm. It
/// ignores `commit`.
bool empty(const consensus_output& output);

} // namespace limpetstack
