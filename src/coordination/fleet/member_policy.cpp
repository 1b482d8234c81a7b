#include "coordination/fleet/member_policy.hpp"

#include "coordination/member_rules.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

using observed_host_map = std::map<std::uint64_t, observed_host>;

wire::member_change make_change(wire::member_change::kind kind,
                                std::uint64_t id)
{
    wire::member_change change;
    change.set_change(kind);
    change.mutable_subject()->set_id(id);
    return change;
}

std::optional<wire::member_change>
add_new_host(const wire::membership& members,
             const observed_host_map& observed_hosts,
             const member_policy_options& options, time_point now)
{
    for (const auto& [id, host] : observed_hosts)
    {
        if (find_member(members, id) != nullptr ||
            now - host.last_ping >= options.voter_timeout)
        {
            continue;
        }
        auto change = make_change(wire::member_change::add_learner, id);
        auto& subject = *change.mutable_subject();
        // A host whose disk was erased joins under a new identity while its old
        // one is still a member, so the identity is part of the host's name.
        subject.set_host(absl::StrCat(host.name, "#", absl::Hex(id)));
        subject.set_peer_address(host.address);
        subject.set_data_centre(host.data_centre);
        return change;
    }
    return std::nullopt;
}

} // namespace

std::optional<wire::member_change>
plan_member_change(const wire::membership& members, std::uint64_t leader,
                   const observed_host_map& observed_hosts,
                   const member_policy_options& options,
                   time_point observing_since, time_point now)
{
    if (auto change = add_new_host(members, observed_hosts, options, now))
    {
        return change;
    }
    const auto silence_of = [&](const wire::member& member)
    {
        const auto found = observed_hosts.find(member.id());
        return now - (found == observed_hosts.end()
                          ? observing_since
                          : std::max(found->second.last_ping, observing_since));
    };
    // A member is replaced when its host came back with an erased disk: another
    // identity was seen later at the same address.
    const auto is_replaced = [&](const wire::member& member)
    {
        return std::any_of(
            observed_hosts.begin(), observed_hosts.end(),
            [&](const auto& item)
            {
                const auto own = observed_hosts.find(member.id());
                return item.first != member.id() &&
                       item.second.address == member.peer_address() &&
                       (own == observed_hosts.end() ||
                        own->second.last_ping < item.second.last_ping);
            });
    };
    std::vector<const wire::member*> voters;
    std::vector<const wire::member*> unavailable_voters;
    std::vector<const wire::member*> candidates;
    std::map<std::string, int> available_voters_in;
    for (const auto& member : members.members())
    {
        const bool unavailable = member.id() != leader &&
                                 (is_replaced(member) ||
                                  silence_of(member) >= options.voter_timeout);
        if (member.voter())
        {
            voters.push_back(&member);
            if (unavailable)
            {
                unavailable_voters.push_back(&member);
            }
            else
            {
                ++available_voters_in[member.data_centre()];
            }
        }
        else if (!unavailable)
        {
            candidates.push_back(&member);
        }
        else if (is_replaced(member) ||
                 silence_of(member) >= options.learner_timeout)
        {
            return make_change(wire::member_change::remove, member.id());
        }
    }
    // A learner in the data centre with the fewest available voters is promoted
    // first.
    const auto available_voters = voters.size() - unavailable_voters.size();
    if (available_voters < options.voters && !candidates.empty() &&
        voters.size() < static_cast<std::size_t>(max_voters))
    {
        const auto* const chosen =
            *std::min_element(candidates.begin(), candidates.end(),
                              [&](const wire::member* a, const wire::member* b)
                              {
                                  return available_voters_in[a->data_centre()] <
                                         available_voters_in[b->data_centre()];
                              });
        return make_change(wire::member_change::promote, chosen->id());
    }
    if (voters.size() <= options.voters)
    {
        return std::nullopt;
    }
    if (!unavailable_voters.empty())
    {
        return make_change(wire::member_change::remove,
                           unavailable_voters.front()->id());
    }
    for (const auto* voter : voters)
    {
        if (voter->id() != leader)
        {
            return make_change(wire::member_change::remove, voter->id());
        }
    }
    return std::nullopt;
}

} // namespace limpetstack::fleet
