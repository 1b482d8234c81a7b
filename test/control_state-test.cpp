#include "state/control_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <thread>

namespace limpetstack
{
namespace
{

wire::control_command write(const std::string& id, std::uint64_t base,
                            const std::string& document,
                            const std::string& operator_name = "ana")
{
    wire::control_command command;
    command.set_request_id(id);
    command.set_operator_name(operator_name);
    command.set_host("host-1");
    command.set_time_ms(1000);
    auto& change = *command.mutable_document();
    change.set_base_version(base);
    change.set_document(document);
    auto& account = *change.mutable_summary()->add_accounts();
    account.set_name(document);
    account.set_digest(1);
    return command;
}

wire::control_command owner(const std::string& id, std::uint64_t epoch,
                            std::uint64_t incarnation,
                            const std::string& copy = "host-2")
{
    wire::control_command command;
    command.set_request_id(id);
    auto& record = *command.mutable_owner();
    record.set_data_centre("dc1");
    record.set_epoch(epoch);
    record.set_incarnation(incarnation);
    record.set_owner("host-1");
    record.set_copy(copy);
    return command;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Guards against a lost update: of two writes on one version the first wins,
// and the loser learns who won and what changed.
TEST(control_state, second_write_on_a_version_is_refused)
{
    control_state state;
    EXPECT_EQ(state.apply(1, write("r1", 0, "a")).version(), 1U);
    EXPECT_EQ(state.apply(2, write("r2", 1, "b", "ben")).code(),
              wire::command_accepted);
    const auto lost = state.apply(3, write("r3", 1, "c", "eva"));
    EXPECT_EQ(lost.code(), wire::command_conflict);
    EXPECT_EQ(lost.version(), 2U);
    EXPECT_EQ(lost.winner(), "ben");
    EXPECT_TRUE(contains(lost.message(),
                         "version 2 by ben is current; since version 1: added "
                         "b; removed a; repeat the change on version 2"))
        << lost.message();
    EXPECT_EQ(*state.document_text(), "b");
    EXPECT_EQ(state.last_operator(), "ben");
    EXPECT_EQ(state.version(), 2U);
    EXPECT_EQ(state.applied_index(), 3U);
    const auto future = state.apply(4, write("r4", 9, "d"));
    EXPECT_TRUE(contains(future.message(), "version 9 does not exist"));
}

// Guards against a version that two different writes could carry.
TEST(control_state, equal_document_gets_a_new_version)
{
    control_state state;
    state.apply(1, write("r1", 0, "a"));
    EXPECT_EQ(state.apply(2, write("r2", 1, "a")).version(), 2U);
}

// Guards against a resend that is applied twice, before and after a restart
// from a snapshot.
TEST(control_state, resend_returns_the_first_outcome)
{
    control_state state;
    state.apply(1, write("r1", 0, "a"));
    state.apply(2, write("r2", 0, "b"));
    control_state restored;
    restored.restore(2, state.snapshot());
    for (auto* replica : {&state, &restored})
    {
        EXPECT_EQ(replica->apply(3, write("r1", 0, "a")).code(),
                  wire::command_accepted);
        EXPECT_EQ(replica->apply(4, write("r2", 0, "b")).code(),
                  wire::command_conflict);
        EXPECT_EQ(replica->version(), 1U);
        EXPECT_EQ(replica->audit(0, 100).size(), 2U);
        EXPECT_EQ(replica->applied_index(), 4U);
    }
}

// Guards against memory that grows with every write.
TEST(control_state, oldest_outcomes_are_forgotten)
{
    control_state state;
    std::uint64_t index = 0;
    for (std::size_t i = 0; i <= max_remembered_outcomes; ++i)
    {
        state.apply(++index, write("r" + std::to_string(i), i, "a"));
    }
    const auto before = state.version();
    EXPECT_EQ(state.apply(++index, write("r1", 1, "a")).version(), 2U);
    EXPECT_EQ(state.apply(++index, write("r0", 0, "a")).code(),
              wire::command_conflict);
    EXPECT_EQ(state.version(), before);
    EXPECT_TRUE(contains(state.apply(++index, write("x", 1, "a")).message(),
                         "no longer known"));
}

// Guards against two owners of one data centre under one epoch.
TEST(control_state, owner_epochs_rise_by_one)
{
    control_state state;
    EXPECT_EQ(state.apply(1, owner("a", 2, 1)).code(), wire::command_conflict);
    EXPECT_EQ(state.apply(2, owner("b", 1, 1)).code(), wire::command_accepted);
    const auto lost = state.apply(3, owner("c", 1, 1));
    EXPECT_EQ(lost.code(), wire::command_conflict);
    EXPECT_EQ(lost.winner(), "host-1");
    EXPECT_EQ(state.apply(4, owner("d", 3, 1)).code(), wire::command_conflict);
    EXPECT_EQ(state.apply(5, owner("e", 2, 0)).code(), wire::command_invalid);
    EXPECT_EQ(state.apply(6, owner("f", 2, 2, "host-1")).code(),
              wire::command_invalid);
    EXPECT_EQ(state.apply(7, owner("g", 2, 2, "")).code(),
              wire::command_accepted);
    ASSERT_EQ(state.owners().size(), 1U);
    EXPECT_EQ(state.owners()[0].epoch(), 2U);
    EXPECT_EQ(state.owners()[0].copy(), "");
    EXPECT_EQ(state.version(), 0U);
}

// Guards against refused writes that leave no trace.
TEST(control_state, refused_commands_are_audited)
{
    control_state state;
    state.apply(1, write("r1", 5, "a", "eva"));
    state.apply(2, write("r2", 0, ""));
    state.apply(3, wire::control_command());
    const auto records = state.audit(0, 10);
    ASSERT_EQ(records.size(), 3U);
    EXPECT_EQ(records[0].code(), wire::command_conflict);
    EXPECT_EQ(records[0].operator_name(), "eva");
    EXPECT_EQ(records[0].host(), "host-1");
    EXPECT_EQ(records[0].base_version(), 5U);
    EXPECT_EQ(records[1].code(), wire::command_invalid);
    EXPECT_EQ(records[2].code(), wire::command_invalid);
    EXPECT_TRUE(verify_audit(records).ok());
}

// Guards against replicas that differ after a snapshot: the one restored in
// the middle must end equal to the one that applied everything.
RC_GTEST_PROP(control_state, restored_replica_stays_equal, ())
{
    control_state whole;
    control_state restored;
    const auto count = *rc::gen::inRange(1, 60);
    const auto snapshot_at = *rc::gen::inRange(0, count);
    for (int i = 0; i < count; ++i)
    {
        if (i == snapshot_at)
        {
            restored.restore(static_cast<std::uint64_t>(i), whole.snapshot());
        }
        const auto id = "r" + std::to_string(*rc::gen::inRange(0, 40));
        const auto back = *rc::gen::inRange<std::uint64_t>(0, 3);
        const auto text = std::string(1, *rc::gen::inRange('a', 'e'));
        const auto epoch = *rc::gen::inRange<std::uint64_t>(0, 6);
        const auto command =
            epoch > 3
                ? owner(id, epoch - 3, back)
                : write(id, whole.version() - std::min(back, whole.version()),
                        text);
        const auto index = static_cast<std::uint64_t>(i) + 1;
        const auto outcome = whole.apply(index, command);
        if (i >= snapshot_at)
        {
            RC_ASSERT(restored.apply(index, command).SerializeAsString() ==
                      outcome.SerializeAsString());
        }
    }
    RC_ASSERT(whole.snapshot() == restored.snapshot());
    RC_ASSERT(verify_audit(whole.audit(0, 1000)).ok());
}

// Guards against a reader that sees the version of one write with the document
// of another.
TEST(control_state, views_are_consistent_during_writes)
{
    control_state state;
    std::thread writer(
        [&]
        {
            for (std::uint64_t i = 0; i < 2000; ++i)
            {
                state.apply(i + 1, write("", i, std::to_string(i + 1)));
            }
        });
    std::uint64_t last = 0;
    while (last < 2000)
    {
        const auto view = state.view();
        EXPECT_GE(view.version, last);
        if (view.version > 0)
        {
            EXPECT_EQ(*view.document, std::to_string(view.version));
            EXPECT_EQ(view.applied, view.version);
        }
        last = view.version;
    }
    writer.join();
}

} // namespace
} // namespace limpetstack
