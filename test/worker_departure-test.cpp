// Checks how the leader ends the runs of workers that leave or are proved gone.
#include "coordination/fleet/worker_fleet.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

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
    EXPECT_EQ(fixture.state.find_step(make_run("job", 0, 1))->done_count, 1U);
    fixture.advance(milliseconds(1000));
    EXPECT_EQ(fixture.workers->workers().count("w1"), 0U);
}

// Guards against a run that stays at work for the leader although its worker
// has left.
TEST(worker_departure, run_ends_shortly_after_the_departure)
{
    fleet_fixture fixture;
    start_run(fixture);
    remove_worker(fixture);
    fixture.advance(milliseconds(400));
    fixture.advance(milliseconds(100));
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
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
    EXPECT_EQ(fixture.state.find_step(make_run("job", 0, 1))->done_count, 1U);
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

} // namespace
} // namespace limpetstack::fleet
