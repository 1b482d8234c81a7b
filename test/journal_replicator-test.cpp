#include "coordination/journal_replicator.hpp"

#include "base/manual_timer_service.hpp"
#include "base/metrics.hpp"
#include "support/fake_peer_network.hpp"
#include "support/journal_cluster.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace limpetstack
{
namespace
{

cluster_options quiet(std::vector<bool> disks)
{
    cluster_options options;
    options.seed = 1;
    options.disks = std::move(disks);
    options.drop_percent = 0;
    options.delay_percent = 0;
    options.events_in_messages = false;
    return options;
}

void wait(journal_cluster& cluster, int seconds)
{
    for (int i = 0; i < 10 * seconds; ++i)
    {
        cluster.advance(milliseconds(100));
    }
}

// Guards against a caller that hears "not run", or that starts a request, when
// the pair is split and the control log can not be reached.
TEST(invariant, not_run_truthful_split_pair_answers_unknown)
{
    journal_cluster cluster(quiet({true, true}));
    const auto id = cluster.new_id();
    for (std::size_t i = 0; i < cluster.size(); ++i)
    {
        cluster.cut_control(i, true);
    }
    cluster.cut(0, 1, true);
    for (std::size_t i = 0; i < cluster.size(); ++i)
    {
        const auto answer = cluster.call(i, id, wire::request_not_run);
        EXPECT_TRUE(answer.unknown());
        EXPECT_FALSE(answer.applied());
    }
    EXPECT_TRUE(cluster.node(cluster.owner())->copy_lost());
    // The record in doubt is settled by the next acknowledgement.
    cluster.cut(0, 1, false);
    const auto later = cluster.call(cluster.owner(), id, wire::request_started);
    EXPECT_FALSE(later.unknown());
    EXPECT_FALSE(later.applied());
    EXPECT_EQ(later.current().phase(), wire::request_not_run);
}

// Guards against a start that the new owner does not know of.
TEST(invariant, at_most_once_copy_knows_the_start_after_the_owner_dies)
{
    journal_cluster cluster(quiet({false, false, false}));
    const auto id = cluster.new_id();
    const auto old_owner = cluster.owner();
    const auto old_copy = cluster.copy();
    ASSERT_TRUE(cluster.call(old_owner, id, wire::request_started).applied());
    cluster.crash(old_owner);
    wait(cluster, 10);
    ASSERT_EQ(cluster.owner(), old_copy);
    const auto again = cluster.call(old_copy, id, wire::request_started);
    EXPECT_FALSE(again.applied());
    EXPECT_EQ(again.current().phase(), wire::request_started);
}

// Guards against a diskless owner that serves its epoch with an empty journal.
TEST(journal_replicator, restarted_diskless_owner_is_lost)
{
    journal_cluster cluster(quiet({false, false, false}));
    const auto id = cluster.new_id();
    const auto owner = cluster.owner();
    ASSERT_TRUE(cluster.call(owner, id, wire::request_started).applied());
    cluster.crash(owner);
    cluster.restart(owner);
    cluster.node(owner)->set_owner_record(cluster.record());
    EXPECT_FALSE(cluster.node(owner)->owned());
    EXPECT_TRUE(cluster.node(owner)->status().lost());
    EXPECT_TRUE(cluster.call(owner, id, wire::request_started).unknown());
    wait(cluster, 5);
    EXPECT_NE(cluster.owner(), owner);
    EXPECT_EQ(cluster.record().incarnation(), 1U);
}

// Guards against an owner with a disk that continues before it has compared
// its journal with the copy's, or that never continues.
TEST(journal_replicator, restarted_owner_with_disk_continues_with_its_copy)
{
    journal_cluster cluster(quiet({true, true}));
    const auto id = cluster.new_id();
    const auto owner = cluster.owner();
    ASSERT_TRUE(cluster.call(owner, id, wire::request_started).applied());
    cluster.crash(owner);
    cluster.restart(owner);
    cluster.cut(0, 1, true);
    cluster.node(owner)->set_owner_record(cluster.record());
    EXPECT_TRUE(cluster.call(owner, id, wire::request_absent).unknown());
    cluster.cut(0, 1, false);
    EXPECT_EQ(cluster.call(owner, id, wire::request_absent).current().phase(),
              wire::request_started);
    EXPECT_EQ(cluster.record().epoch(), 1U);
}

// Guards against an owner whose disk has lost records that its copy has.
TEST(journal_replicator, owner_behind_its_copy_gives_way)
{
    journal_cluster cluster(quiet({true, true}));
    const auto owner = cluster.owner();
    const auto before = cluster.disk(owner);
    const auto id = cluster.new_id();
    ASSERT_TRUE(cluster.call(owner, id, wire::request_started).applied());
    cluster.crash(owner);
    cluster.set_disk(owner, before);
    cluster.restart(owner);
    wait(cluster, 5);
    EXPECT_NE(cluster.owner(), owner);
    EXPECT_EQ(cluster.call(cluster.owner(), id, wire::request_absent)
                  .current()
                  .phase(),
              wire::request_started);
}

// Guards against an owner that writes on after it heard of a higher epoch.
TEST(journal_replicator, superseded_owner_stops)
{
    journal_cluster cluster(quiet({true, true, true}));
    const auto old_owner = cluster.owner();
    cluster.cut_control(old_owner, true);
    wait(cluster, 5);
    ASSERT_NE(cluster.owner(), old_owner);
    EXPECT_TRUE(cluster.call(old_owner, cluster.new_id(), wire::request_started)
                    .unknown());
    EXPECT_FALSE(cluster.node(old_owner)->owned());
}

// Guards against lost or doubled transitions when many threads write.
TEST(journal_replicator, concurrent_writers_share_batches)
{
    constexpr int threads = 8;
    constexpr int ids = 200;
    manual_timer_service timers;
    metrics counters;
    journal_replicator* copy_node = nullptr;
    fake_peer_network network(
        [&](const std::string&, const wire::journal_append& message,
            milliseconds)
        {
            return copy_node->receive(message);
        });
    journal_replicator_options options;
    options.data_centre = "dc1";
    options.host = "a";
    journal_replicator owner(options, *journal::open(nullptr, 1), network,
                             timers, counters);
    options.host = "b";
    journal_replicator copy(options, *journal::open(nullptr, 2), network,
                            timers, counters);
    copy_node = &copy;
    wire::owner_record record;
    record.set_data_centre("dc1");
    record.set_epoch(1);
    record.set_incarnation(1);
    record.set_owner("a");
    record.set_copy("b");
    record.set_owner_store(1);
    record.set_copy_store(2);
    owner.set_owner_record(record);
    copy.set_owner_record(record);
    std::atomic<int> applied{0};
    std::atomic<int> unknown{0};
    std::vector<std::thread> workers;
    for (int t = 0; t < threads; ++t)
    {
        workers.emplace_back(
            [&]
            {
                for (int i = 0; i < ids; ++i)
                {
                    wire::request_record start;
                    start.set_id("dc1-1-18bcfe56800-" + std::to_string(i));
                    start.set_phase(wire::request_started);
                    const auto answer = owner.transition(start);
                    applied += answer.applied() ? 1 : 0;
                    unknown += answer.unknown() ? 1 : 0;
                }
            });
    }
    for (auto& worker : workers)
    {
        worker.join();
    }
    EXPECT_EQ(applied, ids);
    EXPECT_EQ(unknown, 0);
    EXPECT_EQ(copy.content().requests().size(), std::size_t{ids});
    EXPECT_EQ(counters.counter("journal_records_total"), std::uint64_t{ids});
}

} // namespace
} // namespace limpetstack
