#include "support/consensus_cluster.hpp"

#include "base/hash.hpp"
#include "coordination/consensus_driver.hpp"
#include "coordination/member_admission.hpp"
#include "coordination/member_rules.hpp"

#include <algorithm>

namespace limpetstack
{
namespace
{

constexpr std::uint64_t identities_per_host = 1000;
constexpr milliseconds step_duration{10};
constexpr std::uint64_t snapshot_interval = 20;
constexpr std::uint64_t retained_entries = 5;

wire::member member_of(int index, std::uint64_t id)
{
    wire::member member;
    member.set_id(id);
    member.set_host("host" + std::to_string(index));
    member.set_peer_address("address" + std::to_string(index));
    return member;
}

} // namespace

consensus_cluster::consensus_cluster(int hosts, std::uint64_t seed)
    : random_(seed)
    , hosts_(static_cast<std::size_t>(hosts))
{
    for (int i = 0; i < hosts; ++i)
    {
        at(i).id = static_cast<std::uint64_t>(i) * identities_per_host + 1;
    }
    wire::membership founders;
    *founders.add_members() = member_of(0, at(0).id);
    founders.mutable_members(0)->set_voter(true);
    wire::log_entry entry;
    entry.set_index(1);
    entry.set_term(1);
    entry.set_kind(wire::entry_membership);
    entry.set_payload(founders.SerializeAsString());
    (void)at(0).disk.append({entry});
    for (int i = 0; i < hosts; ++i)
    {
        start(i);
    }
}

int consensus_cluster::host_of(std::uint64_t id)
{
    return static_cast<int>(id / identities_per_host);
}

void consensus_cluster::set_network_faults(double loss_probability,
                                           double repeat_probability,
                                           milliseconds max_delay)
{
    loss_probability_ = loss_probability;
    repeat_probability_ = repeat_probability;
    max_delay_ = max_delay;
}

void consensus_cluster::set_link(int from, int to,
                                 std::optional<milliseconds> delay)
{
    links_[{from, to}] = delay;
}

void consensus_cluster::record_violation(const std::string& text)
{
    if (violation_.empty())
    {
        violation_ = text;
    }
}

void consensus_cluster::start(int index)
{
    auto& replica = at(index);
    if (replica.up)
    {
        return;
    }
    replica.disk.fail_after(-1);
    const auto& stored = replica.disk.content();
    replica.applied = stored.snapshot.index;
    replica.state = stored.snapshot.state;
    consensus_options options;
    options.id = replica.id;
    options.peer_address = "address" + std::to_string(index);
    options.seed = random_();
    replica.protocol = std::make_unique<consensus>(options, stored, now_);
    replica.up = true;
}

void consensus_cluster::crash(int index)
{
    at(index).up = false;
    at(index).protocol.reset();
}

void consensus_cluster::erase_disk(int index)
{
    crash(index);
    at(index).disk = memory_log_storage();
    ++at(index).id;
    start(index);
}

void consensus_cluster::clear_faults()
{
    set_network_faults(0, 0, milliseconds(2));
    links_.clear();
    for (int i = 0; i < size(); ++i)
    {
        at(i).isolated = false;
        at(i).disk.fail_after(-1);
        start(i);
    }
}

int consensus_cluster::leader() const
{
    int found = -1;
    for (int i = 0; i < size(); ++i)
    {
        const auto& candidate = hosts_[static_cast<std::size_t>(i)];
        if (candidate.up && candidate.protocol->is_leader() &&
            (found < 0 ||
             candidate.protocol->term() >
                 hosts_[static_cast<std::size_t>(found)].protocol->term()))
        {
            found = i;
        }
    }
    return found;
}

bool consensus_cluster::propose(const std::string& text)
{
    const auto index = leader();
    if (index < 0)
    {
        return false;
    }
    const auto result = at(index).protocol->propose(text);
    process_host_outputs(index);
    return result.index > 0;
}

std::optional<std::uint64_t> consensus_cluster::begin_read(int index)
{
    if (!at(index).up)
    {
        return std::nullopt;
    }
    const auto read_id = at(index).protocol->begin_read();
    if (read_id)
    {
        // Everything that any host has applied is committed, so the read must
        // see at least that.
        read_indexes_[{index, *read_id}] = committed();
        process_host_outputs(index);
    }
    return read_id;
}

bool consensus_cluster::has_converged() const
{
    const auto index = leader();
    if (index < 0)
    {
        return false;
    }
    const auto& protocol = *hosts_[static_cast<std::size_t>(index)].protocol;
    const auto& members = protocol.log().members();
    return protocol.log().members_index() <= protocol.commit() &&
           members.members_size() == size() &&
           std::all_of(hosts_.begin(), hosts_.end(),
                       [&](const host& item)
                       {
                           return item.up && is_voter(members, item.id) &&
                                  item.applied == protocol.log().last_index();
                       });
}

bool consensus_cluster::run_until_converged(milliseconds limit)
{
    for (const auto end = now_ + limit; now_ < end && !has_converged();)
    {
        step();
    }
    return has_converged();
}

void consensus_cluster::run(milliseconds duration)
{
    for (const auto end = now_ + duration; now_ < end;)
    {
        step();
    }
}

void consensus_cluster::step()
{
    now_ += step_duration;
    while (!messages_in_flight_.empty() &&
           messages_in_flight_.begin()->first <= now_)
    {
        const auto message = std::move(messages_in_flight_.begin()->second);
        messages_in_flight_.erase(messages_in_flight_.begin());
        const auto index = host_of(message.to());
        if (index >= size())
        {
            continue;
        }
        auto& replica = at(index);
        if (replica.up && !replica.isolated &&
            !at(host_of(message.from())).isolated)
        {
            replica.protocol->receive(message);
            process_host_outputs(index);
        }
    }
    for (int i = 0; i < size(); ++i)
    {
        if (at(i).up)
        {
            at(i).protocol->tick(now_);
            process_host_outputs(i);
        }
        if (admission_enabled &&
            now_.time_since_epoch() % milliseconds(200) == milliseconds(0))
        {
            admit(i);
        }
    }
}

void consensus_cluster::send(int from, const wire::consensus_message& message)
{
    check_votes(message);
    const auto chance = [this]
    {
        return static_cast<double>(random_() % 1000) / 1000;
    };
    if (at(from).isolated || chance() < loss_probability_)
    {
        return;
    }
    const auto link = links_.find({from, host_of(message.to())});
    if (link != links_.end() && !link->second)
    {
        return;
    }
    const auto link_delay =
        link == links_.end() ? milliseconds(0) : *link->second;
    const auto copies = chance() < repeat_probability_ ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        const auto delay =
            link_delay + milliseconds(1 + random(static_cast<std::uint64_t>(
                                              max_delay_.count())));
        messages_in_flight_.emplace(now_ + delay, message);
    }
}

void consensus_cluster::check_votes(const wire::consensus_message& message)
{
    if (!message.has_vote_answer() || !message.vote_answer().granted() ||
        message.vote_answer().pre_vote())
    {
        return;
    }
    const auto vote = votes_by_term_and_voter_.try_emplace(
        {message.term(), message.from()}, message.to());
    if (vote.first->second != message.to())
    {
        record_violation("an identity voted twice in term " +
                         std::to_string(message.term()));
    }
}

void consensus_cluster::apply(host& replica, std::uint64_t commit)
{
    for (; replica.applied < commit; ++replica.applied)
    {
        const auto& entry = replica.protocol->log().at(replica.applied + 1);
        replica.state = sha256_hex(replica.state + entry.SerializeAsString());
        const auto known =
            state_by_index_.try_emplace(entry.index(), replica.state);
        if (known.first->second != replica.state)
        {
            record_violation("a committed entry changed at index " +
                             std::to_string(entry.index()));
        }
    }
}

void consensus_cluster::process_host_outputs(int index)
{
    auto& replica = at(index);
    const consensus_callbacks callbacks{
        [&](const wire::consensus_message& message)
        {
            send(index, message);
        },
        [&](const log_snapshot& snapshot)
        {
            replica.applied = snapshot.index;
            replica.state = snapshot.state;
            if (state_by_index_[snapshot.index] != snapshot.state)
            {
                record_violation(
                    "a snapshot differs from the committed entries");
            }
        },
        [&](std::uint64_t commit)
        {
            apply(replica, commit);
        },
        [&](const confirmed_read& read)
        {
            confirmed_reads_.insert({index, read.read_id});
            if (replica.applied < read_indexes_[{index, read.read_id}])
            {
                record_violation("a confirmed read is not current");
            }
        }};
    if (!process_outputs(*replica.protocol, replica.disk, callbacks).ok())
    {
        crash(index);
        return;
    }
    if (replica.protocol->is_leader())
    {
        const auto known =
            leader_by_term_.try_emplace(replica.protocol->term(), replica.id);
        if (known.first->second != replica.id)
        {
            record_violation("two leaders in term " +
                             std::to_string(replica.protocol->term()));
        }
    }
    compact(index);
}

void consensus_cluster::compact(int index)
{
    auto& replica = at(index);
    if (replica.applied - replica.protocol->log().snapshot().index <
        snapshot_interval)
    {
        return;
    }
    const auto snapshot = replica.protocol->compact(
        replica.applied, replica.state, retained_entries);
    if (!replica.disk
             .compact(snapshot, replica.protocol->log().base_index() + 1)
             .ok())
    {
        crash(index);
    }
}

void consensus_cluster::admit(int index)
{
    const auto from = leader();
    if (from < 0 || !at(index).up || at(index).isolated || at(from).isolated)
    {
        return;
    }
    auto& protocol = *at(from).protocol;
    wire::members_response group;
    *group.mutable_members() = protocol.log().members();
    group.set_leader(protocol.leader());
    group.set_commit(protocol.commit());
    const replica_state candidate{member_of(index, at(index).id), true,
                                  at(index).protocol->commit()};
    if (const auto change = next_member_change(group, candidate))
    {
        (void)protocol.propose_change(*change);
        process_host_outputs(from);
    }
}

} // namespace limpetstack
