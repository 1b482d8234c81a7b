// Checks what a new leader does when the one before it ended between a command
// and the stops that the command asks for. The stops that were sent are lost.
#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

void add_workers(fleet_fixture& fixture)
{
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r1");
}

void start_all(fleet_fixture& fixture)
{
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    fixture.commit();
}

// Replaces the leader. Orders of the earlier one have no effect.
void take_over(fleet_fixture& fixture)
{
    fixture.port.starts.clear();
    fixture.port.stops.clear();
    fixture.port.holds.clear();
    fixture.port.list_requests.clear();
    fixture.start_leader();
    fixture.schedule();
}

std::set<std::string> stopped_runs(const fleet_fixture& fixture)
{
    std::set<std::string> runs;
    for (const auto& stop : fixture.port.stops)
    {
        runs.insert(worker_fleet::key_of(stop.run));
    }
    return runs;
}

// Applies the end of a run that is not live any more, as if its worker had
// listed it late.
void apply_late_end(fleet_fixture& fixture, const run_ref& run,
                    const worker_incarnation& incarnation)
{
    fleet_command command;
    auto& ended = *command.mutable_end();
    *ended.mutable_run() = run;
    ended.set_worker(incarnation.worker);
    ended.set_born_ms(incarnation.born_ms);
    ended.set_end(run_done);
    fixture.apply(command);
}

void cancel(fleet_fixture& fixture, const std::string& job)
{
    fleet_command command;
    command.mutable_cancel()->set_job(job);
    fixture.apply(command);
}

using run_keys = std::set<std::string>;

// Guards against a run of a cancelled job that goes on because the leader that
// applied the cancelling ended before its stop arrived.
TEST(takeover, stops_the_runs_of_a_cancelled_job)
{
    fleet_fixture fixture;
    add_workers(fixture);
    fixture.submit("job", make_step(2, 1));
    fixture.submit("gang", make_step(2, 1, true));
    fixture.submit("other", make_step(1, 1));
    start_all(fixture);
    cancel(fixture, "job");
    cancel(fixture, "gang");
    take_over(fixture);
    EXPECT_EQ(stopped_runs(fixture), (run_keys{"gang.0.0.0#1", "gang.0.0.1#1",
                                               "job.0.0.0#1", "job.0.0.1#1"}));
}

// Guards against such a stop that is sent once only and lost.
TEST(takeover, repeats_the_stop_until_it_is_acknowledged)
{
    fleet_fixture fixture;
    add_workers(fixture);
    fixture.submit("job", make_step(1, 1));
    start_all(fixture);
    cancel(fixture, "job");
    take_over(fixture);
    for (int i = 0; i < 3; ++i)
    {
        ASSERT_EQ(fixture.port.stops.size(), 1U) << i;
        const auto lost = fixture.port.stops.front();
        fixture.port.stops.clear();
        lost.done({});
        fixture.advance(milliseconds(200));
    }
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    fixture.port.stops.front().done(
        {order_result::accepted, fixture.worker_clock()});
    fixture.port.stops.clear();
    fixture.advance(milliseconds(200));
    EXPECT_TRUE(fixture.port.stops.empty());
}

// Guards against the same with a job that failed.
TEST(takeover, stops_the_runs_of_a_failed_job)
{
    fleet_fixture fixture;
    add_workers(fixture);
    fixture.submit("job", make_step(2, 1));
    start_all(fixture);
    fleet_command fail;
    fail.mutable_fail()->set_job("job");
    fixture.apply(fail);
    take_over(fixture);
    EXPECT_EQ(stopped_runs(fixture), (run_keys{"job.0.0.0#1", "job.0.0.1#1"}));
}

// Guards against a second run of a subtask that goes on after the first one,
// which had counted as lapsed, was listed as done.
TEST(takeover, stops_the_later_run_of_a_done_subtask)
{
    for (const bool gang : {false, true})
    {
        fleet_fixture fixture;
        add_workers(fixture);
        fixture.submit("job", make_step(2, 1, gang));
        start_all(fixture);
        const auto first = make_run("job", 0, 1);
        const auto placed = fixture.workers->runs().at("job.0.0.0#1");
        end_run(fixture, first, run_lapsed);
        if (gang)
        {
            end_run(fixture, make_run("job", 1, 1), run_lapsed);
        }
        start_all(fixture);
        ASSERT_EQ(fixture.workers->runs().count("job.0.0.0#2"), 1U);
        apply_late_end(fixture, first, placed.incarnation);
        take_over(fixture);
        EXPECT_EQ(stopped_runs(fixture),
                  (gang ? run_keys{"job.0.0.0#2", "job.0.0.1#2"}
                        : run_keys{"job.0.0.0#2"}));
    }
}

// Guards against the rest of a gang that works on after a member has ended.
TEST(takeover, stops_the_rest_of_a_broken_gang)
{
    for (const auto end : {run_failed, run_lapsed, run_stopped})
    {
        fleet_fixture fixture;
        add_workers(fixture);
        fixture.submit("job", make_step(3, 1, true));
        start_all(fixture);
        end_run(fixture, make_run("job", 1, 1), end);
        take_over(fixture);
        EXPECT_EQ(stopped_runs(fixture),
                  (run_keys{"job.0.0.0#1", "job.0.0.2#1"}));
    }
}

// Guards against a gang of which the earlier leader placed only some members,
// and which therefore never starts.
TEST(takeover, stops_a_gang_that_was_placed_in_part)
{
    fleet_fixture fixture;
    add_workers(fixture);
    fixture.submit("job", make_step(3, 1, true));
    fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
    ASSERT_EQ(fixture.proposals.size(), 3U);
    const auto placed = fixture.proposals.front();
    fixture.proposals.clear();
    fixture.apply(placed);
    take_over(fixture);
    EXPECT_EQ(stopped_runs(fixture),
              (run_keys{worker_fleet::key_of(placed.place().run())}));
}

// Guards against a gang that works on although the worker of a member restarted
// shortly before or after the change of leader, or returns after its removal.
TEST(takeover, stops_the_gang_of_a_member_whose_worker_restarted)
{
    enum class order
    {
        restart_first,
        takeover_first,
        removal_first
    };
    for (const auto happens :
         {order::restart_first, order::takeover_first, order::removal_first})
    {
        fleet_fixture fixture;
        add_workers(fixture);
        fixture.submit("job", make_step(2, 8, true));
        start_all(fixture);
        const auto lost =
            fixture.workers->runs().at("job.0.0.0#1").incarnation.worker;
        fleet_command restarted;
        *restarted.mutable_worker() = fixture.state.workers().at(lost);
        restarted.mutable_worker()->set_born_ms(2);
        if (happens == order::removal_first)
        {
            fleet_command removed;
            removed.mutable_remove_worker()->set_id(lost);
            removed.mutable_remove_worker()->set_born_ms(1);
            ASSERT_EQ(fixture.state.apply(removed), apply_result::changed);
        }
        if (happens == order::restart_first)
        {
            ASSERT_EQ(fixture.state.apply(restarted), apply_result::changed);
        }
        take_over(fixture);
        if (happens != order::restart_first)
        {
            fixture.apply(restarted);
        }
        fixture.advance(milliseconds(200));
        const auto variant = static_cast<int>(happens);
        EXPECT_EQ(stopped_runs(fixture),
                  (run_keys{"job.0.0.0#1", "job.0.0.1#1"}))
            << variant;
        end_run(fixture, make_run("job", 0, 1), run_stopped);
        const auto& runs = fixture.workers->runs();
        ASSERT_EQ(runs.count("job.0.0.1#1"), 1U) << variant;
        EXPECT_TRUE(runs.at("job.0.0.1#1").stop_requested) << variant;
    }
}

// Guards against a takeover that stops work which has to go on: whole gangs,
// single subtasks, and the members of a gang whose first end was done.
TEST(takeover, leaves_other_runs_alone)
{
    fleet_fixture fixture;
    add_workers(fixture);
    fixture.submit("single", make_step(2, 1));
    fixture.submit("gang", make_step(2, 1, true));
    fixture.submit("ending", make_step(3, 1, true));
    start_all(fixture);
    end_run(fixture, make_run("ending", 0, 1), run_done);
    take_over(fixture);
    EXPECT_EQ(stopped_runs(fixture), run_keys());
    EXPECT_EQ(fixture.workers->runs().size(), 6U);
    // The snapshot keeps what the decision depends on.
    ASSERT_TRUE(fixture.state.restore(fixture.state.snapshot()));
    take_over(fixture);
    EXPECT_EQ(stopped_runs(fixture), run_keys());
}

// Guards against runs of cancelled jobs that are left at work by any order of
// cancellings, disconnections, lost answers and changes of the leader.
class takeover_model : public ::testing::TestWithParam<unsigned>
{
};

TEST_P(takeover_model, no_run_of_a_cancelled_job_is_left)
{
    constexpr int worker_count = 8;
    constexpr int fault_ticks = 400;
    constexpr int recovery_ticks = 300;
    constexpr milliseconds tick{50};
    std::mt19937 random(GetParam());
    fleet_fixture fixture;
    model_workers workers(fixture, GetParam() + 1000);
    for (int i = 0; i < worker_count; ++i)
    {
        workers.add("w" + std::to_string(i), "r" + std::to_string(i / 4));
    }
    workers.faults = {30, 10, 5};
    int jobs = 0;
    for (int t = 0; t < fault_ticks + recovery_ticks; ++t)
    {
        fixture.advance(tick);
        if (t == fault_ticks)
        {
            workers.faults = {};
            workers.reconnect_all();
        }
        if (t < fault_ticks)
        {
            if (random() % 5 == 0)
            {
                // Its runs last longer than the recovery.
                auto step = make_step(1 + random() % 4,
                                      1 + static_cast<int>(random() % 4),
                                      random() % 2 == 0);
                step.set_estimate_ms(60000);
                fixture.submit("job" + std::to_string(jobs++), step);
            }
            if (jobs > 0 && random() % 6 == 0)
            {
                cancel(fixture,
                       "job" + std::to_string(random() %
                                              static_cast<unsigned>(jobs)));
                if (random() % 2 == 0)
                {
                    fixture.start_leader();
                }
            }
            if (random() % 20 == 0)
            {
                workers.disconnect_for(workers.random_worker(),
                                       milliseconds(1000));
            }
        }
        if (t % 20 == 0)
        {
            workers.report_all();
        }
        workers.advance();
        fixture.schedule();
    }
    EXPECT_GT(workers.starts, 0U);
    for (const auto& violation : workers.violations)
    {
        ADD_FAILURE() << violation;
    }
    for (const auto& [id, job] : fixture.state.jobs())
    {
        EXPECT_FALSE(job.ended() && workers.has_run_of(id)) << id;
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, takeover_model, ::testing::Range(1U, 61U));

// The load that follows a loss of power of all core hosts: urgent gangs arrive
// at once, and a tenth of the workers has left meanwhile. Those go on answering
// until they end, but do not report that they stay.
// Guards against gangs that start on workers which are gone, and wait for their
// leases before they start again.
TEST(takeover, urgent_gangs_start_on_workers_that_stay)
{
    constexpr int worker_count = 40;
    constexpr int gang_count = 20;
    constexpr milliseconds start_limit{2000};
    fleet_fixture fixture;
    std::vector<std::string> staying;
    for (int i = 0; i < worker_count; ++i)
    {
        const auto id = "w" + std::to_string(i);
        add_ready_worker(fixture, id, "r" + std::to_string(i / 8));
        if (i % 10 != 0)
        {
            staying.push_back(id);
        }
    }
    fixture.start_leader();
    const auto began_at = fixture.now;
    std::map<std::string, time_point> accepted_at;
    std::map<std::string, time_point> started_at;
    std::size_t reported = 0;
    for (int tick = 0; tick < 60; ++tick)
    {
        fixture.advance(milliseconds(50));
        if (tick < gang_count / 2)
        {
            for (const auto* const part : {"a", "b"})
            {
                const auto id = part + std::to_string(tick);
                fixture.submit(id, make_step(3, 2, true), "urgent");
                accepted_at[id] = fixture.now;
            }
        }
        // Reports arrive spread over their interval.
        for (; reported < staying.size() &&
               began_at + milliseconds(40) * reported <= fixture.now;
             ++reported)
        {
            fixture.report(staying[reported]);
        }
        confirm_workers(fixture);
        fixture.schedule();
        for (const auto& start : fixture.port.starts)
        {
            EXPECT_EQ(
                std::count(staying.begin(), staying.end(), start.order.worker),
                1)
                << start.order.worker;
            started_at.emplace(start.order.run.job(), fixture.now);
        }
        fixture.port.starts.clear();
    }
    ASSERT_EQ(accepted_at.size(), static_cast<std::size_t>(gang_count));
    for (const auto& [id, at] : accepted_at)
    {
        ASSERT_EQ(started_at.count(id), 1U) << id;
        EXPECT_LE(started_at.at(id) - at, start_limit) << id;
    }
}

// Guards against gangs that never start because the reports of workers that
// answer take another way for a while.
TEST(takeover, gangs_start_without_reports_after_a_report_interval)
{
    fleet_fixture fixture;
    add_workers(fixture);
    fixture.start_leader();
    fixture.submit("gang", make_step(2, 8, true), "urgent");
    bool started = false;
    for (int tick = 0; tick < 60 && !started; ++tick)
    {
        fixture.advance(milliseconds(50));
        confirm_workers(fixture);
        fixture.schedule();
        started = fixture.port.starts.size() == 2;
    }
    EXPECT_TRUE(started);
}

} // namespace
} // namespace limpetstack::fleet
