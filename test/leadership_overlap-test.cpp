// Checks for how long an earlier leader may act beside a new one when messages
// between the hosts are delayed.
#include "coordination/consensus.hpp"
#include "coordination/fleet/leader_permission.hpp"
#include "support/consensus_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds convergence_timeout{20000};
const milliseconds election_timeout = consensus_options().election_timeout;

// The resolution of the test cluster's clock.
constexpr milliseconds step{10};

bool may_act_as_leader(consensus_cluster& cluster, int index)
{
    auto& replica = cluster.at(index);
    if (!replica.up)
    {
        return false;
    }
    leader_evidence evidence;
    evidence.leads = replica.protocol->is_leader();
    evidence.checked_at = cluster.now();
    evidence.confirmed_at = replica.protocol->confirmed_at();
    return may_act(evidence,
                   {milliseconds(400), max_confirmation_age(election_timeout)},
                   cluster.now());
}

// Watches which terms have a confirmed leader, and how long leaders of earlier
// terms act afterwards.
class overlap_watch
{
public:
    explicit overlap_watch(consensus_cluster& cluster)
        : cluster_(cluster)
    {
    }

    void run(milliseconds duration)
    {
        for (const auto end = cluster_.now() + duration; cluster_.now() < end;)
        {
            cluster_.run(step);
            observe();
        }
    }

    // The longest time for which an earlier leader acted beside a new one.
    milliseconds longest() const { return longest_; }
    // The longest time for which one led by its own view.
    milliseconds longest_view() const { return longest_view_; }
    // The newest term with a confirmed leader.
    std::uint64_t newest_term() const { return newest_term_; }

private:
    void observe()
    {
        for (int i = 0; i < cluster_.size(); ++i)
        {
            auto& replica = cluster_.at(i);
            if (!replica.up || !replica.protocol->is_leader())
            {
                continue;
            }
            const auto term = replica.protocol->term();
            if (term < newest_term_)
            {
                const auto overlap = cluster_.now() - newest_since_;
                longest_view_ = std::max(longest_view_, overlap);
                if (may_act_as_leader(cluster_, i))
                {
                    longest_ = std::max(longest_, overlap);
                }
            }
            else if (term > newest_term_)
            {
                confirm(i, term);
            }
        }
    }

    // A leadership begins when a read that it began is confirmed.
    void confirm(int index, std::uint64_t term)
    {
        if (reading_term_ != term)
        {
            reading_term_ = term;
            read_ = cluster_.begin_read(index);
        }
        if (read_ && cluster_.confirmed_reads().count({index, *read_}) > 0)
        {
            newest_term_ = term;
            newest_since_ = cluster_.now();
        }
    }

    consensus_cluster& cluster_;
    std::uint64_t newest_term_ = 0;
    time_point newest_since_;
    std::uint64_t reading_term_ = 0;
    std::optional<std::uint64_t> read_;
    milliseconds longest_{0};
    milliseconds longest_view_{0};
};

// Delays all messages to the host.
void set_links_to(consensus_cluster& cluster, int host, milliseconds delay)
{
    for (int i = 0; i < cluster.size(); ++i)
    {
        if (i != host)
        {
            cluster.set_link(i, host, delay);
        }
    }
}

// Guards against an earlier leader that acts for as long as answers to its
// heartbeats arrive, which were sent before the others elected a new leader.
TEST(leadership_overlap, delayed_answers_do_not_extend_a_leadership)
{
    for (const auto delay : {0, 300, 600, 900, 1500, 3000, 6000})
    {
        consensus_cluster cluster(3, 21);
        ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
        overlap_watch watch(cluster);
        watch.run(milliseconds(500));
        const auto old = cluster.leader();
        // The delay grows slowly, so that answers never stay away for long.
        for (int ms = 0; ms <= delay; ms += 300)
        {
            set_links_to(cluster, old, milliseconds(ms));
            watch.run(milliseconds(1000));
        }
        watch.run(milliseconds(delay));
        ASSERT_EQ(cluster.leader(), old);
        const auto term = watch.newest_term();
        for (int i = 0; i < cluster.size(); ++i)
        {
            if (i != old)
            {
                cluster.set_link(old, i, std::nullopt);
            }
        }
        watch.run(milliseconds(15000));
        EXPECT_GT(watch.newest_term(), term);
        RecordProperty("view_ms_" + std::to_string(delay),
                       static_cast<int>(watch.longest_view().count()));
        RecordProperty("acts_ms_" + std::to_string(delay),
                       static_cast<int>(watch.longest().count()));
        EXPECT_LE(watch.longest(), max_leadership_overlap(election_timeout))
            << "answers are delayed by " << delay << " ms";
    }
}

// Guards against leaders that can not act although a majority answers within
// one election timeout.
TEST(leadership_overlap, leader_acts_while_answers_take_less_than_a_timeout)
{
    consensus_cluster cluster(3, 22);
    ASSERT_TRUE(cluster.run_until_converged(convergence_timeout));
    const auto leader = cluster.leader();
    set_links_to(cluster, leader, election_timeout - milliseconds(150));
    cluster.run(milliseconds(5000));
    for (int i = 0; i < 100; ++i)
    {
        cluster.run(step);
        ASSERT_EQ(cluster.leader(), leader);
        ASSERT_TRUE(may_act_as_leader(cluster, leader));
    }
}

// Guards against any mix of delays, lost directions, losses and repetitions
// with which an earlier leader acts for longer than a new one expects.
RC_GTEST_PROP(leadership_overlap, earlier_leader_stops_in_time,
              (std::uint64_t seed))
{
    consensus_cluster cluster(3 + 2 * static_cast<int>(seed % 2), seed);
    RC_ASSERT(cluster.run_until_converged(convergence_timeout));
    overlap_watch watch(cluster);
    const auto draw = [&cluster](int bound)
    {
        return static_cast<int>(
            cluster.random(static_cast<std::uint64_t>(bound)));
    };
    milliseconds answer_delay{0};
    for (int i = 0; i < 60; ++i)
    {
        const auto leader = cluster.leader();
        switch (draw(10))
        {
        case 0:
            for (int to = 0; to < cluster.size() && leader >= 0; ++to)
            {
                cluster.set_link(leader, to, std::nullopt);
            }
            break;
        case 1:
            cluster.set_network_faults(0.1, 0.2, milliseconds(200));
            break;
        case 2:
            cluster.clear_faults();
            answer_delay = {};
            break;
        case 3:
            cluster.set_link(draw(cluster.size()), draw(cluster.size()),
                             milliseconds(draw(3000)));
            break;
        default:
            answer_delay += milliseconds(draw(600));
            set_links_to(cluster, leader, answer_delay);
            break;
        }
        (void)cluster.propose("command");
        watch.run(milliseconds(100 + draw(1500)));
    }
    RC_ASSERT(cluster.violation() == "");
    RC_ASSERT(watch.longest() <= max_leadership_overlap(election_timeout));
}

} // namespace
} // namespace limpetstack::fleet
