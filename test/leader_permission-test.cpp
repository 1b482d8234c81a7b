// Checks when a host may send orders as the leader.
#include "coordination/fleet/leader_permission.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds election_timeout{600};
constexpr leader_limits limits{milliseconds(400),
                               max_confirmation_age(election_timeout)};
const time_point now{milliseconds(50000)};

leader_evidence current_evidence()
{
    leader_evidence evidence;
    evidence.leads = true;
    evidence.checked_at = now;
    evidence.confirmed_at = now;
    return evidence;
}

// Guards against a leader that sends no orders.
TEST(leader_permission, confirmed_leader_may_act)
{
    EXPECT_TRUE(may_act(current_evidence(), limits, now));
}

// Guards against orders that follow from entries which the next leader has
// committed: they are applied before the host ends its own leadership.
TEST(leader_permission, replica_that_follows_may_not_act)
{
    auto evidence = current_evidence();
    evidence.leads = false;
    EXPECT_FALSE(may_act(evidence, limits, now));
}

// Guards against a leader that counts answers from when they arrive: they may
// have been delayed while others elected the next leader.
TEST(leader_permission, answered_heartbeat_counts_from_its_sending)
{
    auto evidence = current_evidence();
    evidence.confirmed_at = now - limits.max_confirmation_age;
    EXPECT_FALSE(may_act(evidence, limits, now));
    evidence.confirmed_at = *evidence.confirmed_at + milliseconds(1);
    EXPECT_TRUE(may_act(evidence, limits, now));
    evidence.confirmed_at.reset();
    EXPECT_FALSE(may_act(evidence, limits, now));
}

// Guards against orders of callbacks that were due during a suspension and run
// before the host has checked whether it still leads.
TEST(leader_permission, suspended_leader_may_not_act)
{
    auto evidence = current_evidence();
    evidence.checked_at = now - limits.max_check_age;
    EXPECT_TRUE(may_act(evidence, limits, now));
    evidence.checked_at -= milliseconds(1);
    EXPECT_FALSE(may_act(evidence, limits, now));
}

// Guards against a leader that takes messages from before its suspension for a
// majority that is alive.
TEST(leader_permission, leader_may_not_act_before_confirmation_after_a_gap)
{
    auto evidence = current_evidence();
    evidence.confirmed_after_gap = false;
    EXPECT_FALSE(may_act(evidence, limits, now));
}

// Guards against a new leader that waits for less than the time for which an
// earlier one may act beside it.
TEST(leader_permission, overlap_covers_the_last_order_of_an_earlier_leader)
{
    const auto earliest_election = now + election_timeout;
    const auto last_order = now + limits.max_confirmation_age;
    EXPECT_LE(last_order - earliest_election,
              max_leadership_overlap(election_timeout));
}

} // namespace
} // namespace limpetstack::fleet
