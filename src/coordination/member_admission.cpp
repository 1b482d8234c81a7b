#include "coordination/member_admission.hpp"

#include "coordination/member_rules.hpp"

namespace limpetstack
{
namespace
{

wire::member_change make_change(wire::member_change::kind kind,
                                const wire::member& subject)
{
    wire::member_change change;
    change.set_change(kind);
    *change.mutable_subject() = subject;
    return change;
}

} // namespace

std::optional<wire::member_change>
next_member_change(const wire::members_response& group,
                   const replica_state& replica)
{
    const auto& self = replica.self;
    const auto& members = group.members();
    if (group.leader() == 0 || members.members_size() == 0)
    {
        return std::nullopt;
    }
    for (const auto& member : members.members())
    {
        if (member.host() == self.host() && member.id() != self.id())
        {
            return make_change(wire::member_change::remove, member);
        }
    }
    const auto* const present = find_member(members, self.id());
    if (present == nullptr || present->peer_address() != self.peer_address() ||
        present->data_centre() != self.data_centre())
    {
        return make_change(wire::member_change::add_learner, self);
    }
    // The leader decides; a replica far behind need not ask.
    if (replica.votes && !present->voter() && replica.commit >= group.commit())
    {
        return make_change(wire::member_change::promote, self);
    }
    return std::nullopt;
}

} // namespace limpetstack
