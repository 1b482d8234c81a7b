#include "coordination/fleet/member_policy.hpp"

#include <gtest/gtest.h>

#include <string>

namespace limpetstack::fleet
{
namespace
{

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
    void see(std::uint64_t id, const std::string& address = "")
    {
        sightings[id] = {id, "host",
                         address.empty() ? "10.0.0." + std::to_string(id) + ":1"
                                         : address,
                         "dc" + std::to_string(id), now};
    }
    std::optional<wire::member_change> plan()
    {
        return plan_members(members, 1, sightings, {}, start, now);
    }
    void expect_change(wire::member_change::kind kind, std::uint64_t id)
    {
        const auto change = plan();
        ASSERT_TRUE(change);
        EXPECT_EQ(change->change(), kind);
        EXPECT_EQ(change->subject().id(), id);
    }

    wire::membership members;
    std::map<std::uint64_t, host_sighting> sightings;
    time_point start{milliseconds(100000)};
    time_point now{start + milliseconds(10000)};
};

TEST_F(member_policy, calm_group_stays_as_it_is)
{
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        add_member(id, true);
        see(id);
    }
    add_member(4, false);
    see(4);
    EXPECT_FALSE(plan());
}

TEST_F(member_policy, new_host_becomes_a_learner)
{
    add_voters();
    see(2);
    see(3);
    see(4);
    expect_change(wire::member_change::add_learner, 4);
}

// Guards against a dead voter that is removed before another replaces it.
TEST_F(member_policy, silent_voter_is_replaced_then_removed)
{
    add_voters();
    add_member(4, false);
    see(2);
    see(4);
    expect_change(wire::member_change::promote, 4);
    members.mutable_members(3)->set_voter(true);
    expect_change(wire::member_change::remove, 3);
}

// Guards against waiting for the identity of a disk that was erased: the host
// is back under another identity.
TEST_F(member_policy, erased_disk_is_replaced_at_once)
{
    add_voters();
    add_member(5, false);
    start = now;
    see(2);
    see(5, "10.0.0.3:1");
    expect_change(wire::member_change::promote, 5);
}

// Guards against a majority that is lost by removing voters without successors.
TEST_F(member_policy, silent_voter_without_successor_stays)
{
    add_voters();
    see(2);
    EXPECT_FALSE(plan());
}

} // namespace
} // namespace limpetstack::fleet
