// Checks what the leader concludes from answers about restarts of workers.
#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

const std::string first_run = "job.0.0.0#1";

hold_answer lists_of(std::int64_t born_ms, std::int64_t worker_time_ms)
{
    hold_answer answer;
    answer.result = order_result::accepted;
    answer.lists.worker_time_ms = worker_time_ms;
    answer.lists.born_ms = born_ms;
    return answer;
}

// Guards against a worker that is taken for restarted because a start was
// answered after a later order had been sent.
TEST(restart_evidence, late_start_answer_is_no_restart)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    fixture.advance(milliseconds(10));
    const auto carried_out_at = fixture.worker_clock();
    fixture.advance(milliseconds(20));
    fixture.report("w1"); // Read after the start was carried out.
    fixture.workers->stop(first_run, "cancelled", fixture.now);
    fixture.port.starts.front().done({order_result::accepted, carried_out_at});
    fixture.commit();
    EXPECT_FALSE(fixture.workers->workers().at("w1").replaced_at.has_value());
    fixture.advance(milliseconds(1000));
    fixture.report("w1");
    EXPECT_EQ(fixture.workers->availability(fixture.workers->workers().at("w1"),
                                            fixture.now),
              worker_availability::usable);
}

// Guards against a second run while the next incarnation may hold the longest
// lease from an attempt that was sent when it was already known.
TEST(restart_evidence, no_start_is_repeated_to_a_known_successor)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    bool answered = false;
    time_point last_start = fixture.now;
    int attempts_after = 0;
    std::deque<fake_worker_port::sent_start> open;
    while (fixture.workers->runs().count(first_run) > 0 &&
           fixture.now < last_start + milliseconds(20000))
    {
        for (auto& start : std::exchange(fixture.port.starts, {}))
        {
            last_start = fixture.now;
            attempts_after += answered ? 1 : 0;
            open.push_back(start);
        }
        fixture.advance(milliseconds(300));
        for (auto& hold : std::exchange(fixture.port.holds, {}))
        {
            // One answer of the next incarnation; later ones are lost.
            hold.done(answered ? hold_answer() : lists_of(2, 40));
            answered = true;
        }
        for (auto& hold : std::exchange(fixture.port.list_requests, {}))
        {
            hold.done({});
        }
        for (auto& start : std::exchange(open, {}))
        {
            start.done({order_result::unknown, 0});
        }
        for (auto& stop : std::exchange(fixture.port.stops, {}))
        {
            stop.done({});
        }
        fixture.commit();
    }
    EXPECT_EQ(attempts_after, 0);
    // The next incarnation may have taken the last attempt for 6000 ms.
    EXPECT_GE((fixture.now - last_start).count(), 6000);
}

// Guards against a run that never ends because the next incarnation of its
// worker answers and does not report.
TEST(restart_evidence, runs_of_a_replaced_worker_end_without_a_report)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    for (int i = 0; i < 600; ++i) // 60 s
    {
        fixture.advance(milliseconds(100));
        for (auto& hold : std::exchange(fixture.port.holds, {}))
        {
            hold.done(lists_of(2, 40 + 100 * i));
        }
        for (auto& hold : std::exchange(fixture.port.list_requests, {}))
        {
            hold.done(lists_of(2, 40 + 100 * i));
        }
        fixture.commit();
    }
    EXPECT_EQ(fixture.workers->runs().count(first_run), 0U);
}

// Guards against a run of an earlier leader that counts as started once.
TEST(restart_evidence, attempts_of_an_earlier_leader_are_not_ignored)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    fixture.advance(milliseconds(300));
    auto first = std::exchange(fixture.port.starts, {});
    first.front().done({order_result::unknown, 0}); // May be carried out late.
    fixture.commit();
    accept_starts(fixture); // The second attempt.
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    fixture.port.starts.clear();
    fixture.start_leader();
    fixture.port.holds.clear();
    fixture.commit();
    for (auto& hold : std::exchange(fixture.port.holds, {}))
    {
        auto answer = lists_of(1, fixture.worker_clock());
        answer.lists.running.push_back({make_run("job", 0, 1), "", 10});
        hold.done(answer);
    }
    fixture.commit();
    fixture.add_worker("w1", "r1", 2);
    fixture.commit();
    EXPECT_EQ(fixture.workers->runs().count(first_run), 1U);
}

// Guards against a worker that stays unused after one misleading answer.
TEST(restart_evidence, later_lists_of_the_incarnation_withdraw_a_restart)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    fixture.commit();
    for (const std::int64_t born_ms : {2, 1})
    {
        for (auto& hold : std::exchange(fixture.port.holds, {}))
        {
            hold.done(lists_of(born_ms, fixture.worker_clock()));
        }
        EXPECT_EQ(fixture.workers->workers().at("w1").replaced_at.has_value(),
                  born_ms == 2);
        fixture.advance(milliseconds(1000));
    }
}

} // namespace
} // namespace limpetstack::fleet
