#include "coordination/replicated_log.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Makes an entry whose payload is a membership with one member. The identity of
// the member is the index of the entry.
wire::log_entry make_entry(std::uint64_t index, wire::entry_kind kind)
{
    wire::membership members;
    members.add_members()->set_id(index);
    wire::log_entry entry;
    entry.set_index(index);
    entry.set_term(index);
    entry.set_kind(kind);
    entry.set_payload(members.SerializeAsString());
    return entry;
}

replicated_log make_log()
{
    replicated_log log{stored_log()};
    for (std::uint64_t i = 1; i <= 8; ++i)
    {
        log.append(make_entry(i, i % 2 == 1 ? wire::entry_membership
                                            : wire::entry_command));
    }
    return log;
}

// Guards against a membership that stays in use after its entry was removed.
TEST(replicated_log, truncation_restores_the_previous_membership)
{
    auto log = make_log();
    EXPECT_EQ(log.members_index(), 7U);
    log.truncate(6);
    EXPECT_EQ(log.last_index(), 5U);
    EXPECT_EQ(log.members_index(), 5U);
    log.truncate(4);
    EXPECT_EQ(log.members().members(0).id(), 3U);
    EXPECT_EQ(log.term(4), std::nullopt);
}

// Guards against snapshots with the wrong membership, and against terms or
// memberships that change when entries before the snapshot are dropped.
TEST(replicated_log, compaction_does_not_change_terms_and_memberships)
{
    auto log = make_log();
    EXPECT_EQ(log.members_at(6).members(0).id(), 5U);
    log.compact({6, 6, log.members_at(6), "state"}, 5);
    EXPECT_EQ(log.base_index(), 4U);
    EXPECT_EQ(log.term(3), std::nullopt);
    EXPECT_EQ(log.term(4), 4U);
    EXPECT_EQ(log.at(5).term(), 5U);
    EXPECT_EQ(log.members_index(), 7U);
    EXPECT_EQ(log.members_at(6).members(0).id(), 5U);
    log.truncate(7);
    EXPECT_EQ(log.members().members(0).id(), 5U);
}

// Guards against a log that uses an old membership after a restart or after it
// received a snapshot.
TEST(replicated_log, snapshot_sets_the_membership)
{
    stored_log stored;
    stored.base_index = 1;
    stored.base_term = 1;
    stored.snapshot = {4, 4, {}, "state"};
    stored.snapshot.members.add_members()->set_id(99);
    for (std::uint64_t i = 2; i <= 4; ++i)
    {
        stored.entries.push_back(make_entry(i, wire::entry_membership));
    }
    replicated_log log(stored);
    EXPECT_EQ(log.members().members(0).id(), 99U);
    log.install({9, 7, {}, "newer"});
    EXPECT_EQ(log.last_index(), 9U);
    EXPECT_EQ(log.last_term(), 7U);
    EXPECT_EQ(log.members().members_size(), 0);
}

} // namespace
} // namespace limpetstack
