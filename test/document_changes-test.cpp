#include "state/document_changes.hpp"

#include "peer.pb.h"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

void add(wire::document_summary& summary, const std::string& name,
         std::uint64_t digest)
{
    auto& account = *summary.add_accounts();
    account.set_name(name);
    account.set_digest(digest);
}

// Guards against a refusal that does not tell the loser what changed.
TEST(document_changes, names_added_removed_and_changed_accounts)
{
    wire::document_summary before;
    add(before, "kept", 1);
    add(before, "gone", 2);
    add(before, "edited", 3);
    wire::document_summary after;
    add(after, "kept", 1);
    add(after, "edited", 4);
    add(after, "new", 5);
    after.set_fleet(9);
    EXPECT_EQ(describe_changes(before, after),
              "added new; removed gone; changed edited; fleet changed");
    EXPECT_EQ(describe_changes(after, after), "nothing");
}

// Guards against messages as long as the document.
TEST(document_changes, lists_a_few_names_only)
{
    wire::document_summary after;
    for (int i = 10; i < 30; ++i)
    {
        add(after, "a" + std::to_string(i), 1);
    }
    EXPECT_EQ(describe_changes({}, after),
              "added a10, a11, a12, a13, a14, a15, a16, a17, a18, a19 and 10 "
              "more");
}

} // namespace
} // namespace limpetstack
