// Checks how the leader treats runs whose worker restarts under its id: orders
// for the earlier incarnation may have reached the next one.
#include "coordination/fleet/worker_fleet.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace limpetstack::fleet
{
namespace
{

const std::string first_run = "job.0.0.0#1";

// The clock of the next incarnation starts anew.
constexpr std::int64_t restarted_clock_ms = 40;

hold_answer lists_of(std::int64_t born_ms, std::int64_t worker_time_ms)
{
    hold_answer answer;
    answer.result = order_result::accepted;
    answer.lists.worker_time_ms = worker_time_ms;
    answer.lists.born_ms = born_ms;
    return answer;
}

// Answers every open hold and list request of w1 as the incarnation with the
// start time, on which nothing runs.
void answer_lists(fleet_fixture& fixture, std::int64_t born_ms)
{
    auto lists = std::exchange(fixture.port.holds, {});
    for (auto& request : std::exchange(fixture.port.list_requests, {}))
    {
        lists.push_back(std::move(request));
    }
    for (const auto& request : lists)
    {
        request.done(lists_of(born_ms, fixture.worker_clock()));
    }
    fixture.commit();
}

// Sends the start of a run to the worker w1.
void send_start(fleet_fixture& fixture)
{
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
}

// Takes the answer of a worker that accepted the start.
void accept_start(fleet_fixture& fixture, std::int64_t worker_time_ms)
{
    fixture.port.starts.front().done({order_result::accepted, worker_time_ms});
    fixture.port.starts.clear();
    fixture.commit();
}

void restart_worker(fleet_fixture& fixture)
{
    fixture.add_worker("w1", "r1", 2);
    fixture.port.holds.clear();
    fixture.commit();
}

// Stops the run at the next incarnation, on which it is at work or may start.
void stop_at_successor(fleet_fixture& fixture)
{
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    EXPECT_EQ(fixture.port.stops.front().worker, "w1");
    fixture.port.stops.front().done(
        {order_result::accepted, fixture.worker_clock()});
    fixture.port.stops.clear();
}

// Guards against a second run of a subtask whose start was accepted by the next
// incarnation of its worker, and against a start on the capacity that it has.
TEST(worker_restart, run_that_the_next_incarnation_accepted_is_stopped_there)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    restart_worker(fixture);
    add_ready_worker(fixture, "w2", "r1");
    fixture.submit("other", make_step(2, 8));
    fixture.schedule();
    ASSERT_EQ(fixture.workers->runs().count(first_run), 1U);
    EXPECT_EQ(fixture.workers->runs().count("job.0.0.0#2"), 0U);
    // One subtask of the other job fits on w2, none on w1.
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    EXPECT_EQ(fixture.port.starts.front().order.worker, "w2");
    stop_at_successor(fixture);
    fixture.advance(milliseconds(1000));
    answer_lists(fixture, 2);
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against a run that counts as ended when its stop is acknowledged,
// while the worker still takes time to stop it.
TEST(worker_restart, run_ends_only_when_the_longest_stop_is_over)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    restart_worker(fixture);
    stop_at_successor(fixture);
    fixture.advance(milliseconds(400));
    answer_lists(fixture, 2);
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
}

// Guards against the same after a change of leader: the start of the earlier
// leader was accepted by an incarnation that the new leader learns of later.
TEST(worker_restart, run_of_an_earlier_leader_is_stopped_at_the_successor)
{
    fleet_fixture fixture;
    send_start(fixture);
    fixture.port = {};
    fixture.start_leader();
    fixture.commit();
    restart_worker(fixture);
    add_ready_worker(fixture, "w2", "r1");
    fixture.schedule();
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
    EXPECT_EQ(fixture.workers->runs().count("job.0.0.0#2"), 0U);
    stop_at_successor(fixture);
}

// Guards against the same when the change of leader comes after the report of
// the next incarnation, before the end of the run is committed.
TEST(worker_restart, orphaned_run_is_stopped_at_the_successor)
{
    fleet_fixture fixture;
    send_start(fixture);
    fixture.port = {};
    fleet_command restarted;
    *restarted.mutable_worker() = fixture.state.workers().at("w1");
    restarted.mutable_worker()->set_born_ms(2);
    ASSERT_EQ(fixture.state.apply(restarted), apply_result::changed);
    fixture.start_leader();
    fixture.report("w1");
    fixture.commit();
    add_ready_worker(fixture, "w2", "r1");
    fixture.schedule();
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
    EXPECT_EQ(fixture.workers->runs().count("job.0.0.0#2"), 0U);
    fixture.advance(milliseconds(200));
    stop_at_successor(fixture);
}

// Guards against a subtask that stays at work for the leader because the next
// incarnation of its worker answers nothing.
TEST(worker_restart, run_ends_with_the_longest_lease_at_a_silent_successor)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    restart_worker(fixture);
    for (int i = 0; i < 60; ++i)
    {
        EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
        fixture.advance(milliseconds(100));
    }
    for (int i = 0; i < 5; ++i)
    {
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against a run that its crashed worker had listed and that waits for
// the next incarnation, where it can not be.
TEST(worker_restart, run_that_the_earlier_incarnation_listed_ends_at_once)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    ASSERT_FALSE(fixture.port.holds.empty());
    auto answer = lists_of(1, fixture.worker_clock());
    answer.lists.running.push_back({make_run("job", 0, 1), "", 10});
    const auto hold = fixture.port.holds.front();
    fixture.port.holds.clear();
    hold.done(answer);
    fixture.commit();
    restart_worker(fixture);
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against a second run while the next incarnation, which has not
// reported yet, holds a longer lease than the earlier one was granted.
TEST(worker_restart, lower_clock_in_an_answer_extends_the_lease)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, restarted_clock_ms);
    for (int i = 0; i < 60; ++i)
    {
        fixture.advance(milliseconds(100));
        ASSERT_EQ(fixture.workers->runs().count(first_run), 1U) << i;
    }
    for (int i = 0; i < 5; ++i)
    {
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Leaves all attempts to start the run without an answer.
void lose_starts(fleet_fixture& fixture, bool on_new_connection)
{
    order_answer missing;
    missing.on_new_connection = on_new_connection;
    while (!fixture.port.starts.empty())
    {
        const auto start = fixture.port.starts.front();
        fixture.port.starts.pop_front();
        start.done(missing);
    }
    fixture.commit();
}

// Guards against a second run of a subtask whose start the next incarnation
// accepted, on a clock on which the short first lease is far ahead, when its
// answer is lost.
TEST(worker_restart, unanswered_start_waits_for_the_longest_lease)
{
    fleet_fixture fixture;
    send_start(fixture);
    lose_starts(fixture, true);
    for (int i = 0; i < 60; ++i)
    {
        fixture.advance(milliseconds(100));
        ASSERT_EQ(fixture.workers->runs().count(first_run), 1U) << i;
    }
    for (int i = 0; i < 5; ++i)
    {
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against the same while an attempt is under way: it may still be
// answered, over a new connection, after the short lease.
TEST(worker_restart, open_attempt_counts_as_sent_to_the_next_incarnation)
{
    fleet_fixture fixture;
    send_start(fixture);
    for (int i = 0; i < 60; ++i)
    {
        fixture.advance(milliseconds(100));
        ASSERT_EQ(fixture.workers->runs().count(first_run), 1U) << i;
    }
    for (int i = 0; i < 15; ++i)
    {
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against a subtask that waits for the longest lease although its start
// can only have reached the incarnation with the short lease.
TEST(worker_restart, first_lease_bounds_a_start_on_an_open_connection)
{
    fleet_fixture fixture;
    send_start(fixture);
    lose_starts(fixture, false);
    for (int i = 0; i < 12; ++i)
    {
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against a subtask that waits for the longest lease although reports
// show that its worker has not restarted.
TEST(worker_restart, first_lease_bounds_a_worker_that_goes_on_reporting)
{
    fleet_fixture fixture;
    send_start(fixture);
    lose_starts(fixture, true);
    for (int i = 0; i < 12; ++i)
    {
        fixture.advance(milliseconds(100));
        fixture.report("w1");
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against placements on a worker that has restarted and has not reported
// yet.
TEST(worker_restart, worker_with_other_start_time_gets_no_placement)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.start_leader();
    fixture.report("w1");
    fixture.commit();
    ASSERT_EQ(fixture.workers->availability(fixture.workers->workers().at("w1"),
                                            fixture.now),
              worker_availability::usable);
    answer_lists(fixture, 2);
    EXPECT_EQ(fixture.workers->availability(fixture.workers->workers().at("w1"),
                                            fixture.now),
              worker_availability::unreachable);
    restart_worker(fixture);
    EXPECT_EQ(fixture.workers->availability(fixture.workers->workers().at("w1"),
                                            fixture.now),
              worker_availability::usable);
}

// Lists the end of the run of w1 as its first one, and commits it.
void list_end(fleet_fixture& fixture)
{
    fixture.commit();
    ASSERT_FALSE(fixture.port.holds.empty());
    auto answer = lists_of(1, fixture.worker_clock());
    answer.lists.ended.push_back({1, make_run("job", 0, 1), run_done, ""});
    const auto hold = fixture.port.holds.front();
    fixture.port.holds.clear();
    hold.done(answer);
    fixture.commit();
    ASSERT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against the same when the time of day was set back before the restart.
TEST(worker_restart, worker_with_lower_start_time_gets_no_placement)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1", 5);
    fixture.commit();
    ASSERT_EQ(fixture.workers->availability(fixture.workers->workers().at("w1"),
                                            fixture.now),
              worker_availability::usable);
    answer_lists(fixture, 3);
    EXPECT_TRUE(fixture.workers->workers().at("w1").replaced_at.has_value());
}

// Guards against an end of the next incarnation that the worker forgets because
// a request that was meant for the earlier one acknowledges its number.
TEST(worker_restart, end_is_acknowledged_only_until_the_worker_answers)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    list_end(fixture);
    fixture.advance(milliseconds(200));
    ASSERT_FALSE(fixture.port.holds.empty());
    EXPECT_EQ(fixture.port.holds.front().order.last_recorded_end, 1U);
    answer_lists(fixture, 1);
    fixture.submit("other", make_step(1, 8));
    fixture.schedule();
    accept_start(fixture, fixture.worker_clock());
    fixture.advance(milliseconds(200));
    ASSERT_FALSE(fixture.port.holds.empty());
    EXPECT_EQ(fixture.port.holds.front().order.last_recorded_end, 0U);
}

// Guards against the same when the next incarnation has answered, and the end
// of the earlier one was not acknowledged.
TEST(worker_restart, nothing_is_acknowledged_to_a_successor)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    list_end(fixture);
    fixture.advance(milliseconds(200));
    answer_lists(fixture, 2);
    fixture.advance(milliseconds(1200));
    ASSERT_FALSE(fixture.port.holds.empty());
    EXPECT_EQ(fixture.port.holds.front().order.last_recorded_end, 0U);
}

// Guards against the same when the worker left a request unanswered, as it does
// while it restarts.
TEST(worker_restart, nothing_is_acknowledged_while_an_answer_is_missing)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    list_end(fixture);
    fixture.advance(milliseconds(200));
    ASSERT_EQ(fixture.port.holds.size(), 1U);
    ASSERT_EQ(fixture.port.holds.front().order.last_recorded_end, 1U);
    const auto unanswered = fixture.port.holds.front();
    fixture.port.holds.clear();
    unanswered.done({});
    fixture.advance(milliseconds(1200));
    ASSERT_FALSE(fixture.port.holds.empty());
    EXPECT_EQ(fixture.port.holds.front().order.last_recorded_end, 0U);
    answer_lists(fixture, 1);
    fixture.advance(milliseconds(1200));
    ASSERT_FALSE(fixture.port.holds.empty());
    EXPECT_EQ(fixture.port.holds.front().order.last_recorded_end, 1U);
}

// Guards against placements on a worker that has restarted, which shows first
// in the answer to a stop.
TEST(worker_restart, lower_clock_in_the_answer_to_a_stop_shows_the_restart)
{
    fleet_fixture fixture;
    send_start(fixture);
    accept_start(fixture, fixture.worker_clock());
    fixture.workers->stop(first_run, "preempted", fixture.now);
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    fixture.port.stops.front().done(
        {order_result::accepted, restarted_clock_ms});
    fixture.commit();
    EXPECT_EQ(fixture.workers->availability(fixture.workers->workers().at("w1"),
                                            fixture.now),
              worker_availability::unreachable);
}

// Guards against a worker that is cut off for a moment and loses its runs
// because a crashed one at its address had a clock that was ahead.
TEST(worker_restart, worker_is_not_displaced_by_an_earlier_one)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.replace_worker("w1", "w0"); // The start time of w0 is later.
    for (int i = 0; i < 4; ++i)
    {
        fixture.advance(milliseconds(1500));
        fixture.report("w1");
        confirm_workers(fixture);
    }
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    ASSERT_EQ(fixture.port.starts.front().order.worker, "w1");
    fixture.port.holds.clear();
    accept_start(fixture, fixture.worker_clock());
    for (int i = 0; i < 10; ++i)
    {
        auto holds = std::exchange(fixture.port.holds, {});
        for (const auto& hold : holds)
        {
            hold.done({});
        }
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
    EXPECT_EQ(fixture.state.workers().count("w1"), 1U);
}

} // namespace
} // namespace limpetstack::fleet
