// Checks when the leader takes a run for ended whose stop was answered as
// invalid: the worker has done nothing, and may carry out an earlier start.
#include "coordination/fleet/worker_fleet.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

const std::string stopped_run = "late.0.0.0#1";

hold_answer empty_lists(const fleet_fixture& fixture)
{
    hold_answer answer;
    answer.result = order_result::accepted;
    answer.lists.worker_time_ms = fixture.worker_clock();
    answer.lists.born_ms = 1;
    return answer;
}

// Answers open holds and list requests with the run that is at work, and stops
// as invalid.
void answer_all(fleet_fixture& fixture)
{
    auto lists = std::exchange(fixture.port.holds, {});
    for (auto& request : std::exchange(fixture.port.list_requests, {}))
    {
        lists.push_back(std::move(request));
    }
    for (const auto& request : lists)
    {
        auto answer = empty_lists(fixture);
        answer.lists.running.push_back({make_run("job", 0, 1), "", 10});
        request.done(answer);
    }
    for (const auto& stop : std::exchange(fixture.port.stops, {}))
    {
        stop.done({order_result::invalid, fixture.worker_clock()});
    }
    fixture.commit();
}

// Adds a worker with a run at work, and a second run there whose start is not
// answered and whose job is cancelled.
void stop_unanswered_start(fleet_fixture& fixture)
{
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    fixture.commit();
    fixture.submit("late", make_step(1, 1));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    fixture.workers->stop(stopped_run, "cancelled", fixture.now);
    ASSERT_EQ(fixture.port.stops.size(), 1U);
}

// Guards against a second run of a subtask whose stop was answered as invalid,
// while its start may still be carried out.
TEST(worker_stop, invalid_answer_does_not_acknowledge_a_stop)
{
    fleet_fixture fixture;
    stop_unanswered_start(fixture);
    for (int i = 0; i < 60; ++i)
    {
        answer_all(fixture);
        ASSERT_EQ(fixture.workers->runs().count(stopped_run), 1U) << i;
        fixture.advance(milliseconds(100));
    }
}

// Guards against a subtask that never runs again because each stop of its
// earlier run is answered as invalid.
TEST(worker_stop, run_without_an_acknowledged_stop_ends_after_its_lease)
{
    fleet_fixture fixture;
    stop_unanswered_start(fixture);
    for (int i = 0; i < 80; ++i)
    {
        answer_all(fixture);
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.workers->runs().count(stopped_run), 0U);
    EXPECT_EQ(fixture.workers->runs().count("job.0.0.0#1"), 1U);
}

// Guards against a run that goes on for good because its worker acknowledged
// the stop and did not carry it out, and against stops that are repeated while
// the first one may still take effect.
TEST(worker_stop, acknowledged_stop_without_effect_is_repeated)
{
    constexpr milliseconds longest_stop{900};
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    accept_starts(fixture);
    fixture.workers->stop("job.0.0.0#1", "cancelled", fixture.now);
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    fixture.port.stops.front().done(
        {order_result::accepted, fixture.worker_clock()});
    fixture.port.stops.clear();
    const auto acknowledged_at = fixture.now;
    while (fixture.port.stops.empty() &&
           fixture.now < acknowledged_at + 4 * longest_stop)
    {
        answer_all(fixture);
        fixture.report("w1");
        fixture.advance(milliseconds(100));
    }
    EXPECT_EQ(fixture.port.stops.size(), 1U);
    EXPECT_GE(fixture.now, acknowledged_at + longest_stop);
    EXPECT_EQ(fixture.workers->runs().count("job.0.0.0#1"), 1U);
}

// Guards against a stop that is sent over and over without a pause where many
// answers are lost, because its worker refuses it at once.
TEST(worker_stop, refused_stop_is_repeated_after_a_pause)
{
    for (const auto result : {order_result::invalid, order_result::unhealthy})
    {
        fleet_fixture fixture;
        stop_unanswered_start(fixture);
        for (int i = 0; i < 3; ++i)
        {
            ASSERT_EQ(fixture.port.stops.size(), 1U);
            const auto lost = fixture.port.stops.front();
            fixture.port.stops.clear();
            lost.done({});
            fixture.advance(milliseconds(200));
        }
        ASSERT_EQ(fixture.port.stops.size(), 1U);
        const auto refused = fixture.port.stops.front();
        fixture.port.stops.clear();
        refused.done({result, fixture.worker_clock()});
        EXPECT_TRUE(fixture.port.stops.empty());
        fixture.advance(milliseconds(200));
        EXPECT_EQ(fixture.port.stops.size(), 1U);
    }
}

// Guards against a run of an earlier leader that never ends because its stops
// are answered as invalid.
TEST(worker_stop, adopted_run_with_invalid_stop_ends)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    fixture.start_leader();
    fixture.port.holds.clear();
    fixture.port.list_requests.clear();
    for (int i = 0; i < 600; ++i) // 60 s
    {
        fixture.advance(milliseconds(100));
        fixture.report("w1");
        for (auto& hold : std::exchange(fixture.port.holds, {}))
        {
            hold.done(empty_lists(fixture));
        }
        for (auto& hold : std::exchange(fixture.port.list_requests, {}))
        {
            hold.done(empty_lists(fixture));
        }
        for (auto& stop : std::exchange(fixture.port.stops, {}))
        {
            stop.done({order_result::invalid, fixture.worker_clock()});
        }
        fixture.commit();
    }
    EXPECT_EQ(fixture.workers->runs().count("job.0.0.0#1"), 0U);
}

} // namespace
} // namespace limpetstack::fleet
