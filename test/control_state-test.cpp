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

wire::control_command evacuate(const std::string& id, const std::string& name,
                               bool active = true)
{
    wire::control_command command;
    command.set_request_id(id);
    command.set_operator_name("ana");
    command.set_time_ms(2000);
    command.mutable_evacuation()->set_data_centre(name);
    command.mutable_evacuation()->set_active(active);
    return command;
}

// Returns the evacuated data centres, each followed by a space.
std::string evacuated(const control_state& state)
{
    std::string names;
    const auto set = state.evacuations();
    for (const auto& entry : set.evacuations())
    {
        names += entry.data_centre() + " ";
    }
    return names;
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

// Guards against an evacuation that a repeated call changes or undoes, and
// against one that nobody can trace to an operator.
TEST(control_state, evacuations_are_idempotent_and_audited)
{
    control_state state;
    EXPECT_FALSE(state.apply(1, evacuate("a", "dc2")).unchanged());
    const auto repeated = state.apply(2, evacuate("b", "dc2"));
    EXPECT_EQ(repeated.code(), wire::command_accepted);
    EXPECT_TRUE(repeated.unchanged());
    EXPECT_EQ(state.evacuations().index(), 1U);
    EXPECT_FALSE(state.apply(3, evacuate("c", "dc1")).unchanged());
    EXPECT_EQ(evacuated(state), "dc1 dc2 ");
    EXPECT_TRUE(state.apply(4, evacuate("d", "dc3", false)).unchanged());
    EXPECT_FALSE(state.apply(5, evacuate("e", "dc2", false)).unchanged());
    EXPECT_TRUE(state.apply(6, evacuate("f", "dc2", false)).unchanged());
    EXPECT_EQ(evacuated(state), "dc1 ");
    EXPECT_EQ(state.evacuations().index(), 5U);
    EXPECT_EQ(state.evacuations().evacuations(0).operator_name(), "ana");
    EXPECT_EQ(state.evacuations().evacuations(0).time_ms(), 2000);
    EXPECT_EQ(state.version(), 0U);
    const auto records = state.audit(0, 10);
    ASSERT_EQ(records.size(), 6U);
    EXPECT_EQ(records[0].action(), "start_evacuation dc2");
    EXPECT_EQ(records[0].operator_name(), "ana");
    EXPECT_EQ(records[1].message(), "unchanged");
    EXPECT_EQ(records[4].action(), "end_evacuation dc2");
    EXPECT_EQ(records[4].message(), "");
}

// Guards against a late resend of a start that undoes the end after it.
TEST(control_state, late_resend_of_a_start_does_not_evacuate_again)
{
    control_state state;
    state.apply(1, evacuate("a", "dc1"));
    state.apply(2, evacuate("b", "dc1", false));
    control_state restored;
    restored.restore(2, state.snapshot());
    for (auto* replica : {&state, &restored})
    {
        const auto resent = replica->apply(3, evacuate("a", "dc1"));
        EXPECT_EQ(resent.code(), wire::command_accepted);
        EXPECT_EQ(evacuated(*replica), "");
    }
}

// Guards against memory that grows with every name, and against an end that is
// refused when the table is full.
TEST(control_state, at_most_64_evacuations_are_kept)
{
    control_state state;
    std::uint64_t index = 0;
    for (std::size_t i = 0; i < max_evacuations; ++i)
    {
        ++index;
        EXPECT_EQ(
            state.apply(index, evacuate("", "dc" + std::to_string(i))).code(),
            wire::command_accepted);
    }
    const auto before = state.evacuations().SerializeAsString();
    const auto refused = state.apply(++index, evacuate("", "one-more"));
    EXPECT_EQ(refused.code(), wire::command_conflict);
    EXPECT_TRUE(contains(refused.message(), "64")) << refused.message();
    EXPECT_EQ(state.evacuations().SerializeAsString(), before);
    EXPECT_TRUE(state.apply(++index, evacuate("", "dc7")).unchanged());
    EXPECT_TRUE(state.apply(++index, evacuate("", "other", false)).unchanged());
    state.apply(++index, evacuate("", "dc7", false));
    EXPECT_EQ(state.apply(++index, evacuate("", "one-more")).code(),
              wire::command_accepted);
}

// Guards against names that could not be sent in a path or stored in settings.
TEST(control_state, malformed_names_are_not_evacuated)
{
    control_state state;
    std::uint64_t index = 0;
    const std::string longest(63, 'a');
    for (const auto& name :
         {std::string(), std::string("-a"), std::string("a/b"),
          std::string("a b"), std::string("a\0b", 3), longest + "a"})
    {
        for (const bool active : {true, false})
        {
            EXPECT_EQ(state.apply(++index, evacuate("", name, active)).code(),
                      wire::command_invalid)
                << name;
        }
    }
    EXPECT_EQ(evacuated(state), "");
    EXPECT_EQ(state.audit(0, 100).back().action(),
              "end_evacuation (invalid name)");
    EXPECT_EQ(state.apply(++index, evacuate("", longest)).code(),
              wire::command_accepted);
}

// Guards against a host that can not start on the snapshot of an earlier
// release, which has no evacuations, and against evacuations that stay from
// before a restore.
TEST(control_state, snapshots_of_earlier_releases_have_no_evacuations)
{
    control_state state;
    state.apply(1, write("r1", 0, "a"));
    wire::control_snapshot earlier;
    ASSERT_TRUE(earlier.ParseFromString(state.snapshot()));
    earlier.clear_evacuations();
    state.apply(2, evacuate("e", "dc1"));
    state.restore(1, earlier.SerializeAsString());
    EXPECT_EQ(evacuated(state), "");
    EXPECT_EQ(state.evacuations().index(), 0U);
    EXPECT_EQ(*state.document_text(), "a");
    state.apply(2, evacuate("e", "dc1"));
    EXPECT_EQ(evacuated(state), "dc1 ");
    EXPECT_EQ(state.view().evacuations.index(), 2U);
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
        const auto epoch = *rc::gen::inRange<std::uint64_t>(0, 8);
        const auto command =
            epoch > 5 ? evacuate(id, text, epoch == 6)
            : epoch > 3
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
