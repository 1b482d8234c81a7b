#pragma once

#include "base/clock.hpp"
#include "coordination/replicated_log.hpp"
#include "state/stored_log.hpp"

#include <cstdint>
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
    std::uint64_t id = 0;     // Replica identity.
    std::string peer_address; // Where others reach this replica.
    milliseconds heartbeat{100};
    milliseconds election_timeout{1000};
    std::uint64_t seed = 0; // For the randomized election timeouts.
};

/// A read that a majority has confirmed: the state is current for it once the
/// entry at `index` is applied.
struct confirmed_read
{
    std::uint64_t read_id = 0;
    std::uint64_t index = 0;
};

/// What the protocol asks its driver to do, in this order: save `hard`, install
/// `snapshot`, append `entries` (replacing any from the first one's index on),
/// call `persisted`, and only then send `messages` and apply entries up to
/// `commit`.
struct consensus_output
{
    std::optional<hard_state> hard;
    std::optional<log_snapshot> snapshot;
    std::vector<wire::log_entry> entries;
    std::vector<wire::consensus_message> messages;
    std::uint64_t commit = 0;
    std::vector<confirmed_read> reads;
};

/// What became of a proposal: appended at `index`, or not (index 0) with the
/// reason; accepted at index 0 means that no change was needed.
struct proposal_result
{
    wire::command_code code = wire::command_unavailable;
    std::string message;
    std::uint64_t index = 0;
};

/// The agreement protocol of one replica of the control log: leader election
/// with pre-vote and check-quorum, log replication, snapshots, learners, one
/// membership change at a time, and reads confirmed by a majority. It does no
/// I/O and reads no clock; time advances by `tick` alone.
class consensus
{
public:
    consensus(const consensus_options& options, const stored_log& stored,
              time_point now);

    /// Advances the clock: starts elections, sends heartbeats, steps down
    /// without a majority.
    void tick(time_point now);

    /// Handles a message. Messages to another identity are dropped.
    void receive(const wire::consensus_message& message);

    /// Appends a command on the leader.
    proposal_result propose(std::string payload);

    /// Appends a membership change on the leader, if the rules allow it now.
    proposal_result propose_change(const wire::member_change& change);

    /// Starts a read on the leader. Its identifier appears in an output when a
    /// majority has confirmed the leadership after this call; it never appears
    /// when the leadership ends.
    std::optional<std::uint64_t> begin_read();

    /// Returns everything to do since the last call.
    consensus_output take_output();

    /// Tells that the state in the last output is durable.
    void persisted();

    /// Makes a snapshot of the applied state after the entry at `index` and
    /// drops log entries that it covers, except the last `kept` ones.
    log_snapshot compact(std::uint64_t index, std::string state,
                         std::uint64_t kept);

    bool is_leader() const { return role_ == role::leader; }
    std::uint64_t leader() const { return leader_; }
    std::uint64_t term() const { return hard_.term; }
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

    // The leader's view of another member.
    struct progress
    {
        std::uint64_t match = 0; // Highest index known to be synced there.
        std::uint64_t next = 1;  // First index to send.
        std::uint64_t round = 0; // Highest heartbeat round acknowledged.
        // True while `next` is a guess: only empty appends are sent.
        bool probing = true;
        std::optional<time_point> heard;
        std::optional<time_point> snapshot_sent;
    };

    struct pending_read
    {
        std::uint64_t read_id = 0;
        std::uint64_t index = 0;
        std::uint64_t round = 0; // 0 until its round is sent.
    };

    // Elections.
    bool leader_is_live() const;
    bool log_is_current(std::uint64_t last_index,
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

    // Following.
    bool handle_terms(const wire::consensus_message& message);
    void follow(std::uint64_t leader);
    void handle_append(const wire::consensus_message& message);
    void handle_snapshot(const wire::consensus_message& message);
    std::uint64_t rejection_hint(std::uint64_t previous) const;
    std::uint64_t store_entries(const wire::append_request& request);
    void answer_append(std::uint64_t to, bool accepted, std::uint64_t index,
                       std::uint64_t round);

    // Leading.
    void append_own(wire::entry_kind kind, std::string payload);
    void update_members();
    void check_quorum();
    void broadcast_heartbeat();
    void send_empty_append(std::uint64_t to, const progress& peer);
    void send_new_entries(std::uint64_t to, progress& peer);
    void send_snapshot(std::uint64_t to, progress& peer);
    wire::append_request next_append(const progress& peer) const;
    void handle_append_answer(const wire::consensus_message& message);
    void accept_match(progress& peer, std::uint64_t index) const;
    void reject_match(progress& peer, std::uint64_t hint) const;
    bool is_live(const progress& peer) const;
    bool live_majority(const wire::membership& members) const;
    bool change_is_open() const;
    void update_commit();
    void update_reads();

    wire::consensus_message message_to(std::uint64_t to) const;

    const consensus_options options_;
    std::mt19937_64 random_;
    time_point now_;
    replicated_log log_;
    hard_state hard_;
    hard_state saved_hard_;
    role role_ = role::follower;
    std::uint64_t leader_ = 0;
    std::uint64_t commit_ = 0;
    std::optional<time_point> heard_leader_;
    time_point election_deadline_;
    std::set<std::uint64_t> votes_;

    // Leader only.
    std::map<std::uint64_t, progress> peers_;
    time_point leader_since_;
    time_point last_heartbeat_;
    std::uint64_t round_ = 0;
    std::uint64_t first_own_index_ = 0; // The no-op entry of this term.
    std::uint64_t next_ticket_ = 1;
    std::vector<pending_read> reads_;

    // Output.
    std::uint64_t unsaved_from_ = 0; // First entry not handed out yet.
    std::uint64_t handed_out_ = 0;
    std::uint64_t synced_ = 0;
    std::optional<log_snapshot> received_snapshot_;
    std::vector<wire::consensus_message> messages_;
    std::vector<confirmed_read> confirmed_;
};

/// Returns true when there is nothing to do; `commit` is not considered.
bool empty(const consensus_output& output);

} // namespace limpetstack
