#include "state/fleet_state.hpp"

#include "support/fleet_bed.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

fleet_command document_command(std::uint64_t version, const std::string& text)
{
    fleet_command command;
    command.mutable_put_document()->set_version(version);
    command.mutable_put_document()->set_text(text);
    return command;
}

fleet_command end_command(const run_ref& run, run_end end)
{
    fleet_command command;
    *command.mutable_end()->mutable_run() = run;
    command.mutable_end()->set_worker("w1");
    command.mutable_end()->set_born_ms(1);
    command.mutable_end()->set_end(end);
    return command;
}

fleet_command place_command(const run_ref& run, std::int64_t born_ms = 1)
{
    fleet_command command;
    *command.mutable_place()->mutable_run() = run;
    command.mutable_place()->set_worker("w1");
    command.mutable_place()->set_born_ms(born_ms);
    return command;
}

// Guards against a document that goes back, or has two contents.
TEST(fleet_state, highest_document_version_wins)
{
    fleet_state state;
    EXPECT_EQ(state.apply(document_command(5, "five")), applied::changed);
    EXPECT_EQ(state.apply(document_command(5, "five")), applied::unchanged);
    EXPECT_EQ(state.apply(document_command(5, "other")), applied::refused);
    EXPECT_EQ(state.apply(document_command(4, "four")), applied::unchanged);
    EXPECT_EQ(state.document().text(), "five");
    EXPECT_EQ(state.apply(document_command(9, "nine")), applied::changed);
    EXPECT_EQ(state.document().version(), 9U);
}

// Guards against a second job from a repeated submission.
TEST(fleet_state, repeated_acceptance_is_one_job)
{
    fleet_bed bed;
    bed.submit("job", make_step(2, 1));
    bed.submit("job", make_step(5, 1));
    EXPECT_EQ(bed.state.find_job("job")->job.spec().steps(0).subtask_count(),
              2U);
}

// Guards against a second run of a subtask that has ended as done.
TEST(fleet_state, done_subtask_is_not_placed_again)
{
    fleet_bed bed;
    bed.add_worker("w1", "r1");
    bed.submit("job", make_step(1, 1));
    EXPECT_EQ(bed.state.apply(place_command(make_run("job", 0, 1))),
              applied::changed);
    EXPECT_EQ(bed.state.apply(end_command(make_run("job", 0, 1), run_done)),
              applied::changed);
    EXPECT_EQ(bed.state.apply(place_command(make_run("job", 0, 2))),
              applied::refused);
    EXPECT_EQ(bed.state.find_job("job")->done_occurrences, 1U);
}

// Guards against an end that is counted twice.
TEST(fleet_state, repeated_end_counts_once)
{
    fleet_bed bed;
    bed.add_worker("w1", "r1");
    bed.submit("job", make_step(1, 1));
    bed.state.apply(place_command(make_run("job", 0, 1)));
    const auto end = end_command(make_run("job", 0, 1), run_failed);
    EXPECT_EQ(bed.state.apply(end), applied::changed);
    EXPECT_EQ(bed.state.apply(end), applied::unchanged);
    EXPECT_EQ(bed.state.find_subtask(make_run("job", 0, 1))->failures, 1U);
}

// Guards against a placement on an incarnation that is gone, after a cancel, or
// with a run number that was used.
TEST(fleet_state, outdated_placements_are_refused)
{
    fleet_bed bed;
    bed.add_worker("w1", "r1");
    bed.submit("job", make_step(1, 1));
    EXPECT_EQ(bed.state.apply(place_command(make_run("job", 0, 1), 2)),
              applied::refused);
    bed.state.apply(place_command(make_run("job", 0, 1)));
    EXPECT_EQ(bed.state.apply(place_command(make_run("job", 0, 1))),
              applied::refused);
    fleet_command cancel;
    cancel.mutable_cancel()->set_job("job");
    EXPECT_EQ(bed.state.apply(cancel), applied::changed);
    EXPECT_EQ(bed.state.apply(place_command(make_run("job", 0, 2))),
              applied::refused);
}

// Guards against an earlier incarnation's report that replaces a later one.
TEST(fleet_state, earlier_incarnation_does_not_return)
{
    fleet_bed bed;
    bed.add_worker("w1", "r1", 10);
    auto older = bed.state.workers().at("w1");
    older.set_born_ms(9);
    fleet_command command;
    *command.mutable_worker() = older;
    EXPECT_EQ(bed.state.apply(command), applied::refused);
    EXPECT_EQ(bed.state.workers().at("w1").born_ms(), 10);
}

// Guards against a restart that forgets or changes something.
TEST(fleet_state, snapshot_restores_everything)
{
    fleet_bed bed;
    bed.add_worker("w1", "r1");
    bed.state.apply(document_command(3, "three"));
    bed.submit("job", make_step(3, 1));
    bed.submit("gang", make_step(2, 1, true));
    bed.state.apply(place_command(make_run("job", 0, 1)));
    bed.state.apply(place_command(make_run("job", 1, 1)));
    bed.state.apply(place_command(make_run("gang", 0, 1)));
    bed.state.apply(end_command(make_run("job", 0, 1), run_done));
    bed.state.apply(end_command(make_run("gang", 0, 1), run_failed));
    fleet_state restored;
    ASSERT_TRUE(restored.restore(bed.state.snapshot()));
    EXPECT_EQ(restored.snapshot(), bed.state.snapshot());
    EXPECT_EQ(restored.find_step(make_run("job", 0, 1))->done_count, 1U);
    EXPECT_EQ(restored.find_step(make_run("job", 0, 1))->active_count, 1U);
    EXPECT_EQ(restored.find_step(make_run("gang", 0, 1))->failures, 1U);
    EXPECT_FALSE(restored.restore("no snapshot"));
}

} // namespace
} // namespace limpetstack::fleet
