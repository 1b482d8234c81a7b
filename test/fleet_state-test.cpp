#include "state/fleet_state.hpp"
#include "state/job_cost.hpp"

#include "support/fleet_fixture.hpp"

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

// Guards against a document that is replaced by an older version, and against
// two contents of the same version.
TEST(fleet_state, highest_document_version_wins)
{
    fleet_state state;
    EXPECT_EQ(state.apply(document_command(5, "five")), apply_result::changed);
    EXPECT_EQ(state.apply(document_command(5, "five")),
              apply_result::unchanged);
    EXPECT_EQ(state.apply(document_command(5, "other")), apply_result::refused);
    EXPECT_EQ(state.apply(document_command(4, "four")),
              apply_result::unchanged);
    EXPECT_EQ(state.document().text(), "five");
    EXPECT_EQ(state.apply(document_command(9, "nine")), apply_result::changed);
    EXPECT_EQ(state.document().version(), 9U);
}

// Guards against a repeated submission that creates a second job or replaces
// the first one.
TEST(fleet_state, repeated_acceptance_does_not_change_the_job)
{
    fleet_fixture fixture;
    fixture.submit("job", make_step(2, 1));
    fixture.submit("job", make_step(5, 1));
    EXPECT_EQ(
        fixture.state.find_job("job")->job.spec().steps(0).subtask_count(), 2U);
}

// Guards against another run of a subtask that is already done.
TEST(fleet_state, done_subtask_is_not_placed_again)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    fixture.submit("job", make_step(1, 1));
    EXPECT_EQ(fixture.state.apply(place_command(make_run("job", 0, 1))),
              apply_result::changed);
    EXPECT_EQ(fixture.state.apply(end_command(make_run("job", 0, 1), run_done)),
              apply_result::changed);
    EXPECT_EQ(fixture.state.apply(place_command(make_run("job", 0, 2))),
              apply_result::refused);
    EXPECT_EQ(fixture.state.find_job("job")->done_occurrences, 1U);
}

// Guards against a repeated end that is counted as a second failure.
TEST(fleet_state, repeated_end_counts_once)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.state.apply(place_command(make_run("job", 0, 1)));
    const auto end = end_command(make_run("job", 0, 1), run_failed);
    EXPECT_EQ(fixture.state.apply(end), apply_result::changed);
    EXPECT_EQ(fixture.state.apply(end), apply_result::unchanged);
    EXPECT_EQ(fixture.state.find_subtask(make_run("job", 0, 1))->failures, 1U);
}

// Guards against placements on an unknown incarnation of the worker, with a run
// number that is already used, or of a cancelled job.
TEST(fleet_state, outdated_placements_are_refused)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    fixture.submit("job", make_step(1, 1));
    EXPECT_EQ(fixture.state.apply(place_command(make_run("job", 0, 1), 2)),
              apply_result::refused);
    fixture.state.apply(place_command(make_run("job", 0, 1)));
    EXPECT_EQ(fixture.state.apply(place_command(make_run("job", 0, 1))),
              apply_result::refused);
    fleet_command cancel;
    cancel.mutable_cancel()->set_job("job");
    EXPECT_EQ(fixture.state.apply(cancel), apply_result::changed);
    EXPECT_EQ(fixture.state.apply(place_command(make_run("job", 0, 2))),
              apply_result::refused);
}

// Guards against a delayed report of an earlier incarnation that replaces the
// record of the current one.
TEST(fleet_state, earlier_incarnation_does_not_replace_the_current_one)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1", 10);
    auto older = fixture.state.workers().at("w1");
    older.set_born_ms(9);
    fleet_command command;
    *command.mutable_worker() = older;
    EXPECT_EQ(fixture.state.apply(command), apply_result::refused);
    EXPECT_EQ(fixture.state.workers().at("w1").born_ms(), 10);
}

// Guards against a restart that loses or changes a part of the state.
TEST(fleet_state, snapshot_restores_everything)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    fixture.state.apply(document_command(3, "three"));
    fixture.submit("job", make_step(3, 1));
    fixture.submit("gang", make_step(2, 1, true));
    fixture.state.apply(place_command(make_run("job", 0, 1)));
    fixture.state.apply(place_command(make_run("job", 1, 1)));
    fixture.state.apply(place_command(make_run("gang", 0, 1)));
    fixture.state.apply(end_command(make_run("job", 0, 1), run_done));
    fixture.state.apply(end_command(make_run("gang", 0, 1), run_failed));
    fleet_state restored;
    ASSERT_TRUE(restored.restore(fixture.state.snapshot()));
    EXPECT_EQ(restored.snapshot(), fixture.state.snapshot());
    EXPECT_EQ(restored.find_step(make_run("job", 0, 1))->done.size(), 1U);
    EXPECT_EQ(restored.find_step(make_run("job", 0, 1))->active.size(), 1U);
    EXPECT_EQ(restored.find_step(make_run("gang", 0, 1))->failures, 1U);
    EXPECT_FALSE(restored.restore("no snapshot"));
}

// Guards against costs that drift from the jobs that are kept, which would
// refuse jobs for ever or none at all.
TEST(fleet_state, costs_follow_the_jobs_that_are_kept)
{
    fleet_fixture fixture;
    EXPECT_EQ(fixture.state.jobs_cost(), 0U);
    fixture.submit("first", make_step(3, 1));
    fixture.submit("second", make_step(1, 1));
    const auto& first = *fixture.state.find_job("first");
    const auto& second = *fixture.state.find_job("second");
    EXPECT_EQ(first.cost, job_cost(first.job));
    EXPECT_EQ(fixture.state.jobs_cost(), first.cost + second.cost);
    EXPECT_EQ(fixture.state.jobs_cost(holder_of(first.job)),
              fixture.state.jobs_cost());
    fixture.submit("first", make_step(3, 1));
    fleet_state restored;
    ASSERT_TRUE(restored.restore(fixture.state.snapshot()));
    EXPECT_EQ(restored.jobs_cost(), first.cost + second.cost);
    const auto left = second.cost;
    fleet_command forget;
    forget.mutable_forget()->set_job("first");
    EXPECT_EQ(restored.apply(forget), apply_result::changed);
    EXPECT_EQ(restored.apply(forget), apply_result::unchanged);
    EXPECT_EQ(restored.jobs_cost(), left);
    forget.mutable_forget()->set_job("second");
    restored.apply(forget);
    EXPECT_EQ(restored.jobs_cost(), 0U);
    EXPECT_EQ(restored.jobs_cost(holder_of(first.job)), 0U);
}

// Guards against a host that can not read the snapshot of an earlier version,
// which holds all subtasks of a step in order.
TEST(fleet_state, snapshot_of_an_earlier_version_is_restored)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    fixture.submit("job", make_step(3, 1));
    fixture.submit("ended", make_step(1, 1));
    fleet_snapshot earlier;
    ASSERT_TRUE(earlier.ParseFromString(fixture.state.snapshot()));
    for (auto& job : *earlier.mutable_jobs())
    {
        auto& occurrence = *job.add_occurrences();
        auto& step = *occurrence.add_steps();
        auto& done = *step.add_subtasks();
        done.set_done(true);
        done.set_last_run(2);
        occurrence.set_done(job.job().id() == "ended");
        if (occurrence.done())
        {
            continue;
        }
        auto& at_work = *step.add_subtasks();
        at_work.set_last_run(3);
        at_work.set_failures(1);
        at_work.set_crashes(1);
        auto& run = *at_work.add_active();
        run.mutable_run()->set_run(3);
        run.set_worker("w1");
        run.set_born_ms(1);
        step.add_subtasks();
    }
    fleet_state restored;
    ASSERT_TRUE(restored.restore(earlier.SerializeAsString()));
    EXPECT_TRUE(restored.is_subtask_done(make_run("job", 0, 2)));
    EXPECT_FALSE(restored.is_subtask_done(make_run("job", 1, 3)));
    EXPECT_TRUE(restored.is_active(make_run("job", 1, 3), {"w1", 1}));
    EXPECT_EQ(restored.find_subtask(make_run("job", 1, 3))->failures, 1U);
    const auto& step = *restored.find_step(make_run("job", 0, 1));
    EXPECT_EQ(most_failures(step), 1U);
    EXPECT_EQ(step.crashed.count(1), 1U);
    EXPECT_EQ(step.subtask_count, 3U);
    EXPECT_TRUE(restored.is_subtask_done(make_run("ended", 0, 2)));
    EXPECT_EQ(restored.find_job("ended")->done_occurrences, 1U);
}

fleet_command crash_command(const run_ref& run, bool conclusive)
{
    fleet_command command;
    command.mutable_crash()->set_worker("w1");
    command.mutable_crash()->set_born_ms(1);
    command.mutable_crash()->set_address("w1:80");
    command.mutable_crash()->set_at_ms(7);
    command.mutable_crash()->set_conclusive(conclusive);
    *command.mutable_crash()->add_suspects() = run;
    return command;
}

// Guards against a crash that is counted twice when two leaders record it, and
// against counts that a snapshot loses.
TEST(fleet_state, crash_counts_once_for_a_run_and_survives_a_snapshot)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    fixture.submit("job", make_step(1, 1));
    const auto first = make_run("job", 0, 1);
    ASSERT_EQ(fixture.state.apply(place_command(first)), apply_result::changed);
    EXPECT_EQ(fixture.state.apply(crash_command(first, true)),
              apply_result::changed);
    EXPECT_EQ(fixture.state.apply(crash_command(first, true)),
              apply_result::unchanged);
    // Neither a run that was never placed nor an unknown job counts.
    EXPECT_EQ(fixture.state.apply(crash_command(make_run("job", 0, 2), true)),
              apply_result::unchanged);
    EXPECT_EQ(fixture.state.apply(crash_command(make_run("none", 0, 1), true)),
              apply_result::unchanged);
    fleet_state restored;
    ASSERT_TRUE(restored.restore(fixture.state.snapshot()));
    const auto* const subtask = restored.find_subtask(first);
    ASSERT_NE(subtask, nullptr);
    EXPECT_EQ(subtask->crashes, (std::vector<crash_record>{
                                    {1, "w1", "w1:80", 7, crash_cause::sole}}));
    EXPECT_EQ(restored.apply(crash_command(first, true)),
              apply_result::unchanged);
}

} // namespace
} // namespace limpetstack::fleet
