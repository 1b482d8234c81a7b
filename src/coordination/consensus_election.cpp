// The elections of the consensus protocol: pre-votes, votes and role changes.
#include "coordination/consensus.hpp"
#include "coordination/member_rules.hpp"

#include <algorithm>
#include <tuple>

namespace limpetstack
{

bool consensus::has_live_leader() const
{
    // The contact counts also after a newer term was seen: the leader that
    // this member answered may not know of that term.
    return role_ == role::leader ||
           (last_leader_contact_ &&
            now_ - *last_leader_contact_ < options_.election_timeout);
}

bool consensus::is_log_up_to_date(std::uint64_t last_index,
                                  std::uint64_t last_term) const
{
    return std::make_tuple(last_term, last_index) >=
           std::make_tuple(log_.last_term(), log_.last_index());
}

void consensus::reset_election_deadline()
{
    // The deadlines are spread over the length of one more timeout, so that two
    // members seldom start an election at the same time.
    const auto extra =
        random_() % static_cast<std::uint64_t>(std::max<std::int64_t>(
                        options_.election_timeout.count(), 1));
    election_deadline_ = now_ + options_.election_timeout +
                         milliseconds(static_cast<milliseconds::rep>(extra));
}

void consensus::set_term(std::uint64_t term)
{
    if (term > hard_state_.term)
    {
        hard_state_ = {term, 0};
    }
}

void consensus::become_follower(std::uint64_t term)
{
    set_term(term);
    role_ = role::follower;
    leader_ = 0;
    votes_.clear();
    peers_.clear();
    pending_reads_.clear();
    reset_election_deadline();
}

void consensus::start_pre_vote()
{
    reset_election_deadline();
    leader_ = 0;
    if (!is_voter(log_.members(), options_.id))
    {
        role_ = role::follower;
        return;
    }
    role_ = role::pre_candidate;
    votes_ = {options_.id};
    request_votes(hard_state_.term + 1);
    count_votes();
}

void consensus::start_election()
{
    set_term(hard_state_.term + 1);
    hard_state_.vote = options_.id;
    role_ = role::candidate;
    votes_ = {options_.id};
    reset_election_deadline();
    request_votes(hard_state_.term);
    count_votes();
}

void consensus::request_votes(std::uint64_t term)
{
    for (const auto id : voter_ids(log_.members()))
    {
        if (id == options_.id)
        {
            continue;
        }
        auto message = message_to(id);
        message.set_term(term);
        message.set_from_address(options_.peer_address);
        if (role_ == role::pre_candidate)
        {
            message.mutable_pre_vote()->set_last_index(log_.last_index());
            message.mutable_pre_vote()->set_last_term(log_.last_term());
        }
        else
        {
            message.mutable_vote()->set_last_index(log_.last_index());
            message.mutable_vote()->set_last_term(log_.last_term());
        }
        messages_.push_back(std::move(message));
    }
}

void consensus::count_votes()
{
    const auto voters = voter_ids(log_.members());
    const auto granted = std::count_if(voters.begin(), voters.end(),
                                       [this](std::uint64_t id)
                                       {
                                           return votes_.count(id) > 0;
                                       });
    if (2 * static_cast<std::size_t>(granted) <= voters.size())
    {
        return;
    }
    if (role_ == role::pre_candidate)
    {
        start_election();
    }
    else if (role_ == role::candidate)
    {
        become_leader();
    }
}

void consensus::become_leader()
{
    role_ = role::leader;
    leader_ = options_.id;
    leader_since_ = now_;
    votes_.clear();
    peers_.clear();
    pending_reads_.clear();
    round_ = 0;
    round_times_.clear();
    update_members();
    // Entries of earlier terms are committed only together with an entry of
    // this term, so the leader appends one at once.
    append_entry(wire::entry_noop, "");
    term_start_index_ = log_.last_index();
    broadcast_heartbeat();
}

void consensus::handle_pre_vote(const wire::consensus_message& message)
{
    if (has_live_leader())
    {
        return;
    }
    const auto& request = message.pre_vote();
    const auto granted =
        message.term() > hard_state_.term &&
        is_log_up_to_date(request.last_index(), request.last_term());
    answer_vote(message, granted, true,
                granted ? message.term() : hard_state_.term);
}

void consensus::handle_vote(const wire::consensus_message& message)
{
    const auto& request = message.vote();
    const auto granted =
        (hard_state_.vote == 0 || hard_state_.vote == message.from()) &&
        is_log_up_to_date(request.last_index(), request.last_term());
    if (granted)
    {
        hard_state_.vote = message.from();
        reset_election_deadline();
    }
    answer_vote(message, granted, false, hard_state_.term);
}

void consensus::answer_vote(const wire::consensus_message& message,
                            bool granted, bool pre_vote, std::uint64_t term)
{
    auto answer = message_to(message.from());
    answer.set_term(term);
    answer.mutable_vote_answer()->set_granted(granted);
    answer.mutable_vote_answer()->set_pre_vote(pre_vote);
    messages_.push_back(std::move(answer));
}

void consensus::handle_vote_answer(const wire::consensus_message& message)
{
    const auto& answer = message.vote_answer();
    const auto expected =
        answer.pre_vote()
            ? role_ == role::pre_candidate &&
                  message.term() == hard_state_.term + 1
            : role_ == role::candidate && message.term() == hard_state_.term;
    if (answer.granted() && expected)
    {
        votes_.insert(message.from());
        count_votes();
    }
}

} // namespace limpetstack
