#include "protocol/document_command.hpp"

#include "peer.pb.h"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against conflicts that name the wrong accounts: only the changed
// account may get another digest, whatever the order in the text.
TEST(document_command, digests_differ_only_for_changed_accounts)
{
    client_account a{"a", 1, {{"dc1", 1, 2, 3, 4, 5, adjacency::any}}, {}};
    const client_account b{"b", 1, {}, {{"s", true, {}, 1}}};
    const document before{{{"dc1", 1, 1, 1, 1, 1}}, {a, b}};
    a.guarantees[0].placement = adjacency::rack;
    const document after{{{"dc1", 2, 1, 1, 1, 1}}, {b, a}};
    const auto first = make_apply_document(7, "one", before);
    const auto second = make_apply_document(8, "two", after);
    EXPECT_EQ(first.base_version(), 7U);
    EXPECT_EQ(first.document(), "one");
    ASSERT_EQ(second.summary().accounts_size(), 2);
    EXPECT_EQ(second.summary().accounts(0).name(), "a");
    EXPECT_NE(first.summary().accounts(0).digest(),
              second.summary().accounts(0).digest());
    EXPECT_EQ(first.summary().accounts(1).digest(),
              second.summary().accounts(1).digest());
    EXPECT_NE(first.summary().fleet(), second.summary().fleet());
}

} // namespace
} // namespace limpetstack
