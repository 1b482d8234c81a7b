// The leader's side: replication, check-quorum, membership and reads.
#include "coordination/consensus.hpp"
#include "coordination/member_rules.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Bounds of one append; a single larger entry is still sent.
constexpr int max_append_entries = 64;
constexpr std::size_t max_append_bytes = 1U << 20U;

// Bounds the memory of a leader that can not commit.
constexpr std::uint64_t max_uncommitted_entries = 1024;

// A snapshot may take longer than a heartbeat to arrive; it is sent again after
// this many election timeouts without an answer.
constexpr int snapshot_retry_timeouts = 4;

proposal_result refuse(wire::command_code code, std::string message)
{
    return {code, std::move(message), 0};
}

} // namespace

void consensus::append_own(wire::entry_kind kind, std::string payload)
{
    wire::log_entry entry;
    entry.set_index(log_.last_index() + 1);
    entry.set_term(hard_.term);
    entry.set_kind(kind);
    entry.set_payload(std::move(payload));
    log_.append(entry);
}

void consensus::update_members()
{
    std::map<std::uint64_t, progress> current;
    for (const auto& member : log_.members().members())
    {
        if (member.id() == options_.id)
        {
            continue;
        }
        const auto known = peers_.find(member.id());
        if (known != peers_.end())
        {
            current.insert(*known);
            continue;
        }
        progress added;
        added.next = log_.last_index() + 1;
        current.emplace(member.id(), added);
    }
    peers_ = std::move(current);
}

void consensus::check_quorum()
{
    std::vector<std::uint64_t> heard;
    for (const auto id : voter_ids(log_.members()))
    {
        const auto peer = peers_.find(id);
        auto at = now_;
        if (id != options_.id)
        {
            at = peer == peers_.end()
                     ? leader_since_
                     : std::max(peer->second.heard.value_or(leader_since_),
                                leader_since_);
        }
        heard.push_back(
            static_cast<std::uint64_t>(at.time_since_epoch().count()));
    }
    const auto now =
        static_cast<std::uint64_t>(now_.time_since_epoch().count());
    const auto silence = milliseconds(
        static_cast<milliseconds::rep>(now - majority_value(heard)));
    if (silence >= options_.election_timeout)
    {
        become_follower(hard_.term);
    }
}

bool consensus::is_live(const progress& peer) const
{
    return peer.heard && now_ - *peer.heard < options_.election_timeout;
}

bool consensus::live_majority(const wire::membership& members) const
{
    const auto voters = voter_ids(members);
    const auto live =
        std::count_if(voters.begin(), voters.end(),
                      [this](std::uint64_t id)
                      {
                          const auto peer = peers_.find(id);
                          return id == options_.id || (peer != peers_.end() &&
                                                       is_live(peer->second));
                      });
    return 2 * static_cast<std::size_t>(live) > voters.size();
}

proposal_result consensus::propose(std::string payload)
{
    if (role_ != role::leader)
    {
        return refuse(wire::command_unavailable, "not the leader");
    }
    if (log_.last_index() - commit_ >= max_uncommitted_entries)
    {
        return refuse(wire::command_unavailable,
                      "too many commands wait for a majority");
    }
    append_own(wire::entry_command, std::move(payload));
    return {wire::command_accepted, "", log_.last_index()};
}

// One change at a time: majorities of consecutive memberships overlap only
// when each is committed before the next, in this leader's term.
bool consensus::change_is_open() const
{
    return commit_ >= first_own_index_ && log_.members_index() <= commit_;
}

proposal_result consensus::propose_change(const wire::member_change& change)
{
    if (role_ != role::leader)
    {
        return refuse(wire::command_unavailable, "not the leader");
    }
    if (!change_is_open())
    {
        return refuse(wire::command_conflict,
                      "the previous membership change is not committed yet");
    }
    const auto planned = plan_change(log_.members(), change);
    if (!planned.members)
    {
        return {planned.code, planned.message, 0};
    }
    if (change.change() == wire::member_change::promote)
    {
        const auto peer = peers_.find(change.subject().id());
        if (peer == peers_.end() || peer->second.match < commit_ ||
            !is_live(peer->second))
        {
            return refuse(wire::command_conflict,
                          "the learner does not hold a full copy yet");
        }
    }
    if (!live_majority(*planned.members))
    {
        // The change could never be committed and would stop the group.
        return refuse(wire::command_conflict,
                      "the change would leave no reachable majority");
    }
    append_own(wire::entry_membership, planned.members->SerializeAsString());
    update_members();
    return {wire::command_accepted, "", log_.last_index()};
}

std::optional<std::uint64_t> consensus::begin_read()
{
    if (role_ != role::leader)
    {
        return std::nullopt;
    }
    // Entries committed by earlier leaders precede this term's first entry.
    reads_.push_back({next_ticket_, std::max(commit_, first_own_index_), 0});
    return next_ticket_++;
}

void consensus::broadcast_heartbeat()
{
    last_heartbeat_ = now_;
    ++round_;
    for (auto& read : reads_)
    {
        if (read.round == 0)
        {
            read.round = round_;
        }
    }
    for (const auto& [id, peer] : peers_)
    {
        send_empty_append(id, peer);
    }
}

wire::append_request consensus::next_append(const progress& peer) const
{
    wire::append_request request;
    // Position 0 is accepted by everyone; it keeps a member that waits for a
    // snapshot from starting an election.
    const auto previous = peer.next - 1;
    const auto term = log_.term(previous);
    request.set_previous_index(term ? previous : 0);
    request.set_previous_term(term.value_or(0));
    request.set_commit(commit_);
    request.set_round(round_);
    return request;
}

void consensus::send_empty_append(std::uint64_t to, const progress& peer)
{
    auto message = message_to(to);
    *message.mutable_append() = next_append(peer);
    if (peer.match < log_.members_index())
    {
        message.set_from_address(options_.peer_address);
    }
    messages_.push_back(std::move(message));
}

void consensus::send_new_entries(std::uint64_t to, progress& peer)
{
    if (peer.next <= log_.base_index())
    {
        send_snapshot(to, peer);
        return;
    }
    while (!peer.probing && peer.next <= log_.last_index())
    {
        auto message = message_to(to);
        auto request = next_append(peer);
        std::size_t bytes = 0;
        while (peer.next <= log_.last_index() &&
               request.entries_size() < max_append_entries)
        {
            const auto& entry = log_.at(peer.next);
            bytes += entry.payload().size();
            if (bytes > max_append_bytes && request.entries_size() > 0)
            {
                break;
            }
            *request.add_entries() = entry;
            ++peer.next;
        }
        *message.mutable_append() = std::move(request);
        if (peer.match < log_.members_index())
        {
            message.set_from_address(options_.peer_address);
        }
        messages_.push_back(std::move(message));
    }
}

void consensus::send_snapshot(std::uint64_t to, progress& peer)
{
    const auto retry = snapshot_retry_timeouts * options_.election_timeout;
    if (peer.snapshot_sent && now_ - *peer.snapshot_sent < retry)
    {
        return;
    }
    peer.snapshot_sent = now_;
    auto message = message_to(to);
    message.set_from_address(options_.peer_address);
    const auto& snapshot = log_.snapshot();
    auto& body = *message.mutable_snapshot();
    body.set_last_index(snapshot.index);
    body.set_last_term(snapshot.term);
    *body.mutable_members() = snapshot.members;
    body.set_state(snapshot.state);
    body.set_round(round_);
    messages_.push_back(std::move(message));
}

void consensus::handle_append_answer(const wire::consensus_message& message)
{
    const auto found = peers_.find(message.from());
    if (role_ != role::leader || found == peers_.end())
    {
        return;
    }
    auto& peer = found->second;
    const auto& answer = message.append_answer();
    if (answer.round() > peer.round && answer.round() <= round_)
    {
        // A repeated or delayed answer does not show that the member is alive.
        peer.round = answer.round();
        peer.heard = now_;
    }
    if (answer.last_index() <= log_.last_index())
    {
        answer.accepted() ? accept_match(peer, answer.last_index())
                          : reject_match(peer, answer.last_index());
    }
    update_commit();
}

void consensus::accept_match(progress& peer, std::uint64_t index) const
{
    peer.match = std::max(peer.match, index);
    if (index + 1 >= peer.next && index >= log_.base_index())
    {
        peer.probing = false;
        peer.snapshot_sent.reset();
    }
    peer.next = std::max(peer.next, peer.match + 1);
}

void consensus::reject_match(progress& peer, std::uint64_t hint) const
{
    const auto next = std::max(peer.match + 1, hint + 1);
    if (next < peer.next)
    {
        peer.next = next;
        peer.probing = true;
    }
}

void consensus::update_commit()
{
    std::vector<std::uint64_t> synced;
    for (const auto id : voter_ids(log_.members()))
    {
        const auto peer = peers_.find(id);
        synced.push_back(id == options_.id      ? synced_
                         : peer == peers_.end() ? 0
                                                : peer->second.match);
    }
    const auto index = majority_value(std::move(synced));
    if (index > commit_ && log_.term(index) == hard_.term)
    {
        commit_ = index;
        if (log_.members_index() <= commit_ &&
            !is_voter(log_.members(), options_.id))
        {
            // The others learn of the commit from this last heartbeat.
            broadcast_heartbeat();
            become_follower(hard_.term);
        }
    }
}

void consensus::update_reads()
{
    std::vector<std::uint64_t> rounds;
    for (const auto id : voter_ids(log_.members()))
    {
        const auto peer = peers_.find(id);
        rounds.push_back(id == options_.id      ? round_
                         : peer == peers_.end() ? 0
                                                : peer->second.round);
    }
    const auto confirmed_round = majority_value(std::move(rounds));
    const auto done =
        std::stable_partition(reads_.begin(), reads_.end(),
                              [&](const pending_read& read)
                              {
                                  return read.round == 0 ||
                                         read.round > confirmed_round ||
                                         read.index > commit_;
                              });
    for (auto read = done; read != reads_.end(); ++read)
    {
        confirmed_.push_back({read->read_id, read->index});
    }
    reads_.erase(done, reads_.end());
}

} // namespace limpetstack
