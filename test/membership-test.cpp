#include "coordination/membership.hpp"

#include "support/soft_state_cluster.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace limpetstack
{
namespace
{

constexpr milliseconds drain_bound{3000};

std::size_t ready_at(soft_state_cluster& cluster, int host)
{
    return cluster.at(host).state->ready_upstreams("check", "dc0").size();
}

// Guards against changes that take longer than the spread interval.
TEST(membership, change_reaches_every_host_within_spread_interval)
{
    soft_state_cluster cluster(9, 4, 1);
    cluster.at(3).hosts->announce(make_upstream("u", "dc0"));
    cluster.run(cluster.at(0).own.timing.spread_interval);
    for (int i = 0; i < cluster.size(); ++i)
    {
        EXPECT_EQ(ready_at(cluster, i), 1U) << "host " << i;
    }
}

// Guards against a host that missed changes for ever after its isolation, and
// against renewals that are not forwarded.
TEST(membership, digest_exchange_repairs_an_isolated_host)
{
    soft_state_cluster cluster(9, 4, 2);
    cluster.isolate(5, true);
    std::uint64_t sequence = 0;
    const auto announce_all = [&]
    {
        ++sequence;
        for (int i = 0; i < 40; ++i)
        {
            cluster.at(i % 5).hosts->announce(
                make_upstream("u" + std::to_string(i), "dc0", sequence));
        }
    };
    for (int i = 0; i < 6; ++i)
    {
        announce_all();
        cluster.run(milliseconds(3000));
    }
    EXPECT_EQ(ready_at(cluster, 5), 0U);
    EXPECT_EQ(ready_at(cluster, 6), 40U);
    cluster.isolate(5, false);
    cluster.run(milliseconds(500));
    announce_all();
    cluster.run(milliseconds(2500));
    EXPECT_EQ(ready_at(cluster, 5), 40U);
}

// Guards against a dead host that stays in the choice of dispatchers, and
// against live ones that drop out under moderate loss.
TEST(membership, silent_host_goes_down_after_the_host_timeout)
{
    soft_state_cluster cluster(9, 4, 3);
    cluster.run(milliseconds(3000));
    const auto victim = std::stoi(
        cluster.at(0).hosts->dispatcher_host("dc0", "check").substr(1));
    cluster.kill(victim);
    cluster.run(milliseconds(2400));
    for (int i = 0; i < cluster.size(); ++i)
    {
        if (i == victim)
        {
            continue;
        }
        const auto& hosts = *cluster.at(i).hosts;
        EXPECT_FALSE(hosts.is_live("h" + std::to_string(victim)));
        EXPECT_EQ(hosts.dispatcher_host("dc0", "check"),
                  cluster.at((victim + 1) % 9)
                      .hosts->dispatcher_host("dc0", "check"));
        EXPECT_EQ(hosts.live_hosts("dc1").size(), victim % 4 == 1 ? 1U : 2U);
    }
}

// Guards against work that still goes to a dispatcher that hands over.
TEST(membership, draining_host_is_not_chosen)
{
    soft_state_cluster cluster(9, 4, 4);
    cluster.run(milliseconds(1000));
    const auto first = cluster.at(1).hosts->dispatcher_host("dc0", "check");
    cluster.at(std::stoi(first.substr(1))).hosts->set_draining();
    EXPECT_NE(cluster.at(1).hosts->dispatcher_host("dc0", "check"), first);
    EXPECT_TRUE(cluster.at(1).hosts->is_live(first));
}

// Guards against announcements that are confirmed although they are unusable,
// or refused although they only repeat a lost confirmation.
TEST(membership, announcement_is_checked)
{
    soft_state_cluster cluster(2, 1, 5);
    auto& hosts = *cluster.at(0).hosts;
    EXPECT_FALSE(hosts.announce(wire::upstream_entry{}));
    EXPECT_TRUE(hosts.announce(make_upstream("u", "dc0", 7)));
    EXPECT_TRUE(hosts.announce(make_upstream("u", "dc0", 7)));
    EXPECT_FALSE(hosts.announce(make_upstream("u", "dc0", 6)));
    EXPECT_FALSE(hosts.announce(wire::worker_entry{}));
    EXPECT_TRUE(hosts.announce(make_worker("w", "dc0", 1)));
}

// Announces until two daemons have confirmed, as upstreams do.
class departing_upstream
{
public:
    explicit departing_upstream(std::uint64_t sequence)
        : entry_(make_upstream("leaver", "dc0", sequence))
    {
        entry_.set_state(wire::upstream_leaving);
    }

    bool finished() const { return confirmed_.size() >= 2; }
    const std::set<int>& confirmed() const { return confirmed_; }

    void try_one(soft_state_cluster& cluster)
    {
        const int host = cluster.random_below(cluster.size());
        if (!finished() && cluster.at(host).up &&
            cluster.at(host).hosts->announce(entry_))
        {
            confirmed_.insert(host);
        }
    }

private:
    wire::upstream_entry entry_;
    std::set<int> confirmed_;
};

// Guards against an upstream that gets work more than 3 s after it said that it
// leaves, when the first host that heard of it dies at once and batches get
// lost. Old announcements are repeated meanwhile.
RC_GTEST_PROP(invariant, drain_survives_the_host_that_heard_of_it, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    soft_state_cluster cluster(9, 4, seed);
    cluster.at(0).hosts->announce(make_upstream("leaver", "dc0", 3));
    cluster.run(milliseconds(1000));
    cluster.set_lost(*rc::gen::inRange(0, 4) * 0.1);
    departing_upstream upstream(4);
    while (upstream.confirmed().empty())
    {
        upstream.try_one(cluster);
    }
    cluster.kill(*upstream.confirmed().begin());
    for (milliseconds passed{0}; passed < drain_bound;
         passed += milliseconds(500))
    {
        cluster.run(milliseconds(500));
        upstream.try_one(cluster);
        const int other = cluster.random_below(cluster.size());
        if (cluster.at(other).up)
        {
            cluster.at(other).hosts->announce(
                make_upstream("leaver", "dc0", 3));
        }
    }
    for (int i = 0; i < cluster.size(); ++i)
    {
        RC_ASSERT(!cluster.at(i).up || ready_at(cluster, i) == 0U);
    }
}

} // namespace
} // namespace limpetstack
