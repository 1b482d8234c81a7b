// Checks how the leader ends the runs of workers that leave or are proved gone.
#include "coordination/fleet/worker_fleet.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace limpetstack::fleet
{
namespace
{

const std::string first_run = "job.0.0.0#1";

hold_answer lists_with_end(const fleet_fixture& fixture, run_end end)
{
    hold_answer answer;
    answer.result = order_result::accepted;
    answer.lists.worker_time_ms = fixture.worker_clock();
    answer.lists.born_ms = 1;
    answer.lists.ended.push_back({1, make_run("job", 0, 1), end, ""});
    return answer;
}

// Adds a worker and a run at work on it, with an open hold.
void start_run(fleet_fixture& fixture)
{
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    fixture.commit();
    ASSERT_FALSE(fixture.port.holds.empty());
}

void remove_worker(fleet_fixture& fixture)
{
    fleet_command command;
    command.mutable_remove_worker()->set_id("w1");
    command.mutable_remove_worker()->set_born_ms(1);
    command.mutable_remove_worker()->set_gone(true);
    fixture.apply(command);
    fixture.commit();
}

constexpr milliseconds step_time{50};

// The longest time until all leases have expired, which were granted up to now:
// 6000 ms, with a margin of 100 ms, on a clock that is 2% slow, and one scan.
constexpr milliseconds longest_expiry{6300};

// Leaves all orders without an answer.
void lose_answers(fleet_fixture& fixture)
{
    for (auto& hold : std::exchange(fixture.port.holds, {}))
    {
        hold.done({});
    }
    for (auto& request : std::exchange(fixture.port.list_requests, {}))
    {
        request.done({});
    }
    for (auto& stop : std::exchange(fixture.port.stops, {}))
    {
        stop.done({});
    }
}

void acknowledge_stops(fleet_fixture& fixture)
{
    for (auto& stop : std::exchange(fixture.port.stops, {}))
    {
        stop.done({order_result::accepted, fixture.worker_clock()});
    }
}

// Lets time pass in which w1 answers nothing and the other workers report.
void pass_unanswered(fleet_fixture& fixture, milliseconds time)
{
    for (milliseconds passed{0}; passed < time; passed += step_time)
    {
        fixture.advance(step_time);
        for (const auto& [id, worker] : fixture.state.workers())
        {
            if (!worker.draining())
            {
                fixture.report(id);
            }
        }
        lose_answers(fixture);
        fixture.schedule();
    }
}

// Has a run on w1, which leaves, and another worker w2. Sets `answered` when
// the departure is answered.
void begin_departure(fleet_fixture& fixture, bool& answered)
{
    start_run(fixture);
    add_ready_worker(fixture, "w2", "r1");
    fixture.commit();
    fixture.drain("w1");
    fixture.depart("w1",
                   [&answered]
                   {
                       answered = true;
                   });
    fixture.commit();
}

// Guards against a subtask that runs twice because its worker, which the answer
// to its departure does not reach, runs on for some seconds.
TEST(worker_departure, no_second_start_while_a_leaving_worker_may_run_on)
{
    fleet_fixture fixture;
    bool answered = false;
    begin_departure(fixture, answered);
    pass_unanswered(fixture, milliseconds(3000));
    EXPECT_TRUE(answered);
    EXPECT_EQ(fixture.state.workers().count("w1"), 0U);
    EXPECT_TRUE(fixture.port.starts.empty());
    pass_unanswered(fixture, longest_expiry - milliseconds(3000));
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts.front().order.worker, "w2");
}

// Guards against a subtask that runs twice because the next leader finds its
// worker removed, which may run on.
TEST(worker_departure, next_leader_awaits_the_leases_of_a_removed_worker)
{
    fleet_fixture fixture;
    bool answered = false;
    begin_departure(fixture, answered);
    while (fixture.state.workers().count("w1") > 0)
    {
        pass_unanswered(fixture, step_time);
    }
    fixture.start_leader();
    fixture.report("w2");
    confirm_workers(fixture);
    // Any earlier leader may have granted a whole lease just now.
    pass_unanswered(fixture, milliseconds(6000));
    EXPECT_TRUE(fixture.port.starts.empty());
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
    pass_unanswered(fixture, longest_expiry - milliseconds(6000));
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts.front().order.worker, "w2");
}

// Guards against an order that ends such a run early: there is no worker to
// stop it on, which proves nothing.
TEST(worker_departure, stop_on_a_removed_worker_does_not_end_its_run)
{
    fleet_fixture fixture;
    start_run(fixture);
    remove_worker(fixture);
    fixture.start_leader();
    fleet_command cancel;
    cancel.mutable_cancel()->set_job("job");
    fixture.apply(cancel);
    fixture.schedule();
    fixture.workers->stop(first_run, "test", fixture.now);
    pass_unanswered(fixture, milliseconds(6000));
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
    pass_unanswered(fixture, longest_expiry - milliseconds(6000));
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against a run that is left on a removed worker and goes on under the
// next incarnation, which may have received its start.
TEST(worker_departure, next_incarnation_of_a_removed_worker_is_told_to_stop)
{
    fleet_fixture fixture;
    start_run(fixture);
    remove_worker(fixture);
    fixture.start_leader();
    fixture.port.stops.clear();
    fixture.add_worker("w1", "r1", 2);
    fixture.commit();
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    EXPECT_EQ(fixture.port.stops.front().worker, "w1");
    EXPECT_EQ(fixture.workers->workers().at("w1").used.accelerators, 1);
}

// Guards against work that is lost because a worker leaves before its runs have
// saved their state, and against a worker that leaves before they have ended.
TEST(worker_departure, runs_stop_before_the_worker_is_removed)
{
    fleet_fixture fixture;
    bool answered = false;
    begin_departure(fixture, answered);
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    EXPECT_EQ(fixture.port.stops.front().worker, "w1");
    acknowledge_stops(fixture);
    fixture.advance(milliseconds(300));
    EXPECT_FALSE(answered);
    EXPECT_EQ(fixture.state.workers().count("w1"), 1U);
    auto answer = lists_with_end(fixture, run_stopped);
    answer.lists.ended.front().checkpoint = "saved";
    ASSERT_FALSE(fixture.port.holds.empty());
    fixture.port.holds.front().done(answer);
    fixture.commit();
    EXPECT_TRUE(answered);
    EXPECT_EQ(fixture.state.workers().count("w1"), 0U);
    EXPECT_EQ(fixture.workers->workers().count("w1"), 0U);
    fixture.report("w2");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts.front().order.worker, "w2");
    EXPECT_EQ(fixture.port.starts.front().order.checkpoint, "saved");
}

// Guards against a departure that is answered too late for its sender, which
// then calls other hosts, when the worker answers no stop.
TEST(worker_departure, departure_is_answered_within_its_limit)
{
    fleet_fixture fixture;
    bool answered = false;
    begin_departure(fixture, answered);
    pass_unanswered(fixture, milliseconds(550));
    EXPECT_FALSE(answered);
    EXPECT_EQ(fixture.state.workers().count("w1"), 1U);
    pass_unanswered(fixture, milliseconds(100));
    EXPECT_TRUE(answered);
    EXPECT_EQ(fixture.state.workers().count("w1"), 0U);
}

// Guards against a departure that takes longer with each repeated call, and
// against a repeated call without an answer.
TEST(worker_departure, repeated_departure_call_does_not_start_anew)
{
    fleet_fixture fixture;
    bool answered = false;
    begin_departure(fixture, answered);
    const auto stops = fixture.port.stops.size();
    fixture.advance(milliseconds(400));
    bool repeated = false;
    fixture.depart("w1",
                   [&repeated]
                   {
                       repeated = true;
                   });
    fixture.commit();
    EXPECT_EQ(fixture.port.stops.size(), stops);
    EXPECT_FALSE(answered);
    EXPECT_FALSE(repeated);
    fixture.advance(milliseconds(250));
    EXPECT_TRUE(answered);
    EXPECT_TRUE(repeated);
}

// Guards against a lease that is renewed on a leaving worker, so that its runs
// hold back their steps for longer than needed.
TEST(worker_departure, lease_of_a_leaving_worker_is_not_renewed)
{
    fleet_fixture fixture;
    bool answered = false;
    begin_departure(fixture, answered);
    hold_answer still_running;
    still_running.result = order_result::accepted;
    still_running.lists.running.push_back({make_run("job", 0, 1), "", 10});
    ASSERT_FALSE(fixture.port.holds.empty());
    ASSERT_TRUE(fixture.port.holds.front().order.lease_end_ms);
    for (int step = 0; step < 10; ++step)
    {
        for (auto& hold : std::exchange(fixture.port.holds, {}))
        {
            still_running.lists.worker_time_ms = fixture.worker_clock();
            hold.done(still_running);
        }
        fixture.advance(step_time);
        ASSERT_FALSE(fixture.port.holds.empty());
        EXPECT_EQ(fixture.port.holds.front().order.worker, "w1");
        EXPECT_FALSE(fixture.port.holds.front().order.lease_end_ms);
        // Each hold waits for an end, so that few are sent.
        EXPECT_GT(fixture.port.holds.front().order.wait_limit_ms, 0);
    }
}

// Guards against a run that ends although its worker may still be stopping it,
// and against one that stays at work for the leader after that.
TEST(worker_departure, run_ends_when_an_acknowledged_stop_must_be_over)
{
    fleet_fixture fixture;
    bool answered = false;
    begin_departure(fixture, answered);
    acknowledge_stops(fixture);
    // The longest stop takes 900 ms.
    pass_unanswered(fixture, milliseconds(900));
    EXPECT_TRUE(answered);
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
    pass_unanswered(fixture, milliseconds(200));
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
    EXPECT_EQ(fixture.workers->workers().count("w1"), 0U);
}

// Guards against a run that ends before its lease, without any other proof, and
// against one that stays at work for the leader after that.
TEST(worker_departure, run_without_an_answer_ends_with_its_lease)
{
    fleet_fixture fixture;
    start_run(fixture);
    ASSERT_TRUE(fixture.port.holds.front().order.lease_end_ms);
    const auto lease_end = *fixture.port.holds.front().order.lease_end_ms;
    const auto expired_by = fixture.now + longest_expiry;
    remove_worker(fixture);
    while (fixture.worker_clock() < lease_end)
    {
        EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
        pass_unanswered(fixture, step_time);
    }
    pass_unanswered(fixture, expired_by - fixture.now);
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
    EXPECT_EQ(fixture.workers->workers().count("w1"), 0U);
}

// Guards against a start on a worker that is kept only until its runs have
// ended.
TEST(worker_departure, removed_worker_gets_no_runs)
{
    fleet_fixture fixture;
    start_run(fixture);
    remove_worker(fixture);
    fixture.port.starts.clear();
    ASSERT_EQ(fixture.workers->workers().count("w1"), 1U);
    const auto& worker = fixture.workers->workers().at("w1");
    EXPECT_FALSE(fixture.workers->is_present(worker, fixture.now));
    EXPECT_NE(fixture.workers->availability(worker, fixture.now),
              worker_availability::usable);
    fixture.submit("other", make_step(1, 1));
    fixture.schedule();
    EXPECT_TRUE(fixture.port.starts.empty());
}

// Guards against a second run of a subtask that was done when its worker left:
// the removal overtook the answer that lists the end.
TEST(worker_departure, end_listed_before_the_departure_counts)
{
    fleet_fixture fixture;
    start_run(fixture);
    remove_worker(fixture);
    fixture.advance(milliseconds(30));
    ASSERT_FALSE(fixture.port.holds.empty());
    fixture.port.holds.front().done(lists_with_end(fixture, run_done));
    fixture.commit();
    EXPECT_TRUE(fixture.state.is_subtask_done(make_run("job", 0, 1)));
    fixture.advance(milliseconds(1000));
    EXPECT_EQ(fixture.workers->workers().count("w1"), 0U);
}

// Guards against runs of a crashed worker that hold back their steps until the
// end of their lease, although a younger worker reports from its address.
TEST(worker_departure, runs_of_a_displaced_worker_end_at_once)
{
    fleet_fixture fixture;
    start_run(fixture);
    fixture.port.holds.front().done({});
    fixture.commit();
    ASSERT_EQ(fixture.workers->availability(fixture.workers->workers().at("w1"),
                                            fixture.now),
              worker_availability::unreachable);
    fixture.replace_worker("w1", "w2");
    fixture.advance(milliseconds(100));
    fixture.advance(milliseconds(100));
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
    EXPECT_EQ(fixture.state.workers().count("w1"), 0U);
    EXPECT_EQ(fixture.state.workers().count("w2"), 1U);
}

// Guards against a worker that answers and loses its runs because another one
// reports its address.
TEST(worker_departure, reachable_worker_is_not_displaced)
{
    fleet_fixture fixture;
    start_run(fixture);
    fixture.replace_worker("w1", "w2");
    fixture.advance(milliseconds(100));
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
}

// Guards against work that is repeated although it is done: the run was ended
// as lapsed in a cut, and its worker lists later that it had ended before.
TEST(worker_departure, end_listed_after_the_lapse_counts)
{
    fleet_fixture fixture;
    start_run(fixture);
    const auto lost_hold = fixture.port.holds.front();
    fixture.port.holds.clear();
    fixture.advance(milliseconds(7000));
    ASSERT_EQ(fixture.workers->runs().count(first_run), 0U);
    add_ready_worker(fixture, "w2", "r1");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    accept_starts(fixture);
    fixture.port.holds.clear();
    lost_hold.done({});
    fixture.report("w1");
    fixture.advance(milliseconds(1000));
    ASSERT_FALSE(fixture.port.holds.empty());
    ASSERT_EQ(fixture.port.holds.front().order.worker, "w1");
    fixture.port.holds.front().done(lists_with_end(fixture, run_done));
    fixture.commit();
    EXPECT_EQ(fixture.state.find_step(make_run("job", 0, 1))->done.size(), 1U);
    // The second run is stopped.
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    EXPECT_EQ(fixture.port.stops.front().run.run(), 2U);
}

// Guards against a start on a worker that answers nothing whose attempts each
// grant a new lease, so that the runs there end late.
TEST(worker_departure, attempts_of_a_start_share_one_lease)
{
    fleet_fixture fixture;
    start_run(fixture);
    fixture.submit("other", make_step(1, 1));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    const auto first_end = fixture.port.starts.front().order.lease_end_ms;
    while (!fixture.port.starts.empty())
    {
        const auto start = fixture.port.starts.front();
        fixture.port.starts.pop_front();
        EXPECT_EQ(start.order.lease_end_ms, first_end);
        fixture.advance(milliseconds(300));
        start.done({});
        fixture.commit();
    }
}

// Guards against a start that is sent to a worker which became unreachable
// after the placement, and that delays the subtask by a lease.
TEST(worker_departure, placement_on_an_unreachable_worker_is_not_started)
{
    fleet_fixture fixture;
    start_run(fixture);
    fixture.submit("other", make_step(1, 1));
    fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
    fixture.port.holds.front().done({});
    fixture.commit();
    EXPECT_TRUE(fixture.port.starts.empty());
    EXPECT_EQ(fixture.workers->runs().count("other.0.0.0#1"), 0U);
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
}

// Guards against a worker that has left and gets runs again, at once or after a
// restart of the leader, because a delayed report of it arrives.
TEST(worker_departure, delayed_report_does_not_bring_a_worker_back)
{
    fleet_fixture fixture;
    start_run(fixture);
    const auto record = fixture.state.workers().at("w1");
    remove_worker(fixture);
    fleet_state restored;
    ASSERT_TRUE(restored.restore(fixture.state.snapshot()));
    fleet_command late;
    *late.mutable_worker() = record;
    EXPECT_EQ(fixture.state.apply(late), apply_result::refused);
    EXPECT_EQ(restored.apply(late), apply_result::refused);
    EXPECT_TRUE(restored.workers().empty());
    // The next incarnation may use the id again.
    late.mutable_worker()->set_born_ms(2);
    EXPECT_EQ(restored.apply(late), apply_result::changed);
}

// Guards against subtasks that wait for a long lease of a worker that has left
// without listing their ends.
TEST(worker_departure, lease_of_a_draining_worker_is_short)
{
    fleet_fixture fixture;
    start_run(fixture);
    fixture.drain("w1");
    auto answer = lists_with_end(fixture, run_done);
    answer.lists.ended.clear();
    answer.lists.running.push_back({make_run("job", 0, 1), "", 10});
    const auto hold = fixture.port.holds.front();
    fixture.port.holds.clear();
    hold.done(answer);
    fixture.commit();
    ASSERT_EQ(fixture.port.holds.size(), 1U);
    const auto& order = fixture.port.holds.front().order;
    ASSERT_TRUE(order.lease_end_ms.has_value());
    EXPECT_LE(*order.lease_end_ms, fixture.worker_clock() + 3000);
    // The lease is renewed long before its end.
    EXPECT_LE(order.wait_limit_ms, 500);
}

} // namespace
} // namespace limpetstack::fleet
