#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr const char* wait_gauge = "longest_wait_ms{queue=\"normal\"}";

// Returns the line of the metric in the exposition format.
std::string gauge_line(const fleet_fixture& fixture, const std::string& name)
{
    const auto text = fixture.counters.text();
    const auto begin = text.find(name);
    return begin == std::string::npos
               ? std::string()
               : text.substr(begin, text.find('\n', begin) - begin);
}

// Guards against a step that waits without a trace in the metrics, and against
// a wait that is shown after it has ended.
TEST(fleet_waits, longest_wait_of_a_queue_is_shown_until_it_ends)
{
    fleet_fixture fixture;
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    fixture.advance(milliseconds(3000));
    fixture.schedule();
    EXPECT_EQ(gauge_line(fixture, wait_gauge),
              std::string(wait_gauge) + " 3000");
    add_ready_worker(fixture, "w1", "r1");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    fixture.advance(milliseconds(1000));
    fixture.schedule();
    EXPECT_EQ(gauge_line(fixture, wait_gauge), std::string(wait_gauge) + " 0");
}

// Guards against workers that get no placements for long without a trace in the
// metrics.
TEST(fleet_waits, workers_are_counted_by_availability)
{
    fleet_fixture fixture;
    for (const auto* const id : {"w1", "w2", "w3"})
    {
        add_ready_worker(fixture, id, "r1");
    }
    fixture.workers->avoid("w1", fixture.now + milliseconds(30000));
    fixture.advance(milliseconds(10000));
    fixture.report("w1");
    fixture.report("w2");
    fixture.schedule();
    EXPECT_EQ(gauge_line(fixture, "workers{state=\"avoided\"}"),
              "workers{state=\"avoided\"} 1");
    EXPECT_EQ(gauge_line(fixture, "workers{state=\"usable\"}"),
              "workers{state=\"usable\"} 1");
    EXPECT_EQ(gauge_line(fixture, "workers{state=\"unreachable\"}"),
              "workers{state=\"unreachable\"} 1");
}

// Guards against a step that can't start again because its last run is on a
// worker out of reach, or its placement is not applied, without a trace of it
// in the metrics.
TEST(fleet_waits, runs_that_keep_subtasks_from_starting_are_counted)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    const auto blocking = [&fixture](const std::string& state)
    {
        const auto line =
            gauge_line(fixture, "blocking_runs{state=\"" + state + "\"}");
        return line.substr(line.find(' ') + 1);
    };
    fixture.submit("job", make_step(1, 1));
    fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
    EXPECT_EQ(blocking("not_applied"), "1");
    fixture.commit();
    accept_starts(fixture);
    fixture.advance(milliseconds(500));
    fixture.schedule();
    EXPECT_EQ(blocking("not_applied"), "0");
    EXPECT_EQ(blocking("out_of_reach"), "0");
    // The worker neither reports nor answers.
    fixture.advance(milliseconds(4000));
    fixture.schedule();
    EXPECT_EQ(blocking("out_of_reach"), "1");
    const auto& ref = fixture.workers->runs().begin()->second.ref;
    EXPECT_EQ(blocking("end_not_applied"), "0");
    end_run(fixture, run_ref(ref), run_lapsed);
    fixture.advance(milliseconds(500));
    fixture.schedule();
    EXPECT_EQ(blocking("out_of_reach"), "0");
}

// Guards against a step that waits while less urgent work starts, without a
// trace of it in the metrics.
TEST(fleet_waits, accelerators_given_to_each_priority_are_counted)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("gang", make_step(2, 8, true), "normal");
    fixture.submit("low", make_step(3, 2), "low");
    fixture.schedule();
    EXPECT_EQ(gauge_line(fixture, "accelerators_given_total{priority=\"2\"}"),
              "accelerators_given_total{priority=\"2\"} 6");
    EXPECT_EQ(gauge_line(fixture, "accelerators_given_total{priority=\"1\"}"),
              "");
}

// Accepts the starts that were sent since the last call, and forgets them.
void accept_new_starts(fleet_fixture& fixture)
{
    accept_starts(fixture);
    fixture.port.starts.clear();
}

// Ends the run of the job that started first as done. The subtasks of a step
// start in the order of their indices.
void end_oldest_run(fleet_fixture& fixture, const std::string& job)
{
    const live_run* oldest = nullptr;
    for (const auto& [key, run] : fixture.workers->runs())
    {
        if (run.ref.job() == job &&
            (oldest == nullptr || run.ref.index() < oldest->ref.index()))
        {
            oldest = &run;
        }
    }
    if (oldest != nullptr)
    {
        end_run(fixture, run_ref(oldest->ref), run_done);
    }
}

// Ends all runs that were told to stop, as their workers would.
void end_stopped_runs(fleet_fixture& fixture)
{
    for (const auto& stop : fixture.port.stops)
    {
        if (fixture.workers->runs().count(worker_fleet::key_of(stop.run)) > 0)
        {
            end_run(fixture, stop.run, run_stopped);
        }
    }
}

// Guards against a gang that never starts on a full service because single
// subtasks of a less urgent queue take each accelerator as it becomes free.
TEST(fleet_waits, gang_starts_although_less_urgent_work_takes_freed_capacity)
{
    fleet_fixture fixture;
    const std::vector<std::string> ids{"w1", "w2", "w3", "w4"};
    for (const auto& id : ids)
    {
        add_ready_worker(fixture, id, "r1");
    }
    fixture.submit("low", make_step(500, 1), "low");
    fixture.schedule();
    accept_new_starts(fixture);
    ASSERT_EQ(used_accelerators(fixture), 32);
    const auto gang = make_step(2, 8, true);
    fixture.submit("gang", gang, "normal");
    // The objective of the job, less its run time: stretch 3, allowance 1 s.
    constexpr milliseconds latest_start{3 * 5000 + 1000 - 5000};
    // Each of the 32 runs takes its estimate, so one ends after each step.
    constexpr milliseconds step_time{5000 / 32};
    bool started = false;
    for (milliseconds waited{0}; waited < latest_start && !started;
         waited += step_time)
    {
        fixture.advance(step_time);
        for (const auto& id : ids)
        {
            fixture.report(id);
        }
        list_runs(fixture);
        end_stopped_runs(fixture);
        end_oldest_run(fixture, "low");
        fixture.schedule();
        started =
            std::any_of(fixture.port.starts.begin(), fixture.port.starts.end(),
                        [](const auto& start)
                        {
                            return start.order.run.job() == "gang";
                        });
        accept_new_starts(fixture);
    }
    EXPECT_TRUE(started);
}

// Guards against a queue that gets nothing on a full service because gangs of a
// more urgent queue always wait.
TEST(fleet_waits, less_urgent_work_keeps_a_share_beside_waiting_gangs)
{
    fleet_fixture fixture;
    const std::vector<std::string> ids{"w1", "w2", "w3", "w4"};
    for (const auto& id : ids)
    {
        add_ready_worker(fixture, id, "r1");
    }
    constexpr int gangs = 40;
    for (int i = 0; i < gangs; ++i)
    {
        fixture.submit("gang" + std::to_string(i), make_step(2, 4, true),
                       "normal");
    }
    fixture.schedule();
    accept_new_starts(fixture);
    ASSERT_EQ(used_accelerators(fixture), 32);
    fixture.submit("low", make_step(500, 1), "low");
    constexpr milliseconds step_time{1000};
    int next_gang = 0;
    for (milliseconds waited{0}; waited < milliseconds(20000);
         waited += step_time)
    {
        fixture.advance(step_time);
        for (const auto& id : ids)
        {
            fixture.report(id);
        }
        list_runs(fixture);
        const auto gang = "gang" + std::to_string(next_gang++);
        end_oldest_run(fixture, gang);
        end_oldest_run(fixture, gang);
        fixture.schedule();
        accept_new_starts(fixture);
    }
    std::int64_t low_accelerators = 0;
    for (const auto& [key, run] : fixture.workers->runs())
    {
        low_accelerators += run.ref.job() == "low" ? 1 : 0;
    }
    // A sixth of 32 accelerators, in whole ones.
    EXPECT_GE(low_accelerators, 5);
}

// Guards against a gang that is too large for the service and keeps all less
// urgent work from starting.
TEST(fleet_waits, gang_that_can_not_fit_holds_no_capacity)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    // More than half of the service is in use, so holds are possible.
    fixture.submit("early", make_step(5, 1), "low");
    fixture.schedule();
    accept_new_starts(fixture);
    fixture.submit("gang", make_step(2, 8, true), "normal");
    fixture.schedule();
    constexpr milliseconds step_time{500};
    for (milliseconds waited{0}; waited < milliseconds(6000);
         waited += step_time)
    {
        fixture.advance(step_time);
        fixture.report("w1");
        list_runs(fixture);
    }
    fixture.submit("low", make_step(3, 1), "low");
    fixture.schedule();
    EXPECT_EQ(used_accelerators(fixture), 8);
}

// Guards against a gang for one rack that starts across racks, where it runs
// several times as long, because its rack was not free within the usual wait.
TEST(fleet_waits,
     gang_that_a_rack_could_hold_waits_longer_before_it_spans_racks)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r1");
    add_ready_worker(fixture, "w3", "r2");
    add_ready_worker(fixture, "w4", "r2");
    auto single = make_step(1, 8);
    for (const auto* const job : {"a", "b", "c", "d"})
    {
        fixture.submit(job, single, "normal");
    }
    fixture.schedule();
    ASSERT_EQ(used_accelerators(fixture), 32);
    accept_new_starts(fixture);
    auto gang = make_step(2, 8, true);
    gang.set_same_rack(true);
    fixture.submit("gang", gang, "normal");
    fixture.schedule();
    // Frees one worker in each rack.
    for (const auto& id : {"w1", "w3"})
    {
        const auto key = *fixture.workers->workers().at(id).runs.begin();
        end_run(fixture, run_ref(fixture.workers->runs().at(key).ref),
                run_done);
    }
    const auto starts_after = [&fixture](milliseconds wait)
    {
        for (milliseconds passed{0}; passed < wait; passed += milliseconds(500))
        {
            fixture.advance(milliseconds(500));
            for (const auto* const id : {"w1", "w2", "w3", "w4"})
            {
                fixture.report(id);
            }
            list_runs(fixture);
            fixture.schedule();
        }
        return fixture.port.starts.size();
    };
    // The gang may be delayed by 11 s; it usually waits 0.8 of that for a rack.
    EXPECT_EQ(starts_after(milliseconds(12000)), 0U);
    EXPECT_EQ(starts_after(milliseconds(16000)), 2U);
}

} // namespace
} // namespace limpetstack::fleet
