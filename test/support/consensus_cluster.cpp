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
constexpr milliseconds step_length{10};
constexpr std::uint64_t snapshot_interval = 20;
constexpr std::uint64_t kept_entries = 5;

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

void consensus_cluster::set_network(double lost, double repeated,
                                    milliseconds delay)
{
    lost_ = lost;
    repeated_ = repeated;
    delay_ = delay;
}

void consensus_cluster::report(const std::string& text)
{
    if (violation_.empty())
    {
        violation_ = text;
    }
}

void consensus_cluster::start(int index)
{
    auto& target = at(index);
    if (target.up)
    {
        return;
    }
    target.disk.fail_after(-1);
    const auto& stored = target.disk.content();
    target.applied = stored.snapshot.index;
    target.state = stored.snapshot.state;
    consensus_options options;
    options.id = target.id;
    options.peer_address = "address" + std::to_string(index);
    options.seed = random_();
    target.core = std::make_unique<consensus>(options, stored, now_);
    target.up = true;
}

void consensus_cluster::crash(int index)
{
    at(index).up = false;
    at(index).core.reset();
}

void consensus_cluster::erase(int index)
{
    crash(index);
    at(index).disk = memory_log_storage();
    ++at(index).id;
    start(index);
}

void consensus_cluster::heal()
{
    set_network(0, 0, milliseconds(2));
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
        if (candidate.up && candidate.core->is_leader() &&
            (found < 0 ||
             candidate.core->term() >
                 hosts_[static_cast<std::size_t>(found)].core->term()))
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
    const auto result = at(index).core->propose(text);
    flush(index);
    return result.index > 0;
}

std::optional<std::uint64_t> consensus_cluster::begin_read(int index)
{
    if (!at(index).up)
    {
        return std::nullopt;
    }
    const auto read_id = at(index).core->begin_read();
    if (read_id)
    {
        // Everything that any host has applied by now is committed.
        reads_[{index, *read_id}] = committed();
        flush(index);
    }
    return read_id;
}

bool consensus_cluster::whole() const
{
    const auto index = leader();
    if (index < 0)
    {
        return false;
    }
    const auto& core = *hosts_[static_cast<std::size_t>(index)].core;
    const auto& members = core.log().members();
    return core.log().members_index() <= core.commit() &&
           members.members_size() == size() &&
           std::all_of(hosts_.begin(), hosts_.end(),
                       [&](const host& item)
                       {
                           return item.up && is_voter(members, item.id) &&
                                  item.applied == core.log().last_index();
                       });
}

bool consensus_cluster::run_until_whole(milliseconds limit)
{
    for (const auto end = now_ + limit; now_ < end && !whole();)
    {
        step();
    }
    return whole();
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
    now_ += step_length;
    while (!network_.empty() && network_.begin()->first <= now_)
    {
        const auto message = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        const auto index = host_of(message.to());
        if (index >= size())
        {
            continue;
        }
        auto& target = at(index);
        if (target.up && !target.isolated &&
            !at(host_of(message.from())).isolated)
        {
            target.core->receive(message);
            flush(index);
        }
    }
    for (int i = 0; i < size(); ++i)
    {
        if (at(i).up)
        {
            at(i).core->tick(now_);
            flush(i);
        }
        if (admits &&
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
    if (at(from).isolated || chance() < lost_)
    {
        return;
    }
    const auto copies = chance() < repeated_ ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        const auto delay = milliseconds(
            1 + random(static_cast<std::uint64_t>(delay_.count())));
        network_.emplace(now_ + delay, message);
    }
}

void consensus_cluster::check_votes(const wire::consensus_message& message)
{
    if (!message.has_vote_answer() || !message.vote_answer().granted() ||
        message.vote_answer().pre_vote())
    {
        return;
    }
    const auto vote =
        votes_.try_emplace({message.term(), message.from()}, message.to());
    if (vote.first->second != message.to())
    {
        report("an identity voted twice in term " +
               std::to_string(message.term()));
    }
}

void consensus_cluster::apply(host& target, std::uint64_t commit)
{
    for (; target.applied < commit; ++target.applied)
    {
        const auto& entry = target.core->log().at(target.applied + 1);
        target.state = sha256_hex(target.state + entry.SerializeAsString());
        const auto known = states_.try_emplace(entry.index(), target.state);
        if (known.first->second != target.state)
        {
            report("a committed entry changed at index " +
                   std::to_string(entry.index()));
        }
    }
}

void consensus_cluster::flush(int index)
{
    auto& target = at(index);
    const consensus_callbacks effects{
        [&](const wire::consensus_message& message)
        {
            send(index, message);
        },
        [&](const log_snapshot& snapshot)
        {
            target.applied = snapshot.index;
            target.state = snapshot.state;
            if (states_[snapshot.index] != snapshot.state)
            {
                report("a snapshot differs from the committed entries");
            }
        },
        [&](std::uint64_t commit)
        {
            apply(target, commit);
        },
        [&](const confirmed_read& read)
        {
            confirmed_.insert({index, read.read_id});
            if (target.applied < reads_[{index, read.read_id}])
            {
                report("a confirmed read is not current");
            }
        }};
    if (!process_outputs(*target.core, target.disk, effects).ok())
    {
        crash(index);
        return;
    }
    if (target.core->is_leader())
    {
        const auto known = leaders_.try_emplace(target.core->term(), target.id);
        if (known.first->second != target.id)
        {
            report("two leaders in term " +
                   std::to_string(target.core->term()));
        }
    }
    compact(index);
}

void consensus_cluster::compact(int index)
{
    auto& target = at(index);
    if (target.applied - target.core->log().snapshot().index <
        snapshot_interval)
    {
        return;
    }
    const auto snapshot =
        target.core->compact(target.applied, target.state, kept_entries);
    if (!target.disk.compact(snapshot, target.core->log().base_index() + 1)
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
    auto& core = *at(from).core;
    wire::members_response group;
    *group.mutable_members() = core.log().members();
    group.set_leader(core.leader());
    group.set_commit(core.commit());
    const replica_state replica{member_of(index, at(index).id), true,
                                at(index).core->commit()};
    if (const auto change = next_member_change(group, replica))
    {
        (void)core.propose_change(*change);
        flush(from);
    }
}

} // namespace limpetstack
