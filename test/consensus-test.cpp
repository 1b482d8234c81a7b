#include "coordination/consensus.hpp"

#include "coordination/member_rules.hpp"
#include "support/consensus_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace limpetstack
{
namespace
{

constexpr milliseconds long_time{20000};

void break_something(consensus_cluster& cluster, bool erase)
{
    const auto index = static_cast<int>(
        cluster.random(static_cast<std::uint64_t>(cluster.size())));
    switch (cluster.random(8))
    {
    case 0:
        cluster.at(index).isolated = true;
        break;
    case 1:
        cluster.crash(index);
        break;
    case 2:
        cluster.at(index).disk.fail_after(static_cast<int>(cluster.random(4)));
        break;
    case 3:
        cluster.set_network(0.2, 0.2, milliseconds(300));
        break;
    case 4:
        cluster.start(index);
        break;
    case 5:
        cluster.at(index).isolated = false;
        break;
    case 6:
        cluster.heal();
        break;
    default:
        // A second disk may be lost only after the first was replaced.
        if (erase && cluster.whole())
        {
            cluster.erase(index);
        }
        break;
    }
}

// Guards against two leaders in a term, double votes, changed committed
// entries, reads that miss committed entries, and a group that does not recover
// after any mix of loss, delay, repetition, partitions, crashes before a sync
// and erased disks.
RC_GTEST_PROP(invariant, config_monotonic_committed_entries_never_change,
              (std::uint64_t seed))
{
    consensus_cluster cluster(3 + static_cast<int>(seed % 3), seed);
    RC_ASSERT(cluster.run_until_whole(long_time));
    for (int i = 0; i < 60; ++i)
    {
        break_something(cluster, true);
        for (int k = 0; k < 4; ++k)
        {
            (void)cluster.propose("command " + std::to_string(i));
            (void)cluster.begin_read(static_cast<int>(
                cluster.random(static_cast<std::uint64_t>(cluster.size()))));
            cluster.run(milliseconds(10 * (1 + cluster.random(60))));
        }
        RC_ASSERT(cluster.violation() == "");
    }
    cluster.heal();
    RC_ASSERT(cluster.run_until_whole(2 * long_time));
    RC_ASSERT(cluster.violation() == "");
}

// Guards against a returning member that deposes the leader by a higher term.
TEST(invariant, config_monotonic_isolated_member_does_not_raise_the_term)
{
    consensus_cluster cluster(3, 1);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    const auto leader = cluster.leader();
    const auto term = cluster.at(leader).core->term();
    const auto other = (leader + 1) % 3;
    cluster.at(other).isolated = true;
    cluster.run(milliseconds(60000));
    EXPECT_EQ(cluster.at(other).core->term(), term);
    cluster.heal();
    cluster.run(milliseconds(5000));
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.at(leader).core->term(), term);
}

// Guards against an isolated leader that still answers as one.
TEST(invariant, config_monotonic_isolated_leader_steps_down)
{
    consensus_cluster cluster(3, 2);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    const auto old = cluster.leader();
    cluster.at(old).isolated = true;
    const auto stale = cluster.begin_read(old);
    ASSERT_TRUE(stale);
    cluster.run(milliseconds(1200)); // One timeout and one heartbeat.
    EXPECT_FALSE(cluster.at(old).core->is_leader());
    EXPECT_FALSE(cluster.begin_read(old));
    cluster.run(milliseconds(4000));
    ASSERT_TRUE(cluster.propose("newer"));
    cluster.heal();
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    EXPECT_EQ(cluster.confirmed().count({old, *stale}), 0U);
    EXPECT_EQ(cluster.violation(), "");
}

// Guards against an erased member that votes again in a term in which its old
// identity has voted.
TEST(invariant, config_monotonic_erased_member_has_no_vote)
{
    consensus_cluster cluster(3, 3);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    const auto leader = cluster.leader();
    const auto erased = (leader + 1) % 3;
    const auto old_id = cluster.at(erased).id;
    cluster.admits = false;
    cluster.erase(erased);
    cluster.crash(leader);
    cluster.run(milliseconds(30000));
    // The erased member and one voter of three are no majority.
    EXPECT_EQ(cluster.leader(), -1);

    wire::consensus_message request;
    request.set_from(cluster.at((leader + 2) % 3).id);
    request.set_to(old_id);
    request.set_term(1000);
    request.mutable_vote()->set_last_index(1000);
    request.mutable_vote()->set_last_term(1000);
    cluster.at(erased).core->receive(request);
    EXPECT_TRUE(empty(cluster.at(erased).core->take_output()));
}

// Guards against a replaced member that votes before it holds a full copy: the
// loss of a second disk then loses committed entries.
TEST(invariant, config_monotonic_second_loss_after_repair_loses_nothing)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        consensus_cluster cluster(3, seed);
        ASSERT_TRUE(cluster.run_until_whole(long_time));
        for (int i = 0; i < 50; ++i)
        {
            ASSERT_TRUE(cluster.propose("before"));
            cluster.run(milliseconds(10));
        }
        const auto first = static_cast<int>(seed % 3);
        const auto committed = cluster.committed();
        cluster.erase(first);
        // Stops at the very step in which the repair is committed.
        ASSERT_TRUE(cluster.run_until_whole(long_time));
        cluster.erase((first + 1) % 3);
        ASSERT_TRUE(cluster.run_until_whole(long_time));
        EXPECT_EQ(cluster.violation(), "");
        EXPECT_GT(cluster.committed(), committed);
    }
}

// Guards against state that is lost or changed when every member restarts
// after hundreds of entries and many snapshots.
TEST(invariant, config_monotonic_restart_after_600_entries)
{
    consensus_cluster cluster(3, 4);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    for (int i = 0; i < 600; ++i)
    {
        ASSERT_TRUE(cluster.propose("entry " + std::to_string(i)));
        cluster.run(milliseconds(10));
    }
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    const auto committed = cluster.committed();
    for (int i = 0; i < 3; ++i)
    {
        cluster.crash(i);
    }
    cluster.heal();
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    EXPECT_GT(cluster.committed(), committed);
    EXPECT_EQ(cluster.violation(), "");
}

// Guards against a member far behind that never catches up once the entries it
// needs were compacted.
TEST(consensus, lagging_member_catches_up_by_snapshot)
{
    consensus_cluster cluster(3, 5);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    const auto lagging = (cluster.leader() + 1) % 3;
    cluster.at(lagging).isolated = true;
    for (int i = 0; i < 100; ++i)
    {
        ASSERT_TRUE(cluster.propose("entry"));
        cluster.run(milliseconds(10));
    }
    const auto end = cluster.at(lagging).core->log().last_index();
    EXPECT_GT(cluster.at(cluster.leader()).core->log().base_index(), end);
    cluster.heal();
    EXPECT_TRUE(cluster.run_until_whole(long_time));
    EXPECT_EQ(cluster.violation(), "");
}

wire::member_change change_of(wire::member_change::kind kind, std::uint64_t id)
{
    wire::member_change change;
    change.set_change(kind);
    change.mutable_subject()->set_id(id);
    change.mutable_subject()->set_host("host" + std::to_string(id));
    change.mutable_subject()->set_peer_address("address" + std::to_string(id));
    return change;
}

// Guards against two changes in flight, whose majorities need not overlap, and
// against a promotion without a full copy.
TEST(consensus, membership_changes_one_at_a_time)
{
    consensus_cluster cluster(3, 6);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    cluster.admits = false;
    auto& core = *cluster.at(cluster.leader()).core;
    const auto add = change_of(wire::member_change::add_learner, 9999);
    EXPECT_GT(core.propose_change(add).index, 0U);
    EXPECT_EQ(core.propose_change(add).code, wire::command_conflict);
    EXPECT_EQ(
        core.propose_change(change_of(wire::member_change::remove, 9999)).code,
        wire::command_conflict);
    cluster.run(milliseconds(500));
    // The learner never answers; the voters alone would be a majority.
    EXPECT_EQ(
        core.propose_change(change_of(wire::member_change::promote, 9999)).code,
        wire::command_conflict);
    EXPECT_GT(
        core.propose_change(change_of(wire::member_change::remove, 9999)).index,
        0U);
}

// Guards against a change that could never commit and would stop the group.
TEST(consensus, change_without_a_reachable_majority_is_refused)
{
    consensus_cluster cluster(3, 7);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    cluster.admits = false;
    const auto leader = cluster.leader();
    cluster.crash((leader + 1) % 3);
    cluster.run(milliseconds(2000));
    auto& core = *cluster.at(leader).core;
    ASSERT_TRUE(core.is_leader());
    const auto live = cluster.at((leader + 2) % 3).id;
    const auto dead = cluster.at((leader + 1) % 3).id;
    EXPECT_EQ(
        core.propose_change(change_of(wire::member_change::remove, live)).code,
        wire::command_conflict);
    EXPECT_GT(
        core.propose_change(change_of(wire::member_change::remove, dead)).index,
        0U);
}

// Guards against a candidate that deposes a leader which others still hear.
TEST(consensus, vote_request_is_ignored_while_a_leader_is_heard)
{
    consensus_cluster cluster(3, 10);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    const auto follower = (cluster.leader() + 1) % 3;
    auto& core = *cluster.at(follower).core;
    const auto term = core.term();
    wire::consensus_message request;
    request.set_from(cluster.at((follower + 1) % 3).id);
    request.set_to(cluster.at(follower).id);
    request.set_term(term + 5);
    request.mutable_vote()->set_last_index(1000);
    request.mutable_vote()->set_last_term(1000);
    core.receive(request);
    EXPECT_TRUE(empty(core.take_output()));
    EXPECT_EQ(core.term(), term);
}

// Guards against a member with a newer term that can never follow again: it
// refuses the leader, and the others ignore its requests.
TEST(consensus, member_with_a_newer_term_joins_again)
{
    consensus_cluster cluster(3, 11);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    const auto follower = (cluster.leader() + 1) % 3;
    cluster.at(follower).isolated = true;
    cluster.run(milliseconds(5000));
    // A pre-vote that was granted just before the contact was lost.
    auto& core = *cluster.at(follower).core;
    const auto term = core.term();
    wire::consensus_message answer;
    answer.set_from(cluster.at((follower + 1) % 3).id);
    answer.set_to(cluster.at(follower).id);
    answer.set_term(term + 1);
    answer.mutable_vote_answer()->set_granted(true);
    answer.mutable_vote_answer()->set_pre_vote(true);
    core.receive(answer);
    ASSERT_EQ(core.term(), term + 1);
    cluster.heal();
    cluster.run(milliseconds(5000));
    ASSERT_TRUE(cluster.propose("after"));
    EXPECT_TRUE(cluster.run_until_whole(long_time));
    EXPECT_EQ(cluster.violation(), "");
}

// Guards against counting copies of an entry of an earlier term: another leader
// could still replace it.
TEST(consensus, entry_of_an_earlier_term_commits_through_a_newer_one)
{
    stored_log stored;
    stored.hard = {2, 0};
    wire::membership members;
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        members.add_members()->set_id(id);
        members.mutable_members()->rbegin()->set_voter(true);
    }
    for (std::uint64_t index = 1; index <= 2; ++index)
    {
        wire::log_entry entry;
        entry.set_index(index);
        entry.set_term(index);
        entry.set_kind(index == 1 ? wire::entry_membership
                                  : wire::entry_command);
        entry.set_payload(index == 1 ? members.SerializeAsString() : "");
        stored.entries.push_back(entry);
    }
    consensus_options options;
    options.id = 1;
    consensus core(options, stored, time_point{});
    core.tick(time_point{} + 2 * options.election_timeout);

    wire::consensus_message answer;
    answer.set_from(2);
    answer.set_to(1);
    answer.set_term(3);
    for (const auto pre_vote : {true, false})
    {
        answer.mutable_vote_answer()->set_granted(true);
        answer.mutable_vote_answer()->set_pre_vote(pre_vote);
        core.receive(answer);
    }
    ASSERT_TRUE(core.is_leader());
    (void)core.take_output();
    core.persisted();
    for (std::uint64_t index = 2; index <= 3; ++index)
    {
        answer.mutable_append_answer()->set_accepted(true);
        answer.mutable_append_answer()->set_last_index(index);
        core.receive(answer);
        EXPECT_EQ(core.commit(), index == 3 ? 3U : 0U);
    }
}

// Guards against a learner that is promoted without a full copy or while it
// does not answer.
TEST(consensus, learner_is_promoted_only_with_a_full_copy)
{
    consensus_cluster cluster(2, 8);
    cluster.at(1).isolated = true;
    cluster.run(milliseconds(5000));
    auto& core = *cluster.at(0).core;
    ASSERT_TRUE(core.is_leader());
    const auto id = cluster.at(1).id;
    auto add = change_of(wire::member_change::add_learner, id);
    add.mutable_subject()->set_host("host1");
    add.mutable_subject()->set_peer_address("address1");
    ASSERT_GT(core.propose_change(add).index, 0U);
    cluster.run(milliseconds(2000));
    const auto promote = change_of(wire::member_change::promote, id);
    EXPECT_EQ(core.propose_change(promote).code, wire::command_conflict);
    cluster.heal();
    EXPECT_TRUE(cluster.run_until_whole(long_time));
}

// Guards against a leader that stays after its own removal.
TEST(consensus, removed_leader_steps_down_and_another_follows)
{
    consensus_cluster cluster(3, 9);
    ASSERT_TRUE(cluster.run_until_whole(long_time));
    cluster.admits = false;
    const auto old = cluster.leader();
    const auto remove =
        change_of(wire::member_change::remove, cluster.at(old).id);
    ASSERT_GT(cluster.at(old).core->propose_change(remove).index, 0U);
    cluster.run(milliseconds(6000));
    EXPECT_FALSE(cluster.at(old).core->is_leader());
    ASSERT_GE(cluster.leader(), 0);
    EXPECT_NE(cluster.leader(), old);
    EXPECT_TRUE(cluster.propose("after"));
    EXPECT_EQ(cluster.violation(), "");
}

} // namespace
} // namespace limpetstack
