// The follower side of log replication in the consensus protocol.
#include "coordination/consensus.hpp"

#include <algorithm>

namespace limpetstack
{

void consensus::accept_leader(std::uint64_t leader)
{
    role_ = role::follower;
    leader_ = leader;
    last_leader_contact_ = now_;
    reset_election_deadline();
}

void consensus::handle_append(const wire::consensus_message& message)
{
    if (role_ == role::leader)
    {
        return; // A term has only one leader, which is this replica.
    }
    accept_leader(message.from());
    const auto& request = message.append();
    // Entries up to the commit index are the same on every later leader, so
    // only later entries are compared.
    const auto previous = request.previous_index();
    if (previous > commit_ && log_.term(previous) != request.previous_term())
    {
        answer_append(message.from(), false, rejection_hint(previous),
                      request.round());
        return;
    }
    const auto match = store_entries(request);
    commit_ = std::max(commit_, std::min(request.commit(), match));
    answer_append(message.from(), true, match, request.round());
}

// Returns the index after which the leader should try to append next. This is
// the end of the log if the log is too short, otherwise the index before all
// entries of the conflicting term.
std::uint64_t consensus::rejection_hint(std::uint64_t previous) const
{
    if (previous > log_.last_index())
    {
        return log_.last_index();
    }
    const auto conflicting = log_.term(previous);
    auto hint = previous - 1;
    while (hint > commit_ && log_.term(hint) == conflicting)
    {
        --hint;
    }
    return hint;
}

// Stores the entries that this log lacks, in place of conflicting ones, and
// returns the last index at which the log matches that of the leader.
std::uint64_t consensus::store_entries(const wire::append_request& request)
{
    for (const auto& entry : request.entries())
    {
        if (entry.index() <= commit_ ||
            log_.term(entry.index()) == entry.term())
        {
            continue;
        }
        if (entry.index() <= log_.last_index())
        {
            log_.truncate(entry.index());
            first_unsaved_index_ =
                std::min(first_unsaved_index_, entry.index());
            last_output_index_ =
                std::min(last_output_index_, entry.index() - 1);
            durable_index_ = std::min(durable_index_, entry.index() - 1);
        }
        log_.append(entry);
    }
    const auto last = request.previous_index() +
                      static_cast<std::uint64_t>(request.entries_size());
    return std::max(commit_, last);
}

void consensus::handle_snapshot(const wire::consensus_message& message)
{
    if (role_ == role::leader)
    {
        return;
    }
    accept_leader(message.from());
    const auto& request = message.snapshot();
    const auto index = request.last_index();
    if (index > commit_)
    {
        if (log_.term(index) != request.last_term())
        {
            const log_snapshot snapshot{index, request.last_term(),
                                        request.members(), request.state()};
            log_.install(snapshot);
            received_snapshot_ = snapshot;
            first_unsaved_index_ = index + 1;
            last_output_index_ = index;
            durable_index_ = index;
        }
        // Otherwise the log already holds every entry that the snapshot covers.
        // It must not be replaced, since the leader may already count later
        // entries as stored here.
        commit_ = index;
    }
    answer_append(message.from(), true, commit_, request.round());
}

void consensus::answer_append(std::uint64_t to, bool accepted,
                              std::uint64_t index, std::uint64_t round)
{
    auto answer = message_to(to);
    answer.mutable_append_answer()->set_accepted(accepted);
    answer.mutable_append_answer()->set_last_index(index);
    answer.mutable_append_answer()->set_round(round);
    messages_.push_back(std::move(answer));
}

} // namespace limpetstack
