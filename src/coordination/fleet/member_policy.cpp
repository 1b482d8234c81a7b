#include "coordination/fleet/member_policy.hpp"

#include "coordination/member_rules.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

using sighting_map = std::map<std::uint64_t, host_sighting>;

wire::member_change change_of(wire::member_change::kind kind, std::uint64_t id)
{
    wire::member_change change;
    change.set_change(kind);
    change.mutable_subject()->set_id(id);
    return change;
}

std::optional<wire::member_change>
add_unknown(const wire::membership& members, const sighting_map& sightings,
            const member_policy_options& options, time_point now)
{
    for (const auto& [id, seen] : sightings)
    {
        if (find_member(members, id) != nullptr ||
            now - seen.seen >= options.dead_after)
        {
            continue;
        }
        auto change = change_of(wire::member_change::add_learner, id);
        auto& subject = *change.mutable_subject();
        // A host whose disk was erased joins beside its old identity.
        subject.set_host(absl::StrCat(seen.name, "#", absl::Hex(id)));
        subject.set_peer_address(seen.address);
        subject.set_data_centre(seen.data_centre);
        return change;
    }
    return std::nullopt;
}

} // namespace

std::optional<wire::member_change>
plan_members(const wire::membership& members, std::uint64_t leader,
             const sighting_map& sightings,
             const member_policy_options& options, time_point since,
             time_point now)
{
    if (auto change = add_unknown(members, sightings, options, now))
    {
        return change;
    }
    const auto silence = [&](const wire::member& member)
    {
        const auto found = sightings.find(member.id());
        return now - (found == sightings.end()
                          ? since
                          : std::max(found->second.seen, since));
    };
    const auto is_erased = [&](const wire::member& member)
    {
        return std::any_of(sightings.begin(), sightings.end(),
                           [&](const auto& item)
                           {
                               const auto own = sightings.find(member.id());
                               return item.first != member.id() &&
                                      item.second.address ==
                                          member.peer_address() &&
                                      (own == sightings.end() ||
                                       own->second.seen < item.second.seen);
                           });
    };
    std::vector<const wire::member*> voters;
    std::vector<const wire::member*> gone;
    std::vector<const wire::member*> candidates;
    std::map<std::string, int> voters_in;
    for (const auto& member : members.members())
    {
        const bool lost =
            member.id() != leader &&
            (is_erased(member) || silence(member) >= options.dead_after);
        if (member.voter())
        {
            voters.push_back(&member);
            if (lost)
            {
                gone.push_back(&member);
            }
            else
            {
                ++voters_in[member.data_centre()];
            }
        }
        else if (!lost)
        {
            candidates.push_back(&member);
        }
        else if (is_erased(member) || silence(member) >= options.forget_after)
        {
            return change_of(wire::member_change::remove, member.id());
        }
    }
    const auto live = voters.size() - gone.size();
    if (live < options.voters && !candidates.empty() &&
        voters.size() < static_cast<std::size_t>(max_voters))
    {
        const auto* const best =
            *std::min_element(candidates.begin(), candidates.end(),
                              [&](const wire::member* a, const wire::member* b)
                              {
                                  return voters_in[a->data_centre()] <
                                         voters_in[b->data_centre()];
                              });
        return change_of(wire::member_change::promote, best->id());
    }
    if (voters.size() <= options.voters)
    {
        return std::nullopt;
    }
    if (!gone.empty())
    {
        return change_of(wire::member_change::remove, gone.front()->id());
    }
    for (const auto* voter : voters)
    {
        if (voter->id() != leader)
        {
            return change_of(wire::member_change::remove, voter->id());
        }
    }
    return std::nullopt;
}

} // namespace limpetstack::fleet
