#include "state/audit_trail.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

wire::audit_record entry(const std::string& operator_name)
{
    wire::audit_record record;
    record.set_operator_name(operator_name);
    record.set_action("apply_document");
    return record;
}

// Guards against tampering that verification does not see: every field, the
// order, a removed record.
TEST(audit_trail, verification_finds_changes)
{
    audit_trail trail;
    for (const auto* name : {"ana", "ben", "eva"})
    {
        trail.append(entry(name));
    }
    const auto good = trail.read(0, 10);
    ASSERT_EQ(good.size(), 3U);
    EXPECT_TRUE(verify_audit(good).ok());
    EXPECT_TRUE(verify_audit({}).ok());
    EXPECT_TRUE(verify_audit(trail.read(1, 10)).ok());

    auto changed = good;
    changed[1].set_operator_name("eve");
    EXPECT_NE(verify_audit(changed).message().find("record 2 was changed"),
              std::string::npos);
    changed[1].set_hash(audit_hash(changed[1]));
    EXPECT_NE(verify_audit(changed).message().find("record 3"),
              std::string::npos);
    changed = good;
    changed[0].set_code(wire::command_invalid);
    EXPECT_FALSE(verify_audit(changed).ok());
    changed = {good[0], good[2]};
    EXPECT_FALSE(verify_audit(changed).ok());
    changed = {good[1], good[0]};
    EXPECT_FALSE(verify_audit(changed).ok());
    // A text that moves between neighbouring fields is a change as well.
    changed = good;
    changed[0].set_operator_name("an");
    changed[0].set_host("a");
    EXPECT_FALSE(verify_audit(changed).ok());
}

// Guards against a trail that grows without bound or loses its chain when old
// records are dropped.
TEST(audit_trail, old_records_are_dropped_and_the_rest_verifies)
{
    audit_trail trail;
    std::string dropped_hash;
    for (std::size_t i = 0; i < max_audit_records + 5; ++i)
    {
        trail.append(entry("ana"));
        dropped_hash = i == 4 ? trail.records().back().hash() : dropped_hash;
    }
    EXPECT_EQ(trail.records().size(), max_audit_records);
    EXPECT_EQ(trail.records().front().sequence(), 6U);
    EXPECT_EQ(trail.records().front().previous_hash(), dropped_hash);
    const auto all = trail.read(0, max_audit_records * 2);
    EXPECT_TRUE(verify_audit(all).ok());
    EXPECT_EQ(trail.read(7, 2).front().sequence(), 8U);
    EXPECT_EQ(trail.read(7, 2).size(), 2U);
    EXPECT_TRUE(trail.read(max_audit_records + 5, 2).empty());
}

} // namespace
} // namespace limpetstack
