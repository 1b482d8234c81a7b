#include "state/registry.hpp"

#include "support/soft_state_cluster.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>

namespace limpetstack
{
namespace
{

constexpr milliseconds lease{10000};
constexpr milliseconds retention{60000};

wire::upstream_entry leaving(const std::string& id, std::uint64_t sequence)
{
    auto out = make_upstream(id, "dc1", sequence);
    out.set_state(wire::upstream_leaving);
    return out;
}

// Guards against an older announcement that brings a leaving upstream back.
TEST(registry, tombstone_outlives_older_announcements)
{
    registry state(lease, retention);
    const time_point start{};
    state.merge(make_upstream("u", "dc1", 4), start);
    EXPECT_EQ(state.merge(leaving("u", 5), start), merge_outcome::changed);
    EXPECT_TRUE(state.ready_upstreams("check", "dc1").empty());
    state.expire(start + lease * 2);
    EXPECT_EQ(state.merge(make_upstream("u", "dc1", 4), start + lease * 2),
              merge_outcome::stale);
    EXPECT_TRUE(state.ready_upstreams("check", "dc1").empty());
    EXPECT_EQ(state.expire(start + retention), 1U);
}

// Guards against upstreams that stay listed without renewals, or that expire
// although they renew.
TEST(registry, entries_expire_unless_renewed)
{
    registry state(lease, retention);
    const time_point start{};
    state.merge(make_upstream("renewed", "dc1", 1), start);
    state.merge(make_upstream("silent", "dc1", 1), start);
    const auto contents = state.upstream("renewed", start)->contents;
    EXPECT_TRUE(state.renew(contents, 2, start + lease / 2));
    EXPECT_FALSE(state.renew(contents, 2, start + lease)) << "repeated";
    EXPECT_EQ(state.expire(start + lease), 1U);
    const auto ready = state.ready_upstreams("check", "dc1");
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0]->id(), "renewed");
}

// Guards against a renewal that extends contents which the receiver has not
// got: it would keep the old contents for ever.
TEST(registry, renewal_of_other_contents_is_ignored)
{
    registry sender(lease, retention);
    registry receiver(lease, retention);
    const time_point start{};
    auto entry = make_worker("w", "dc1", 1);
    receiver.merge(entry, start);
    entry.set_sequence(2);
    entry.add_tasks()->set_job("j");
    sender.merge(entry, start);
    EXPECT_FALSE(receiver.renew(sender.worker("w", start)->contents, 3, start));
}

// Guards against entries that two hosts keep alive by returning them to each
// other after the announcer has gone.
TEST(registry, exchanged_entries_keep_their_age)
{
    registry a(lease, retention);
    registry b(lease, retention);
    const time_point start{};
    a.merge(make_upstream("u", "dc1", 1), start);
    wire::soft_state_digest digest;
    const auto later = start + lease / 2;
    for (std::uint32_t i = 0; i < 64; ++i)
    {
        digest.add_covered(i);
    }
    const auto delta = a.difference(digest, later);
    ASSERT_EQ(delta.upstreams_size(), 1);
    const milliseconds age(delta.upstream_renewals(0).age_ms());
    EXPECT_EQ(age, lease / 2);
    b.merge(delta.upstreams(0), later, age);
    EXPECT_EQ(b.expire(start + lease), 1U);
}

// Guards against states that depend on the order in which announcements arrive.
RC_GTEST_PROP(registry, order_of_announcements_does_not_matter, ())
{
    std::vector<wire::upstream_entry> entries;
    for (int i = 0; i < 12; ++i)
    {
        auto entry =
            make_upstream("u" + std::to_string(*rc::gen::inRange(0, 3)), "dc1",
                          *rc::gen::inRange<std::uint64_t>(1, 6));
        entry.set_incarnation(*rc::gen::inRange<std::uint64_t>(1, 3));
        // Equal versions have equal contents.
        entry.set_state(entry.sequence() % 3 == 0 ? wire::upstream_leaving
                                                  : wire::upstream_ready);
        entries.push_back(entry);
    }
    const auto order = *rc::gen::container<std::vector<int>>(
        entries.size(), rc::gen::inRange(0, 1000));
    registry a(lease, retention);
    registry b(lease, retention);
    for (const auto& entry : entries)
    {
        a.merge(entry, time_point{});
    }
    std::vector<std::size_t> positions(entries.size());
    for (std::size_t i = 0; i < positions.size(); ++i)
    {
        positions[i] = i;
    }
    std::stable_sort(positions.begin(), positions.end(),
                     [&](std::size_t x, std::size_t y)
                     {
                         return order[x] < order[y];
                     });
    for (const auto i : positions)
    {
        b.merge(entries[i], time_point{});
    }
    wire::soft_state_digest digest;
    a.write_buckets(digest);
    RC_ASSERT(b.difference(digest, time_point{}).differing_size() == 0);
    RC_ASSERT(a.ready_upstreams("check", "dc1").size() ==
              b.ready_upstreams("check", "dc1").size());
}

} // namespace
} // namespace limpetstack
