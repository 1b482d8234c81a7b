#include "coordination/fleet/member_policy.hpp"

#include <gtest/gtest.h>

#include <string>

namespace limpetstack::fleet
{
namespace
{

// Plans changes of a group whose replica 1 leads and has observed the group for
// 10 s.
class member_policy : public ::testing::Test
{
protected:
    void add_member(std::uint64_t id, bool voter)
    {
        auto& member = *members.add_members();
        member.set_id(id);
        member.set_peer_address("10.0.0." + std::to_string(id) + ":1");
        member.set_data_centre("dc" + std::to_string(id));
        member.set_voter(voter);
    }
    void add_voters()
    {
        for (std::uint64_t id = 1; id <= 3; ++id)
        {
            add_member(id, true);
        }
    }
    void observe(std::uint64_t id, const std::string& address = "")
    {
        observed_hosts[id] = {
            id, "host",
            address.empty() ? "10.0.0." + std::to_string(id) + ":1" : address,
            "dc" + std::to_string(id), now};
    }
    std::optional<wire::member_change> plan()
    {
        return plan_member_change(members, 1, observed_hosts, {}, start, now);
    }
    void expect_change(wire::member_change::kind kind, std::uint64_t id)
    {
        const auto change = plan();
        ASSERT_TRUE(change);
        EXPECT_EQ(change->change(), kind);
        EXPECT_EQ(change->subject().id(), id);
    }

    wire::membership members;
    std::map<std::uint64_t, observed_host> observed_hosts;
    time_point start{milliseconds(100000)};
    time_point now{start + milliseconds(10000)};
};

// Guards against changes of a group whose voters are all available.
TEST_F(member_policy, available_group_is_not_changed)
{
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        add_member(id, true);
        observe(id);
    }
    add_member(4, false);
    observe(4);
    EXPECT_FALSE(plan());
}

// Guards against a new host that does not join the group.
TEST_F(member_policy, new_host_becomes_a_learner)
{
    add_voters();
    observe(2);
    observe(3);
    observe(4);
    expect_change(wire::member_change::add_learner, 4);
}

// Guards against a silent voter that is removed before another voter replaces
// it.
TEST_F(member_policy, silent_voter_is_replaced_then_removed)
{
    add_voters();
    add_member(4, false);
    observe(2);
    observe(4);
    expect_change(wire::member_change::promote, 4);
    members.mutable_members(3)->set_voter(true);
    expect_change(wire::member_change::remove, 3);
}

// Guards against waiting for the timeout of a voter whose disk was erased: its
// host is already back under another identity at the same address.
TEST_F(member_policy, erased_disk_is_replaced_at_once)
{
    add_voters();
    add_member(5, false);
    start = now;
    observe(2);
    observe(5, "10.0.0.3:1");
    expect_change(wire::member_change::promote, 5);
}

// Guards against the removal of silent voters that no learner can replace,
// which could cost the group its majority.
TEST_F(member_policy, silent_voter_without_replacement_stays)
{
    add_voters();
    observe(2);
    EXPECT_FALSE(plan());
}

} // namespace
} // namespace limpetstack::fleet
