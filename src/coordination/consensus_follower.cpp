// The follower's side of log replication.
#include "coordination/consensus.hpp"

#include <algorithm>

namespace limpetstack
{

void consensus::follow(std::uint64_t leader)
{
    role_ = role::follower;
    leader_ = leader;
    heard_leader_ = now_;
    reset_election_deadline();
}

void consensus::handle_append(const wire::consensus_message& message)
{
    if (role_ == role::leader)
    {
        return; // A term has one leader.
    }
    follow(message.from());
    const auto& request = message.append();
    // Everything up to the commit index agrees with any later leader.
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

// Returns where the leader may try next: the end of the log, or before all
// entries of the term that conflicts.
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

// Stores the entries that are new and returns the last matching index.
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
            unsaved_from_ = std::min(unsaved_from_, entry.index());
            handed_out_ = std::min(handed_out_, entry.index() - 1);
            synced_ = std::min(synced_, entry.index() - 1);
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
    follow(message.from());
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
            unsaved_from_ = index + 1;
            handed_out_ = index;
            synced_ = index;
        }
        // Otherwise the log holds it all; entries after it may count already.
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
