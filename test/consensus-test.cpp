#include "coordination/consensus.hpp"

#include "coordination/member_rules.hpp"
#include "support/consensus_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace limpetstack
{
namespace
{

constexpr milliseconds convergence_timeout{20000};

void inject_random_fault(consensus_cluster& cluster, bool allow_erase)
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
        cluster.set_network_faults(0.2, 0.2, milliseconds(300));
        break;
    case 4:
        cluster.start(index);
        break;
    case 5:
        cluster.at(index).isolated = false;
        break;
    case 6:
        cluster.clear_faults();
        break;
    default:
        // A second disk may be erased only after the replica with the first
        // erased disk has recovered.
        if (allow_erase && cluster.has_converged())
        {
            cluster.erase_disk(index);
        }
        break;
    }
}

// Guards against two leaders in a term, double votes, changed committed
// entries, reads that miss committed entries, and a group that does not
// recover. The faults are random mixes of lost, delayed and repeated messages,
// partitions, crashes before a sync and erased disks.
RC_GTEST_PROP(invariant, config_monotonic_committed_entries_never_change,
              (std::uint64_t seed))
{
    consensus_cluster cluster(3 + static_cast<int>(seed % 3), seed);
    RC_ASSERT(cluster.run_until_converged(convergence_timeout));
    for (int i = 0; i < 60; ++i)
    {
        inject_random_fault(cluster, true);
        for (int k = 0; k < 4; ++k)
        {
            (void)cluster.propose("command " + std::to_string(i));
            (void)cluster.begin_read(static_cast<int>(
                cluster.random(static_cast<std::uint64_t>(cluster.size()))));
            cluster.run(milliseconds(10 * (1 + cluster.random(60))));
        }
        RC_ASSERT(cluster.violation() == "");
    }
    cluster.clear_faults();
    RC_ASSERT(cluster.run_until_converged(2 * convergence_timeout));
    RC_ASSERT(cluster.violation() == "");
}

// Guards against a member that returns from isolation with a higher term and
// deposes the leader.
TEST(invariant, config_monotonic_isolated_member_does_not_raise_the_term)
{
    consensus_cluster cluster(3, 1);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto leader = cluster.leader();
    const auto term = cluster.at(leader).protocol->term();
    const auto other = (leader + 1) % 3;
    cluster.at(other).isolated = true;
    cluster.run(milliseconds(60000));
    EXPECT_EQ(cluster.at(other).protocol->term(), term);
    cluster.clear_faults();
    cluster.run(milliseconds(5000));
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.at(leader).protocol->term(), term);
}

// Guards against an isolated leader that continues to answer as the leader.
TEST(invariant, config_monotonic_isolated_leader_steps_down)
{
    consensus_cluster cluster(3, 2);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto old = cluster.leader();
    cluster.at(old).isolated = true;
    const auto stale = cluster.begin_read(old);
    ASSERT_TRUE(stale);
    cluster.run(milliseconds(1200)); // More than a timeout and a heartbeat.
    EXPECT_FALSE(cluster.at(old).protocol->is_leader());
    EXPECT_FALSE(cluster.begin_read(old));
    cluster.run(milliseconds(4000));
    ASSERT_TRUE(cluster.propose("newer"));
    cluster.clear_faults();
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    EXPECT_EQ(cluster.confirmed_reads().count({old, *stale}), 0U);
    EXPECT_EQ(cluster.violation(), "");
}

// Guards against an erased member that votes again in a term in which its old
// identity has voted.
TEST(invariant, config_monotonic_erased_member_does_not_vote)
{
    consensus_cluster cluster(3, 3);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto leader = cluster.leader();
    const auto erased = (leader + 1) % 3;
    const auto old_id = cluster.at(erased).id;
    cluster.admission_enabled = false;
    cluster.erase_disk(erased);
    cluster.crash(leader);
    cluster.run(milliseconds(30000));
    // One of the three voters is up, which is no majority; the erased member
    // does not count.
    EXPECT_EQ(cluster.leader(), -1);

    wire::consensus_message request;
    request.set_from(cluster.at((leader + 2) % 3).id);
    request.set_to(old_id);
    request.set_term(1000);
    request.mutable_vote()->set_last_index(1000);
    request.mutable_vote()->set_last_term(1000);
    cluster.at(erased).protocol->receive(request);
    EXPECT_TRUE(empty(cluster.at(erased).protocol->take_output()));
}

// Guards against a replaced member that votes before it holds a full copy of
// the log. The loss of a second disk would then lose committed entries.
TEST(invariant, config_monotonic_second_loss_after_repair_loses_nothing)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        consensus_cluster cluster(3, seed);
        ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
        for (int i = 0; i < 50; ++i)
        {
            ASSERT_TRUE(cluster.propose("before"));
            cluster.run(milliseconds(10));
        }
        const auto first = static_cast<int>(seed % 3);
        const auto committed = cluster.committed();
        cluster.erase_disk(first);
        // The run stops at the first step in which the replacement is complete.
        ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
        cluster.erase_disk((first + 1) % 3);
        ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
        EXPECT_EQ(cluster.violation(), "");
        EXPECT_GT(cluster.committed(), committed);
    }
}

// Guards against state that is lost or changed when all members restart after
// hundreds of entries and many snapshots.
TEST(invariant, config_monotonic_restart_after_600_entries)
{
    consensus_cluster cluster(3, 4);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    for (int i = 0; i < 600; ++i)
    {
        ASSERT_TRUE(cluster.propose("entry " + std::to_string(i)));
        cluster.run(milliseconds(10));
    }
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto committed = cluster.committed();
    for (int i = 0; i < 3; ++i)
    {
        cluster.crash(i);
    }
    cluster.clear_faults();
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    EXPECT_GT(cluster.committed(), committed);
    EXPECT_EQ(cluster.violation(), "");
}

// Guards against a lagging member that never catches up because the entries
// that it needs were compacted.
TEST(consensus, lagging_member_catches_up_by_snapshot)
{
    consensus_cluster cluster(3, 5);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto lagging = (cluster.leader() + 1) % 3;
    cluster.at(lagging).isolated = true;
    for (int i = 0; i < 100; ++i)
    {
        ASSERT_TRUE(cluster.propose("entry"));
        cluster.run(milliseconds(10));
    }
    const auto end = cluster.at(lagging).protocol->log().last_index();
    EXPECT_GT(cluster.at(cluster.leader()).protocol->log().base_index(), end);
    cluster.clear_faults();
    EXPECT_TRUE(cluster.run_until_converged(convergence_timeout));
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

// Guards against two membership changes at the same time, whose majorities need
// not overlap, and against the promotion of a learner without a full copy.
TEST(consensus, only_one_membership_change_at_a_time)
{
    consensus_cluster cluster(3, 6);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    cluster.admission_enabled = false;
    auto& protocol = *cluster.at(cluster.leader()).protocol;
    const auto add = change_of(wire::member_change::add_learner, 9999);
    EXPECT_GT(protocol.propose_change(add).index, 0U);
    EXPECT_EQ(protocol.propose_change(add).code, wire::command_conflict);
    EXPECT_EQ(
        protocol.propose_change(change_of(wire::member_change::remove, 9999))
            .code,
        wire::command_conflict);
    cluster.run(milliseconds(500));
    // The learner never answers. It must not be promoted, although the present
    // voters alone would be a majority.
    EXPECT_EQ(
        protocol.propose_change(change_of(wire::member_change::promote, 9999))
            .code,
        wire::command_conflict);
    EXPECT_GT(
        protocol.propose_change(change_of(wire::member_change::remove, 9999))
            .index,
        0U);
}

// Guards against a membership change that could never be committed and would
// stop the group.
TEST(consensus, change_without_a_reachable_majority_is_refused)
{
    consensus_cluster cluster(3, 7);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    cluster.admission_enabled = false;
    const auto leader = cluster.leader();
    cluster.crash((leader + 1) % 3);
    cluster.run(milliseconds(2000));
    auto& protocol = *cluster.at(leader).protocol;
    ASSERT_TRUE(protocol.is_leader());
    const auto live = cluster.at((leader + 2) % 3).id;
    const auto dead = cluster.at((leader + 1) % 3).id;
    EXPECT_EQ(
        protocol.propose_change(change_of(wire::member_change::remove, live))
            .code,
        wire::command_conflict);
    EXPECT_GT(
        protocol.propose_change(change_of(wire::member_change::remove, dead))
            .index,
        0U);
}

// Guards against a candidate that deposes a leader that other members still
// hear.
TEST(consensus, vote_request_is_ignored_while_a_leader_is_heard)
{
    consensus_cluster cluster(3, 10);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto follower = (cluster.leader() + 1) % 3;
    auto& protocol = *cluster.at(follower).protocol;
    const auto term = protocol.term();
    wire::consensus_message request;
    request.set_from(cluster.at((follower + 1) % 3).id);
    request.set_to(cluster.at(follower).id);
    request.set_term(term + 5);
    request.mutable_vote()->set_last_index(1000);
    request.mutable_vote()->set_last_term(1000);
    protocol.receive(request);
    EXPECT_TRUE(empty(protocol.take_output()));
    EXPECT_EQ(protocol.term(), term);
}

// Guards against a member that has answered a leader's heartbeat and elects
// another leader at once, because a delayed answer told it of a newer term. The
// leader may act for an election timeout after the heartbeat.
TEST(consensus, newer_term_does_not_shorten_the_time_of_a_leader)
{
    consensus_cluster cluster(3, 12);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto follower = (cluster.leader() + 1) % 3;
    auto& protocol = *cluster.at(follower).protocol;
    wire::consensus_message message;
    message.set_from(cluster.at((cluster.leader() + 2) % 3).id);
    message.set_to(cluster.at(follower).id);
    message.set_term(protocol.term() + 1);
    message.mutable_vote_answer()->set_granted(false);
    protocol.receive(message);
    ASSERT_EQ(protocol.term(), message.term());
    (void)protocol.take_output();
    message.set_term(protocol.term() + 1);
    message.mutable_vote()->set_last_index(1000);
    message.mutable_vote()->set_last_term(1000);
    protocol.receive(message);
    EXPECT_TRUE(empty(protocol.take_output()));
}

// Guards against a member with a newer term that can never follow the leader
// again, because it rejects the leader and the others ignore its vote requests.
TEST(consensus, member_with_a_newer_term_rejoins)
{
    consensus_cluster cluster(3, 11);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto follower = (cluster.leader() + 1) % 3;
    cluster.at(follower).isolated = true;
    cluster.run(milliseconds(5000));
    // The member receives a pre-vote that was granted just before it lost
    // contact, so it starts an election in a new term.
    auto& protocol = *cluster.at(follower).protocol;
    const auto term = protocol.term();
    wire::consensus_message answer;
    answer.set_from(cluster.at((follower + 1) % 3).id);
    answer.set_to(cluster.at(follower).id);
    answer.set_term(term + 1);
    answer.mutable_vote_answer()->set_granted(true);
    answer.mutable_vote_answer()->set_pre_vote(true);
    protocol.receive(answer);
    ASSERT_EQ(protocol.term(), term + 1);
    cluster.clear_faults();
    cluster.run(milliseconds(5000));
    ASSERT_TRUE(cluster.propose("after"));
    EXPECT_TRUE(cluster.run_until_converged(convergence_timeout));
    EXPECT_EQ(cluster.violation(), "");
}

// Guards against an entry of an earlier term that is committed by the count of
// its copies alone. Another leader could still replace it.
TEST(consensus, entry_of_an_earlier_term_commits_with_one_of_the_current_term)
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
    consensus protocol(options, stored, time_point{});
    protocol.tick(time_point{} + 2 * options.election_timeout);

    wire::consensus_message answer;
    answer.set_from(2);
    answer.set_to(1);
    answer.set_term(3);
    for (const auto pre_vote : {true, false})
    {
        answer.mutable_vote_answer()->set_granted(true);
        answer.mutable_vote_answer()->set_pre_vote(pre_vote);
        protocol.receive(answer);
    }
    ASSERT_TRUE(protocol.is_leader());
    (void)protocol.take_output();
    protocol.persisted();
    for (std::uint64_t index = 2; index <= 3; ++index)
    {
        answer.mutable_append_answer()->set_accepted(true);
        answer.mutable_append_answer()->set_last_index(index);
        protocol.receive(answer);
        EXPECT_EQ(protocol.commit(), index == 3 ? 3U : 0U);
    }
}

// Guards against the promotion of a learner that has no full copy of the log or
// does not answer.
TEST(consensus, learner_is_promoted_only_with_a_full_copy)
{
    consensus_cluster cluster(2, 8);
    cluster.at(1).isolated = true;
    cluster.run(milliseconds(5000));
    auto& protocol = *cluster.at(0).protocol;
    ASSERT_TRUE(protocol.is_leader());
    const auto id = cluster.at(1).id;
    auto add = change_of(wire::member_change::add_learner, id);
    add.mutable_subject()->set_host("host1");
    add.mutable_subject()->set_peer_address("address1");
    ASSERT_GT(protocol.propose_change(add).index, 0U);
    cluster.run(milliseconds(2000));
    const auto promote = change_of(wire::member_change::promote, id);
    EXPECT_EQ(protocol.propose_change(promote).code, wire::command_conflict);
    cluster.clear_faults();
    EXPECT_TRUE(cluster.run_until_converged(convergence_timeout));
}

// Guards against a leader that continues to lead after its own removal.
TEST(consensus, removed_leader_steps_down_and_another_is_elected)
{
    consensus_cluster cluster(3, 9);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    cluster.admission_enabled = false;
    const auto old = cluster.leader();
    const auto remove =
        change_of(wire::member_change::remove, cluster.at(old).id);
    ASSERT_GT(cluster.at(old).protocol->propose_change(remove).index, 0U);
    cluster.run(milliseconds(6000));
    EXPECT_FALSE(cluster.at(old).protocol->is_leader());
    ASSERT_GE(cluster.leader(), 0);
    EXPECT_NE(cluster.leader(), old);
    EXPECT_TRUE(cluster.propose("after"));
    EXPECT_EQ(cluster.violation(), "");
}

} // namespace
} // namespace limpetstack
