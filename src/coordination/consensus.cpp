#include "coordination/consensus.hpp"

#include "coordination/member_rules.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{

consensus::consensus(const consensus_options& options, const stored_log& stored,
                     time_point now)
    : options_(options)
    , random_(options.seed)
    , now_(now)
    , log_(stored)
    , hard_state_(stored.hard)
    , last_output_hard_state_(stored.hard)
    , commit_(stored.snapshot.index)
    , leader_since_(now)
    , last_heartbeat_(now)
    , first_unsaved_index_(log_.last_index() + 1)
    , last_output_index_(log_.last_index())
    , durable_index_(log_.last_index())
{
    // The first entry of a new group is stored before any hard state, so the
    // term of the log can be newer than the stored term.
    hard_state_.term = std::max(hard_state_.term, log_.last_term());
    reset_election_deadline();
}

void consensus::tick(time_point now)
{
    now_ = std::max(now, now_);
    if (role_ == role::leader)
    {
        check_quorum();
        if (role_ == role::leader &&
            now_ - last_heartbeat_ >= options_.heartbeat)
        {
            broadcast_heartbeat();
        }
    }
    else if (now_ >= election_deadline_)
    {
        start_pre_vote();
    }
}

void consensus::receive(const wire::consensus_message& message)
{
    if (message.to() != options_.id || message.from() == options_.id)
    {
        return;
    }
    if (message.has_pre_vote())
    {
        handle_pre_vote(message);
        return;
    }
    // A member that lost contact must not depose a leader that other members
    // still hear.
    if ((message.has_vote() && has_live_leader()) || !check_term(message))
    {
        return;
    }
    switch (message.body_case())
    {
    case wire::consensus_message::kVote:
        handle_vote(message);
        break;
    case wire::consensus_message::kVoteAnswer:
        handle_vote_answer(message);
        break;
    case wire::consensus_message::kAppend:
        handle_append(message);
        break;
    case wire::consensus_message::kAppendAnswer:
        handle_append_answer(message);
        break;
    case wire::consensus_message::kSnapshot:
        handle_snapshot(message);
        break;
    default:
        break;
    }
}

// Returns true when the message may be handled in the current term. A newer
// term is adopted first, except that of a granted pre-vote.
bool consensus::check_term(const wire::consensus_message& message)
{
    if (message.term() == hard_state_.term)
    {
        return true;
    }
    if (message.term() > hard_state_.term)
    {
        // A granted pre-vote carries the term of an election that has not yet
        // begun, so this term must not be adopted.
        if (message.has_vote_answer() && message.vote_answer().pre_vote() &&
            message.vote_answer().granted())
        {
            return true;
        }
        become_follower(message.term());
        return true;
    }
    if (message.has_append() || message.has_snapshot())
    {
        // Tells a leader of an earlier term about the newer term. Without this
        // answer a member with a higher term could never follow that leader
        // again.
        answer_append(message.from(), false, commit_, 0);
    }
    else if (message.has_vote())
    {
        answer_vote(message, false, false, hard_state_.term);
    }
    return false;
}

consensus_output consensus::take_output()
{
    if (role_ == role::leader)
    {
        const auto unsent = [](const pending_read& read)
        {
            return read.round == 0;
        };
        if (std::any_of(pending_reads_.begin(), pending_reads_.end(), unsent))
        {
            broadcast_heartbeat();
        }
        for (auto& [id, peer] : peers_)
        {
            send_new_entries(id, peer);
        }
        update_reads();
    }
    consensus_output output;
    if (hard_state_ != last_output_hard_state_)
    {
        output.hard = hard_state_;
        last_output_hard_state_ = hard_state_;
    }
    output.snapshot = std::exchange(received_snapshot_, std::nullopt);
    for (auto i = first_unsaved_index_; i <= log_.last_index(); ++i)
    {
        output.entries.push_back(log_.at(i));
    }
    first_unsaved_index_ = log_.last_index() + 1;
    last_output_index_ = log_.last_index();
    output.messages = std::exchange(messages_, {});
    output.commit = commit_;
    output.reads = std::exchange(confirmed_reads_, {});
    return output;
}

void consensus::persisted()
{
    durable_index_ = last_output_index_;
    if (role_ == role::leader)
    {
        update_commit();
    }
}

log_snapshot consensus::compact(std::uint64_t index, std::string state,
                                std::uint64_t retained)
{
    log_snapshot snapshot{index, log_.term(index).value_or(0),
                          log_.members_at(index), std::move(state)};
    const auto first_retained = index > retained ? index - retained + 1 : 1;
    log_.compact(snapshot, first_retained);
    return snapshot;
}

wire::consensus_message consensus::message_to(std::uint64_t to) const
{
    wire::consensus_message message;
    message.set_from(options_.id);
    message.set_to(to);
    message.set_term(hard_state_.term);
    return message;
}

bool empty(const consensus_output& output)
{
    return !output.hard && !output.snapshot && output.entries.empty() &&
           output.messages.empty() && output.reads.empty();
}

} // namespace limpetstack
