#include "coordination/member_admission.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

wire::member make_member(std::uint64_t id, const std::string& host, bool voter)
{
    wire::member member;
    member.set_id(id);
    member.set_host(host);
    member.set_peer_address("address-" + host);
    member.set_voter(voter);
    return member;
}

wire::members_response make_group(const std::vector<wire::member>& members)
{
    wire::members_response group;
    group.set_leader(1);
    group.set_commit(10);
    for (const auto& member : members)
    {
        *group.mutable_members()->add_members() = member;
    }
    return group;
}

// Guards against a replaced host that is added or promoted beside its old
// identity, and against a promotion before the copy is complete.
TEST(member_admission, erased_host_is_removed_added_and_promoted_in_order)
{
    const auto leader = make_member(1, "a", true);
    const auto self = make_member(3, "b", false);
    replica_state replica{self, true, 0};

    auto step = next_member_change(
        make_group({leader, make_member(2, "b", true)}), replica);
    ASSERT_TRUE(step);
    EXPECT_EQ(step->change(), wire::member_change::remove);
    EXPECT_EQ(step->subject().id(), 2U);

    step = next_member_change(make_group({leader}), replica);
    ASSERT_TRUE(step);
    EXPECT_EQ(step->change(), wire::member_change::add_learner);

    EXPECT_FALSE(next_member_change(make_group({leader, self}), replica));
    replica.commit = 10;
    step = next_member_change(make_group({leader, self}), replica);
    ASSERT_TRUE(step);
    EXPECT_EQ(step->change(), wire::member_change::promote);
    EXPECT_EQ(step->subject().id(), 3U);

    replica.votes = false;
    EXPECT_FALSE(next_member_change(make_group({leader, self}), replica));
}

// Guards against steps of hosts that are settled or know no group, and against
// a member that can not be reached under its new address.
TEST(member_admission, only_a_changed_member_takes_a_step)
{
    auto self = make_member(1, "a", true);
    const auto group = make_group({self});
    EXPECT_FALSE(next_member_change(group, {self, true, 10}));
    EXPECT_FALSE(next_member_change(wire::members_response(), {self, true, 0}));
    self.set_peer_address("elsewhere");
    const auto step = next_member_change(group, {self, true, 10});
    ASSERT_TRUE(step);
    EXPECT_EQ(step->change(), wire::member_change::add_learner);
}

} // namespace
} // namespace limpetstack
