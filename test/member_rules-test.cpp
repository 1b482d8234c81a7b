#include "coordination/member_rules.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

wire::member make_member(std::uint64_t id, bool voter)
{
    wire::member member;
    member.set_id(id);
    member.set_host("host" + std::to_string(id));
    member.set_peer_address("address" + std::to_string(id));
    member.set_voter(voter);
    return member;
}

wire::member_change make_change(wire::member_change::kind kind,
                                const wire::member& subject)
{
    wire::member_change change;
    change.set_change(kind);
    *change.mutable_subject() = subject;
    return change;
}

wire::membership voters(std::uint64_t count)
{
    wire::membership members;
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        *members.add_members() = make_member(id, true);
    }
    return members;
}

// Guards against a majority that is a half or less.
TEST(member_rules, majority_is_more_than_a_half)
{
    EXPECT_EQ(majority_value({}), 0U);
    EXPECT_EQ(majority_value({5}), 5U);
    EXPECT_EQ(majority_value({5, 3}), 3U);
    EXPECT_EQ(majority_value({1, 5, 3}), 3U);
    EXPECT_EQ(majority_value({9, 7, 3, 1}), 3U);
}

// Guards against a newcomer that votes at once, and against two identities of
// one host that count twice.
TEST(member_rules, added_member_is_a_learner_and_alone_on_its_host)
{
    const auto members = voters(2);
    const auto added =
        plan_change(members, make_change(wire::member_change::add_learner,
                                         make_member(3, true)));
    ASSERT_TRUE(added.members);
    EXPECT_FALSE(is_voter(*added.members, 3));
    auto second = make_member(4, false);
    second.set_host("host2");
    const auto refused = plan_change(
        members, make_change(wire::member_change::add_learner, second));
    EXPECT_EQ(refused.code, wire::command_conflict);
    EXPECT_FALSE(refused.members);
    EXPECT_EQ(plan_change(members, make_change(wire::member_change::add_learner,
                                               wire::member()))
                  .code,
              wire::command_invalid);
}

// Guards against an address change that takes away a vote.
TEST(member_rules, new_address_keeps_the_vote)
{
    auto moved = make_member(2, false);
    moved.set_peer_address("elsewhere");
    const auto planned = plan_change(
        voters(2), make_change(wire::member_change::add_learner, moved));
    ASSERT_TRUE(planned.members);
    EXPECT_TRUE(is_voter(*planned.members, 2));
    EXPECT_EQ(find_member(*planned.members, 2)->peer_address(), "elsewhere");
}

// Guards against repeated commands that fail or change something.
TEST(member_rules, repeated_changes_are_accepted_without_effect)
{
    for (const auto& change :
         {make_change(wire::member_change::add_learner, make_member(1, false)),
          make_change(wire::member_change::promote, make_member(1, false)),
          make_change(wire::member_change::remove, make_member(9, false))})
    {
        const auto planned = plan_change(voters(2), change);
        EXPECT_EQ(planned.code, wire::command_accepted);
        EXPECT_FALSE(planned.members);
    }
}

// Guards against a group without voters or with too many.
TEST(member_rules, number_of_voters_is_bounded)
{
    EXPECT_EQ(plan_change(voters(1), make_change(wire::member_change::remove,
                                                 make_member(1, true)))
                  .code,
              wire::command_invalid);
    auto members = voters(max_voters);
    *members.add_members() = make_member(8, false);
    EXPECT_EQ(plan_change(members, make_change(wire::member_change::promote,
                                               make_member(8, false)))
                  .code,
              wire::command_invalid);
}

} // namespace
} // namespace limpetstack
