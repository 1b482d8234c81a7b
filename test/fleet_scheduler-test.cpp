#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace limpetstack::fleet
{
namespace
{

// Guards against a step that starts before the steps that it depends on.
TEST(fleet_scheduler, later_step_waits_for_the_earlier_one)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fleet_command command;
    auto& job = *command.mutable_accept();
    job.set_id("job");
    job.set_queue("normal");
    *job.mutable_spec()->add_steps() = make_step(1, 1);
    *job.mutable_spec()->add_steps() = make_step(1, 1);
    job.mutable_spec()->mutable_steps(1)->add_after(0);
    fixture.apply(command);
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts.back().order.run.step(), 0U);
    end_run(fixture, make_run("job", 0, 1), run_done);
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    EXPECT_EQ(fixture.port.starts.back().order.run.step(), 1U);
}

// Guards against more runs than the queue's attempts allow, and against a job
// that cannot succeed but is never marked as failed.
TEST(fleet_scheduler, job_fails_after_its_attempts)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    end_run(fixture, make_run("job", 0, 1), run_failed);
    fixture.schedule();
    end_run(fixture, make_run("job", 0, 2), run_failed);
    fixture.schedule();
    EXPECT_TRUE(fixture.state.find_job("job")->failed);
    EXPECT_EQ(fixture.port.starts.size(), 2U);
}

// Guards against an ended job that is not known any more because the time of
// day jumped ahead.
TEST(fleet_scheduler, ended_job_outlives_a_jump_of_the_time_of_day)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    end_run(fixture, make_run("job", 0, 1), run_done);
    fixture.schedule();
    ASSERT_TRUE(fixture.state.find_job("job")->complete);
    fixture.wall_ms += 200000;
    fixture.schedule();
    EXPECT_NE(fixture.state.find_job("job"), nullptr);
    fixture.start_leader();
    fixture.schedule();
    EXPECT_NE(fixture.state.find_job("job"), nullptr);
    fixture.advance(milliseconds(131000));
    fixture.schedule();
    EXPECT_EQ(fixture.state.find_job("job"), nullptr);
}

// Guards against a memory leak: failures of subtasks that stay recorded after
// their job was forgotten.
TEST(fleet_scheduler, forgetting_a_job_drops_its_recorded_failures)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    end_run(fixture, make_run("job", 0, 1), run_failed);
    EXPECT_EQ(fixture.scheduler->failed_subtasks(), 1U);
    fleet_command command;
    command.mutable_forget()->set_job("job");
    fixture.apply(command);
    EXPECT_EQ(fixture.scheduler->failed_subtasks(), 0U);
}

// Guards against an occurrence that starts before it is due.
TEST(fleet_scheduler, timed_job_waits_for_its_time)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fleet_command command;
    auto& job = *command.mutable_accept();
    job.set_id("job");
    job.set_queue("normal");
    job.mutable_spec()->set_repeat_count(2);
    job.mutable_spec()->set_first_run_ms(fixture.wall_ms + 1000);
    job.mutable_spec()->set_interval_ms(3000);
    *job.mutable_spec()->add_steps() = make_step(1, 1);
    fixture.apply(command);
    fixture.schedule();
    fixture.advance(milliseconds(900));
    fixture.schedule();
    EXPECT_TRUE(fixture.port.starts.empty());
    fixture.advance(milliseconds(200));
    fixture.report("w1");
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 1U);
    accept_starts(fixture);
    fixture.commit();
    fixture.advance(milliseconds(3000));
    fixture.report("w1");
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 2U);
}

// Guards against urgent work that has to wait for preemption shortly after
// other urgent work: capacity as large as recent urgent work took is not given
// to lower queues at once.
TEST(fleet_scheduler, headroom_is_reserved_after_urgent_work)
{
    fleet_fixture fixture;
    for (const auto* const worker : {"w1", "w2", "w3", "w4"})
    {
        add_ready_worker(fixture, worker, "r1");
    }
    fixture.submit("urgent", make_step(4, 2), "urgent");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 4U);
    accept_starts(fixture);
    fixture.submit("low", make_step(32, 1), "low");
    fixture.schedule();
    EXPECT_EQ(used_accelerators(fixture), 24);
    fixture.advance(milliseconds(5000));
    for (const auto* const worker : {"w1", "w2", "w3", "w4"})
    {
        fixture.report(worker);
    }
    confirm_workers(fixture);
    fixture.commit(); // Ends the starts that were not answered.
    fixture.schedule();
    EXPECT_EQ(used_accelerators(fixture), 32);
}

// Guards against lasting work that does not start although there is free
// capacity, and against a service whose work is limited by urgent work of
// another service.
TEST(fleet_scheduler, headroom_limits_only_its_service_and_no_lasting_work)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("urgent", make_step(2, 1), "urgent");
    fixture.schedule();
    accept_starts(fixture);
    fixture.submit("low", make_step(8, 1), "low");
    fixture.schedule();
    EXPECT_EQ(used_accelerators(fixture), 6);
    auto step = make_step(2, 1);
    step.set_lasting(true);
    fixture.submit("lasting", step, "low");
    fixture.schedule();
    EXPECT_EQ(used_accelerators(fixture), 8);

    fixture.add_worker("w2", "r1", 1, "other");
    confirm_workers(fixture);
    fleet_command command;
    auto& job = *command.mutable_accept();
    job.set_id("elsewhere");
    job.set_queue("other");
    *job.mutable_spec()->add_steps() = make_step(8, 1);
    fixture.apply(command);
    fixture.schedule();
    EXPECT_EQ(used_accelerators(fixture), 16);
}

// Guards against starts that a worker refuses because the queue's policy does
// not allow the worker, and against a queue with a policy whose jobs never run.
TEST(fleet_scheduler, queue_with_a_policy_runs_only_on_allowed_workers)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r1");
    fixture.submit("job", make_step(2, 1), "restricted");
    fixture.schedule();
    EXPECT_TRUE(fixture.port.starts.empty());
    ASSERT_EQ(fixture.policy.questions.size(), 1U);
    const auto asked = fixture.policy.questions.front();
    fixture.policy.questions.clear();
    EXPECT_EQ(asked.question.job, "job");
    EXPECT_EQ(asked.question.workers.size(), 2U);
    asked.done(std::vector<policy_ticket>{{"w2", "ticket"}});
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    for (const auto& start : fixture.port.starts)
    {
        EXPECT_EQ(start.order.worker, "w2");
        EXPECT_EQ(start.order.ticket, "ticket");
    }
    // The worker refuses the ticket, so the scheduler requests another one.
    fixture.port.starts[0].done(
        {order_result::bad_ticket, fixture.worker_clock()});
    fixture.commit();
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 2U);
    ASSERT_EQ(fixture.policy.questions.size(), 1U);
    EXPECT_EQ(fixture.policy.questions.front().question.workers,
              std::vector<std::string>{"w2"});
}

// Guards against urgent work that starts outside its preferred rack, where it
// takes several times as long because its data is remote, while runs in the
// Guards against a gang that waits until its reservation expires although the
// Guards against a gang of whole workers that never starts inside its guarantee
// Guards against an urgent step that waits until its reservation expires
// Guards against further preemptions for subtasks that already have runs
// Guards against placing more runs on a worker than its capacity allows.
TEST(fleet_scheduler, capacity_is_never_exceeded)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("a", make_step(5, 3));
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 2U);
}

// Guards against runs of a cancelled job that continue or start.
TEST(fleet_scheduler, cancelled_job_is_stopped)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(9, 1));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 8U);
    accept_starts(fixture);
    fleet_command cancel;
    cancel.mutable_cancel()->set_job("job");
    fixture.apply(cancel);
    EXPECT_EQ(fixture.port.stops.size(), 8U);
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 8U);
}

// Starts a job of one subtask on one worker, which accepts the start.
void start_one_run(fleet_fixture& fixture)
{
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    accept_starts(fixture);
}

// Guards against stopping a run as stalled only because its worker's answers
// were lost.
TEST(fleet_scheduler, silence_of_a_worker_does_not_count_as_stall)
{
    fleet_fixture fixture;
    start_one_run(fixture);
    fixture.advance(milliseconds(5500));
    fixture.schedule();
    EXPECT_TRUE(fixture.port.stops.empty());
}

// Advances the clock by `time` and answers each hold with the run at an
// unchanged percentage. Returns early when a stop is sent.
void list_run_without_progress(fleet_fixture& fixture, milliseconds time)
{
    constexpr milliseconds step_time{500};
    for (milliseconds passed{0}; passed < time && fixture.port.stops.empty();
         passed += step_time)
    {
        fixture.advance(step_time);
        fixture.report("w1");
        if (!fixture.port.holds.empty())
        {
            const auto hold = fixture.port.holds.front();
            fixture.port.holds.pop_front();
            hold_answer answer;
            answer.result = order_result::accepted;
            answer.lists.worker_time_ms = fixture.worker_clock();
            answer.lists.running.push_back({make_run("job", 0, 1), "", 10});
            hold.done(answer);
            fixture.commit();
        }
        fixture.schedule();
    }
}

// Guards against a run without progress that keeps its capacity forever.
TEST(fleet_scheduler, listed_run_without_progress_is_stopped)
{
    fleet_fixture fixture;
    start_one_run(fixture);
    list_run_without_progress(fixture, milliseconds(7000));
    EXPECT_EQ(fixture.port.stops.size(), 1U);
}

// Guards against stopping a run that takes hours and whose percentage therefore
// rises only about once a minute.
TEST(fleet_scheduler, long_run_without_progress_for_a_minute_is_not_stopped)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    auto step = make_step(1, 1);
    step.set_estimate_ms(3600000);
    fixture.submit("job", step);
    fixture.schedule();
    accept_starts(fixture);
    list_run_without_progress(fixture, milliseconds(60000));
    EXPECT_TRUE(fixture.port.stops.empty());
}

// Guards against a lasting step that is not started again after its run failed.
TEST(fleet_scheduler, lasting_step_starts_again)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    auto step = make_step(1, 1);
    step.set_lasting(true);
    fixture.submit("job", step);
    fixture.schedule();
    for (std::uint32_t run = 1; run <= 5; ++run)
    {
        ASSERT_EQ(fixture.port.starts.size(), run);
        end_run(fixture, make_run("job", 0, run), run_failed);
        fixture.schedule();
    }
    EXPECT_FALSE(fixture.state.find_job("job")->ended());
}

// Guards against starts beyond the capacity of a worker that has shrunk while
// it runs, and against capacity that stays unused after it has grown again.
TEST(fleet_scheduler, capacity_that_shrinks_and_grows_limits_starts)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("first", make_step(2, 1));
    fixture.schedule();
    accept_starts(fixture);
    const auto resize = [&fixture](std::int64_t accelerators)
    {
        fleet_command command;
        *command.mutable_worker() = fixture.state.workers().at("w1");
        command.mutable_worker()->mutable_capacity()->set_accelerators(
            accelerators);
        fixture.apply(command);
        fixture.schedule();
    };
    resize(1);
    fixture.submit("second", make_step(4, 1));
    fixture.schedule();
    EXPECT_EQ(used_accelerators(fixture), 2);
    resize(0);
    EXPECT_EQ(used_accelerators(fixture), 2);
    resize(4);
    EXPECT_EQ(used_accelerators(fixture), 4);
    resize(8);
    EXPECT_EQ(used_accelerators(fixture), 6);
}

} // namespace
} // namespace limpetstack::fleet
