// The leader side of the consensus protocol: replication, check-quorum,
// membership changes and reads.
#include "coordination/consensus.hpp"
#include "coordination/member_rules.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Limits of one append message. An entry that is larger on its own is sent
// nevertheless.
constexpr int max_append_entries = 64;
constexpr std::size_t max_append_bytes = 1U << 20U;

// Limits the memory that a leader uses while it can not commit.
constexpr std::uint64_t max_uncommitted_entries = 1024;

// A snapshot is sent again after this many election timeouts without an answer,
// because it may take longer than a heartbeat to arrive.
constexpr int snapshot_retry_timeouts = 4;

// Answers to rounds that were sent longer ago confirm no leadership.
constexpr milliseconds round_memory{5000};

proposal_result rejected(wire::command_code code, std::string message)
{
    return {code, std::move(message), 0};
}

} // namespace

void consensus::append_entry(wire::entry_kind kind, std::string payload)
{
    wire::log_entry entry;
    entry.set_index(log_.last_index() + 1);
    entry.set_term(hard_state_.term);
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
    std::vector<std::uint64_t> last_contacts;
    for (const auto id : voter_ids(log_.members()))
    {
        const auto peer = peers_.find(id);
        auto last_contact = now_;
        if (id != options_.id)
        {
            last_contact = peer == peers_.end()
                               ? leader_since_
                               : std::max(peer->second.last_response.value_or(
                                              leader_since_),
                                          leader_since_);
        }
        last_contacts.push_back(static_cast<std::uint64_t>(
            last_contact.time_since_epoch().count()));
    }
    const auto now =
        static_cast<std::uint64_t>(now_.time_since_epoch().count());
    const auto without_majority = milliseconds(
        static_cast<milliseconds::rep>(now - majority_value(last_contacts)));
    if (without_majority >= options_.election_timeout)
    {
        become_follower(hard_state_.term);
    }
}

bool consensus::is_live(const progress& peer) const
{
    return peer.last_response &&
           now_ - *peer.last_response < options_.election_timeout;
}

bool consensus::has_live_majority(const wire::membership& members) const
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

bool consensus::has_room() const
{
    return log_.last_index() - commit_ < max_uncommitted_entries;
}

proposal_result consensus::propose(std::string payload)
{
    if (role_ != role::leader)
    {
        return rejected(wire::command_unavailable, "not the leader");
    }
    if (!has_room())
    {
        return rejected(wire::command_unavailable,
                        "too many commands wait for a majority");
    }
    append_entry(wire::entry_command, std::move(payload));
    return {wire::command_accepted, "", log_.last_index()};
}

// Returns true when no membership change is in progress and an entry of this
// leader's term is committed. Majorities of consecutive memberships overlap
// only under these conditions.
bool consensus::can_change_membership() const
{
    return commit_ >= term_start_index_ && log_.members_index() <= commit_;
}

proposal_result consensus::propose_change(const wire::member_change& change)
{
    if (role_ != role::leader)
    {
        return rejected(wire::command_unavailable, "not the leader");
    }
    if (!can_change_membership())
    {
        return rejected(wire::command_conflict,
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
            return rejected(wire::command_conflict,
                            "the learner does not hold a full copy yet");
        }
    }
    if (!has_live_majority(*planned.members))
    {
        // A change without a reachable majority could never be committed and
        // would stop the group.
        return rejected(wire::command_conflict,
                        "the change would leave no reachable majority");
    }
    append_entry(wire::entry_membership, planned.members->SerializeAsString());
    update_members();
    return {wire::command_accepted, "", log_.last_index()};
}

std::optional<std::uint64_t> consensus::begin_read()
{
    if (role_ != role::leader)
    {
        return std::nullopt;
    }
    // Earlier leaders may have committed entries that this leader does not know
    // to be committed. They all precede the first entry of its term, so the
    // read waits for that entry.
    pending_reads_.push_back(
        {next_read_id_, std::max(commit_, term_start_index_), 0});
    return next_read_id_++;
}

void consensus::broadcast_heartbeat()
{
    last_heartbeat_ = now_;
    ++round_;
    round_times_.push_back(now_);
    while (now_ - round_times_.front() > round_memory)
    {
        round_times_.pop_front();
    }
    for (auto& read : pending_reads_)
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

// Returns nothing when the round was sent too long ago.
std::optional<time_point> consensus::round_sent_at(std::uint64_t round) const
{
    const auto later = round_ - round;
    return later < round_times_.size()
               ? std::optional(*(round_times_.rbegin() +
                                 static_cast<std::ptrdiff_t>(later)))
               : std::nullopt;
}

std::optional<time_point> consensus::confirmed_at() const
{
    if (role_ != role::leader)
    {
        return std::nullopt;
    }
    std::vector<std::uint64_t> times;
    for (const auto id : voter_ids(log_.members()))
    {
        const auto peer = peers_.find(id);
        const auto at = id == options_.id      ? std::optional(now_)
                        : peer == peers_.end() ? std::nullopt
                                               : peer->second.confirmed_at;
        times.push_back(
            at ? static_cast<std::uint64_t>(at->time_since_epoch().count())
               : 0);
    }
    const auto majority = majority_value(std::move(times));
    return majority > 0 ? std::optional(time_point(milliseconds(
                              static_cast<milliseconds::rep>(majority))))
                        : std::nullopt;
}

wire::append_request consensus::next_append(const progress& peer) const
{
    wire::append_request request;
    // Every member accepts an append at position 0. It is sent to a member that
    // waits for a snapshot, so that the member does not start an election.
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
    body.set_state(snapshot.state.str());
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
    if (answer.round() > peer.acknowledged_round && answer.round() <= round_)
    {
        // Only an answer to a newer round shows that the member is alive; a
        // repeated or delayed answer does not.
        peer.acknowledged_round = answer.round();
        peer.last_response = now_;
        if (const auto sent = round_sent_at(answer.round()))
        {
            peer.confirmed_at = sent;
        }
    }
    if (answer.last_index() <= log_.last_index())
    {
        answer.accepted() ? advance_match(peer, answer.last_index())
                          : handle_rejection(peer, answer.last_index());
    }
    update_commit();
}

void consensus::advance_match(progress& peer, std::uint64_t index) const
{
    peer.match = std::max(peer.match, index);
    if (index + 1 >= peer.next && index >= log_.base_index())
    {
        peer.probing = false;
        peer.snapshot_sent.reset();
    }
    peer.next = std::max(peer.next, peer.match + 1);
}

void consensus::handle_rejection(progress& peer, std::uint64_t hint) const
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
    std::vector<std::uint64_t> durable_indexes;
    for (const auto id : voter_ids(log_.members()))
    {
        const auto peer = peers_.find(id);
        durable_indexes.push_back(id == options_.id      ? durable_index_
                                  : peer == peers_.end() ? 0
                                                         : peer->second.match);
    }
    const auto index = majority_value(std::move(durable_indexes));
    if (index > commit_ && log_.term(index) == hard_state_.term)
    {
        commit_ = index;
        if (log_.members_index() <= commit_ &&
            !is_voter(log_.members(), options_.id))
        {
            // This replica was removed and steps down. Its last heartbeat tells
            // the other members that the removal is committed.
            broadcast_heartbeat();
            become_follower(hard_state_.term);
        }
    }
}

void consensus::update_reads()
{
    std::vector<std::uint64_t> rounds;
    for (const auto id : voter_ids(log_.members()))
    {
        const auto peer = peers_.find(id);
        rounds.push_back(id == options_.id ? round_
                         : peer == peers_.end()
                             ? 0
                             : peer->second.acknowledged_round);
    }
    const auto confirmed_round = majority_value(std::move(rounds));
    const auto first_confirmed =
        std::stable_partition(pending_reads_.begin(), pending_reads_.end(),
                              [&](const pending_read& read)
                              {
                                  return read.round == 0 ||
                                         read.round > confirmed_round ||
                                         read.index > commit_;
                              });
    for (auto read = first_confirmed; read != pending_reads_.end(); ++read)
    {
        confirmed_reads_.push_back({read->read_id, read->index});
    }
    pending_reads_.erase(first_confirmed, pending_reads_.end());
}

} // namespace limpetstack
