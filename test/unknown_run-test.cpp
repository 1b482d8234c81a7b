// Checks how the leader treats runs that a worker lists and that the leader
// does not have there: they occupy the worker until they have certainly ended.
#include "coordination/fleet/worker_fleet.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr std::int64_t all_accelerators = 8; // Of one worker.
constexpr milliseconds stop_time{900};       // The longest stop.

hold_answer lists(const fleet_fixture& fixture)
{
    hold_answer answer;
    answer.result = order_result::accepted;
    answer.lists.worker_time_ms = fixture.worker_clock();
    answer.lists.born_ms = 1;
    return answer;
}

hold_answer lists_with(const fleet_fixture& fixture, const run_ref& run)
{
    auto answer = lists(fixture);
    answer.lists.running.push_back({run, "", 10});
    return answer;
}

// Answers the open hold of w1.
void answer_hold(fleet_fixture& fixture, const hold_answer& answer)
{
    for (auto at = fixture.port.holds.begin(); at != fixture.port.holds.end();
         ++at)
    {
        if (at->order.worker == "w1")
        {
            const auto hold = *at;
            fixture.port.holds.erase(at);
            hold.done(answer);
            fixture.commit();
            return;
        }
    }
    FAIL() << "no hold of w1 is open";
}

// Takes the stop that was sent to w1.
fake_worker_port::sent_stop take_stop(fleet_fixture& fixture)
{
    if (fixture.port.stops.empty())
    {
        ADD_FAILURE() << "no stop was sent";
        return {"", {}, [](const order_answer&) {}};
    }
    auto stop = std::move(fixture.port.stops.front());
    fixture.port.stops.pop_front();
    EXPECT_EQ(stop.worker, "w1");
    return stop;
}

void acknowledge_stop(fleet_fixture& fixture)
{
    take_stop(fixture).done({order_result::accepted, fixture.worker_clock()});
}

// Adds the worker w1 and ends the first run of the job `lost` there, although
// it is at work.
void lose_run(fleet_fixture& fixture, const step_spec& step)
{
    fixture.add_worker("w1", "r1");
    fixture.submit("lost", step);
    fleet_command placed;
    *placed.mutable_place()->mutable_run() = make_run("lost", 0, 1);
    placed.mutable_place()->set_worker("w1");
    placed.mutable_place()->set_born_ms(1);
    ASSERT_EQ(fixture.state.apply(placed), apply_result::changed);
    fleet_command ended;
    *ended.mutable_end()->mutable_run() = make_run("lost", 0, 1);
    ended.mutable_end()->set_worker("w1");
    ended.mutable_end()->set_born_ms(1);
    ended.mutable_end()->set_end(run_lapsed);
    fixture.apply(ended);
    fixture.commit();
}

// Loses the run and lists it.
void list_unknown_run(fleet_fixture& fixture, const step_spec& step)
{
    lose_run(fixture, step);
    answer_hold(fixture, lists_with(fixture, make_run("lost", 0, 1)));
    ASSERT_EQ(fixture.port.stops.size(), 1U);
}

// Cancels the job of the unknown run, so that none of its subtasks is placed.
void cancel_lost(fleet_fixture& fixture)
{
    fleet_command command;
    command.mutable_cancel()->set_job("lost");
    fixture.apply(command);
    fixture.commit();
}

// Returns true when a run that needs all accelerators of a worker is started.
bool can_start(fleet_fixture& fixture)
{
    fixture.submit("other", make_step(1, all_accelerators));
    fixture.schedule();
    return !fixture.port.starts.empty();
}

// Guards against a start that exceeds the capacity of a worker, on which a run
// is at work that the leader does not have there.
TEST(unknown_run, occupies_its_worker)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    EXPECT_FALSE(can_start(fixture));
}

// Guards against the same while the run is being stopped: it is not listed as
// running then.
TEST(unknown_run, occupies_its_worker_until_the_longest_stop_is_over)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    acknowledge_stop(fixture);
    fixture.advance(stop_time / 2);
    answer_hold(fixture, lists(fixture));
    EXPECT_FALSE(can_start(fixture));
    // Lists that were requested before the longest stop was over prove nothing.
    fixture.advance(stop_time / 3);
    fixture.advance(stop_time / 3);
    answer_hold(fixture, lists(fixture));
    fixture.schedule();
    EXPECT_TRUE(fixture.port.starts.empty());
    fixture.advance(stop_time / 3);
    answer_hold(fixture, lists(fixture));
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 1U);
}

// Guards against capacity that is taken for free because the lists lack the run
// while no stop of it was answered: an earlier stop may be under way.
TEST(unknown_run, absence_without_an_acknowledged_stop_frees_nothing)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    fixture.advance(2 * stop_time);
    answer_hold(fixture, lists(fixture));
    EXPECT_FALSE(can_start(fixture));
}

// Guards against capacity that stays occupied after the end of the run.
TEST(unknown_run, listed_end_frees_the_worker)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    EXPECT_FALSE(can_start(fixture));
    fixture.advance(milliseconds(200));
    auto answer = lists(fixture);
    answer.lists.ended.push_back({1, make_run("lost", 0, 1), run_stopped, ""});
    answer_hold(fixture, answer);
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 1U);
}

// Guards against a run that stays at work because its only stop got lost.
TEST(unknown_run, stop_is_repeated_until_it_is_acknowledged)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    take_stop(fixture).done({});
    fixture.advance(milliseconds(200));
    // Nothing was done by an order that was answered as invalid.
    take_stop(fixture).done({order_result::invalid, fixture.worker_clock()});
    fixture.advance(milliseconds(200));
    acknowledge_stop(fixture);
    fixture.advance(milliseconds(1000));
    EXPECT_TRUE(fixture.port.stops.empty());
}

// Guards against a run that goes on for good because its worker acknowledged
// the stop and did not carry it out.
TEST(unknown_run, acknowledged_stop_without_effect_is_repeated)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    acknowledge_stop(fixture);
    const auto lost = make_run("lost", 0, 1);
    fixture.advance(stop_time / 2);
    answer_hold(fixture, lists_with(fixture, lost));
    EXPECT_TRUE(fixture.port.stops.empty());
    fixture.advance(stop_time);
    answer_hold(fixture, lists_with(fixture, lost));
    fixture.advance(stop_time);
    answer_hold(fixture, lists_with(fixture, lost));
    fixture.advance(milliseconds(200));
    EXPECT_EQ(fixture.port.stops.size(), 1U);
    EXPECT_EQ(fixture.workers->workers().at("w1").unknown_runs.size(), 1U);
}

// Guards against a run whose end is not seen because its worker, on which no
// other run is, is not asked for its lists.
TEST(unknown_run, lists_are_requested_without_a_lease)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    for (int i = 0; i < 5; ++i)
    {
        fixture.advance(milliseconds(200));
        ASSERT_FALSE(fixture.port.holds.empty()) << i;
        EXPECT_FALSE(fixture.port.holds.front().order.lease_end_ms) << i;
        answer_hold(fixture, lists_with(fixture, make_run("lost", 0, 1)));
    }
}

// Guards against a worker that gets no placements for good because it answers
// nothing: no run on it outlasts the longest lease.
TEST(unknown_run, ends_with_the_longest_lease)
{
    fleet_fixture fixture;
    list_unknown_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    EXPECT_EQ(used_accelerators(fixture), 1);
    for (int i = 0; i < 60; ++i)
    {
        fixture.advance(milliseconds(100));
        ASSERT_EQ(used_accelerators(fixture), 1) << i;
    }
    for (int i = 0; i < 5; ++i)
    {
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(used_accelerators(fixture), 0);
}

// Guards against a start beside a run whose needs are not known: its job is not
// in the replicated state.
TEST(unknown_run, of_an_unknown_job_occupies_the_whole_worker)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.start_leader();
    fixture.report("w1");
    fixture.commit();
    answer_hold(fixture, lists_with(fixture, make_run("forgotten", 0, 1)));
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    fixture.submit("other", make_step(1, 0));
    fixture.schedule();
    EXPECT_TRUE(fixture.port.starts.empty());
}

// Guards against an answer that is overtaken by a later one: the run that it
// lists as running has ended.
TEST(unknown_run, overtaken_lists_do_not_occupy_the_worker)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    accept_starts(fixture);
    fixture.commit();
    const auto overtaken = lists_with(fixture, make_run("job", 0, 1));
    fixture.advance(milliseconds(100));
    auto answer = lists(fixture);
    answer.lists.ended.push_back({1, make_run("job", 0, 1), run_done, ""});
    answer_hold(fixture, answer);
    EXPECT_EQ(used_accelerators(fixture), 0);
    answer_hold(fixture, overtaken);
    EXPECT_EQ(used_accelerators(fixture), 0);
    EXPECT_TRUE(fixture.port.stops.empty());
}

// Guards against two runs of a subtask at once: its next run starts elsewhere
// while an earlier one is still at work.
TEST(unknown_run, next_run_of_the_subtask_waits_for_its_end)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w2", "r1");
    list_unknown_run(fixture, make_step(1, all_accelerators));
    fixture.schedule();
    EXPECT_TRUE(fixture.port.starts.empty());
    acknowledge_stop(fixture);
    fixture.advance(milliseconds(200));
    auto answer = lists(fixture);
    answer.lists.ended.push_back({1, make_run("lost", 0, 1), run_stopped, ""});
    answer_hold(fixture, answer);
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts.front().order.run.run(), 2U);
}

// Guards against members of a gang that start alone, because the next run of
// one of them waits for the end of an earlier one.
TEST(unknown_run, all_members_of_a_gang_wait_for_its_end)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w2", "r1");
    list_unknown_run(fixture, make_step(2, 1, true));
    fixture.schedule();
    EXPECT_EQ(fixture.workers->runs().size(), 2U);
    EXPECT_TRUE(fixture.port.starts.empty());
}

// Guards against a start that exceeds the capacity of a worker: the run was
// placed there before the worker listed another one.
TEST(unknown_run, run_that_no_longer_fits_is_not_started)
{
    fleet_fixture fixture;
    lose_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    fixture.submit("other", make_step(1, all_accelerators));
    fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
    ASSERT_EQ(fixture.workers->runs().count("other.0.0.0#1"), 1U);
    answer_hold(fixture, lists_with(fixture, make_run("lost", 0, 1)));
    EXPECT_TRUE(fixture.port.starts.empty());
    EXPECT_EQ(fixture.workers->runs().count("other.0.0.0#1"), 0U);
}

// Guards against the same when the worker has left the first attempt to start
// the run unanswered.
TEST(unknown_run, start_that_no_longer_fits_is_not_repeated)
{
    fleet_fixture fixture;
    lose_run(fixture, make_step(1, 1));
    cancel_lost(fixture);
    answer_hold(fixture, lists(fixture));
    ASSERT_TRUE(can_start(fixture));
    const auto start = fixture.port.starts.front();
    fixture.port.starts.clear();
    // The lists are requested because the answer is late.
    fixture.advance(milliseconds(350));
    answer_hold(fixture, lists_with(fixture, make_run("lost", 0, 1)));
    start.done({});
    fixture.commit();
    EXPECT_TRUE(fixture.port.starts.empty());
}

// Guards against two runs of a subtask that nobody learns of.
TEST(unknown_run, second_run_of_a_subtask_is_counted)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w2", "r1");
    lose_run(fixture, make_step(1, 1));
    fixture.workers->avoid("w1", fixture.now + stop_time);
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    ASSERT_EQ(fixture.port.starts.front().order.worker, "w2");
    accept_starts(fixture);
    fixture.commit();
    answer_hold(fixture, lists_with(fixture, make_run("lost", 0, 1)));
    EXPECT_EQ(fixture.counters.counter("subtasks_running_twice_total"), 1U);
}

// Guards against a second run of a subtask whose unknown run is on a worker
// that leaves, because the worker is forgotten together with that run.
TEST(unknown_run, unknown_run_of_leaving_worker_blocks_its_subtask)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(2, 4));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    fixture.commit();
    end_run(fixture, make_run("job", 0, 1), run_lapsed);
    fixture.advance(milliseconds(200));
    ASSERT_FALSE(fixture.port.holds.empty());
    for (auto& hold : std::exchange(fixture.port.holds, {}))
    {
        auto answer = lists(fixture);
        answer.lists.running.push_back({make_run("job", 0, 1), "", 10});
        answer.lists.running.push_back({make_run("job", 1, 1), "", 10});
        hold.done(answer);
    }
    fixture.commit();
    ASSERT_EQ(fixture.workers->workers().at("w1").unknown_runs.size(), 1U);
    fixture.add_worker("w2", "r2");
    fixture.commit();
    for (auto& hold : std::exchange(fixture.port.holds, {}))
    {
        if (hold.order.worker == "w2")
        {
            hold.done(lists(fixture));
        }
        else
        {
            fixture.port.holds.push_back(hold);
        }
    }
    fixture.schedule();
    fixture.advance(milliseconds(50));
    ASSERT_EQ(fixture.workers->runs().count("job.0.0.0#2"), 1U);
    EXPECT_TRUE(fixture.port.starts.empty()); // It waits.
    // The stop of the unknown run is not answered. The other run ends.
    fixture.drain("w1");
    bool left = false;
    fixture.depart("w1",
                   [&left]
                   {
                       left = true;
                   });
    for (auto& hold : std::exchange(fixture.port.holds, {}))
    {
        auto answer = lists(fixture);
        answer.lists.running.push_back({make_run("job", 0, 1), "", 10});
        listed_end end;
        end.number = 1;
        end.run = make_run("job", 1, 1);
        end.end = run_stopped;
        answer.lists.ended.push_back(end);
        hold.done(answer);
    }
    fixture.commit();
    fixture.advance(milliseconds(50));
    EXPECT_TRUE(fixture.port.starts.empty());
    fixture.advance(milliseconds(600));
    EXPECT_TRUE(left);
    EXPECT_TRUE(fixture.port.starts.empty())
        << "run " << fixture.port.starts.front().order.run.run()
        << " was sent to " << fixture.port.starts.front().order.worker;
    EXPECT_EQ(fixture.workers->workers().count("w1"), 1U);
}

} // namespace
} // namespace limpetstack::fleet
