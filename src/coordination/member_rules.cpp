#include "coordination/member_rules.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace limpetstack
{
namespace
{

planned_change refuse(wire::command_code code, std::string message)
{
    return {code, std::move(message), std::nullopt};
}

planned_change no_change()
{
    return {};
}

wire::member* find_mutable(wire::membership& members, std::uint64_t id)
{
    for (auto& member : *members.mutable_members())
    {
        if (member.id() == id)
        {
            return &member;
        }
    }
    return nullptr;
}

planned_change plan_add(const wire::membership& members,
                        const wire::member& subject)
{
    if (subject.id() == 0 || subject.host().empty() ||
        subject.peer_address().empty())
    {
        return refuse(wire::command_invalid,
                      "a learner needs an identity, a host and an address");
    }
    const auto* const holder = find_member_on(members, subject.host());
    if (holder != nullptr && holder->id() != subject.id())
    {
        return refuse(wire::command_conflict,
                      absl::StrCat("host ", subject.host(), " has the member ",
                                   absl::Hex(holder->id()),
                                   "; remove it first"));
    }
    auto changed = members;
    auto* const present = find_mutable(changed, subject.id());
    if (present == nullptr)
    {
        auto* const added = changed.add_members();
        *added = subject;
        added->set_voter(false);
        return {wire::command_accepted, "", std::move(changed)};
    }
    if (present->host() != subject.host())
    {
        return refuse(wire::command_invalid,
                      absl::StrCat("member ", absl::Hex(subject.id()),
                                   " belongs to host ", present->host()));
    }
    if (present->peer_address() == subject.peer_address() &&
        present->data_centre() == subject.data_centre())
    {
        return no_change();
    }
    present->set_peer_address(subject.peer_address());
    present->set_data_centre(subject.data_centre());
    return {wire::command_accepted, "", std::move(changed)};
}

planned_change plan_promote(const wire::membership& members, std::uint64_t id)
{
    auto changed = members;
    auto* const present = find_mutable(changed, id);
    if (present == nullptr)
    {
        return refuse(wire::command_invalid,
                      absl::StrCat(absl::Hex(id), " is not a member"));
    }
    if (present->voter())
    {
        return no_change();
    }
    if (voter_ids(members).size() >= max_voters)
    {
        return refuse(wire::command_invalid,
                      absl::StrCat("the group has ", max_voters,
                                   " voters, the most it may have"));
    }
    present->set_voter(true);
    return {wire::command_accepted, "", std::move(changed)};
}

planned_change plan_remove(const wire::membership& members, std::uint64_t id)
{
    if (find_member(members, id) == nullptr)
    {
        return no_change();
    }
    if (voter_ids(members) == std::vector<std::uint64_t>{id})
    {
        return refuse(wire::command_invalid,
                      absl::StrCat(absl::Hex(id), " is the last voter"));
    }
    wire::membership changed;
    for (const auto& member : members.members())
    {
        if (member.id() != id)
        {
            *changed.add_members() = member;
        }
    }
    return {wire::command_accepted, "", std::move(changed)};
}

} // namespace

const wire::member* find_member(const wire::membership& members,
                                std::uint64_t id)
{
    for (const auto& member : members.members())
    {
        if (member.id() == id)
        {
            return &member;
        }
    }
    return nullptr;
}

const wire::member* find_member_on(const wire::membership& members,
                                   const std::string& host)
{
    for (const auto& member : members.members())
    {
        if (member.host() == host)
        {
            return &member;
        }
    }
    return nullptr;
}

bool is_voter(const wire::membership& members, std::uint64_t id)
{
    const auto* const member = find_member(members, id);
    return member != nullptr && member->voter();
}

std::vector<std::uint64_t> voter_ids(const wire::membership& members)
{
    std::vector<std::uint64_t> ids;
    for (const auto& member : members.members())
    {
        if (member.voter())
        {
            ids.push_back(member.id());
        }
    }
    return ids;
}

std::uint64_t majority_value(std::vector<std::uint64_t> values)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

planned_change plan_change(const wire::membership& members,
                           const wire::member_change& change)
{
    switch (change.change())
    {
    case wire::member_change::add_learner:
        return plan_add(members, change.subject());
    case wire::member_change::promote:
        return plan_promote(members, change.subject().id());
    case wire::member_change::remove:
        return plan_remove(members, change.subject().id());
    default:
        return refuse(wire::command_invalid, "unknown kind of change");
    }
}

} // namespace limpetstack
