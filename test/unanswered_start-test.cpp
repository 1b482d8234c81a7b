// Checks that a worker which reports but answers no orders does not delay the
// steps that were placed on it beyond their time limit.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>

#include <string>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick{50};
constexpr milliseconds reclaim_limit = fleet_scheduler_options().reclaim_limit;

class unanswered_start : public ::testing::Test
{
protected:
    unanswered_start()
    {
        fixture.document.accounts.front().guaranteed_accelerators = 48;
        fixture.scheduler->use_document(fixture.document);
        for (int i = 0; i < 12; ++i)
        {
            workers.add(worker_id(i), "r" + std::to_string(i / 6));
        }
        pass(milliseconds(1000));
    }

    static std::string worker_id(int number)
    {
        // Ids of equal length are placed in the order of their numbers.
        return "w" + std::to_string(10 + number);
    }

    // Advances everything; all workers report, connected or not.
    void pass(milliseconds duration)
    {
        for (const auto end = fixture.now + duration; fixture.now < end;)
        {
            fixture.advance(tick);
            for (int i = 0; i < 12; ++i)
            {
                fixture.report(worker_id(i));
            }
            workers.advance();
            fixture.schedule();
        }
    }

    // Returns true when all subtasks of the job have started and its gang is
    // complete.
    bool gang_at_work(const std::string& job, std::size_t members) const
    {
        std::size_t present = 0;
        for (const auto& [key, run] : fixture.workers->runs())
        {
            present += run.ref.job() == job &&
                               run.phase == run_phase::present &&
                               !run.stop_requested
                           ? 1
                           : 0;
        }
        return present == members;
    }

    fleet_fixture fixture;
    model_workers workers{fixture, 1};
};

// Guards against an urgent gang that begins after its time limit because one of
// its idle workers does not answer: the attempts to start there and the lease
// granted with them each took longer than the limit.
TEST_F(unanswered_start,
       urgent_gang_begins_in_time_beside_an_unresponsive_idle_worker)
{
    workers.set_disconnected(worker_id(2), true);
    fixture.submit("job", make_step(4, 8, true), "urgent");
    pass(reclaim_limit);
    EXPECT_TRUE(gang_at_work("job", 4));
    EXPECT_TRUE(workers.violations.empty());
}

// Guards against a gang that waits for its preferred rack again after a failed
// start: the wait begins when the job is accepted.
TEST_F(unanswered_start, wait_for_a_rack_goes_on_after_a_failed_start)
{
    for (const char* const rack : {"r0", "r1"})
    {
        // Leaves three empty workers in each rack.
        auto occupied = make_step(3, 1);
        occupied.set_preferred_rack(rack);
        occupied.set_max_per_worker(1);
        occupied.set_estimate_ms(1000000);
        fixture.submit(std::string("occupied-") + rack, occupied, "urgent");
    }
    pass(milliseconds(200));
    workers.set_disconnected(worker_id(3), true);
    auto step = make_step(4, 8, true);
    step.set_same_rack(true);
    fixture.submit("job", step, "urgent");
    pass(reclaim_limit);
    EXPECT_TRUE(gang_at_work("job", 4));
}

// Guards against a worker that answers nothing and is chosen again after each
// failed start, since it is idle and reports.
TEST_F(unanswered_start,
       unresponsive_worker_is_not_chosen_again_while_it_reports)
{
    workers.set_disconnected(worker_id(0), true);
    fixture.submit("job", make_step(1, 8), "urgent");
    pass(milliseconds(3000));
    EXPECT_TRUE(gang_at_work("job", 1));
    EXPECT_EQ(fixture.workers->availability(
                  fixture.workers->workers().at(worker_id(0)), fixture.now),
              worker_availability::unreachable);
    fixture.submit("other", make_step(1, 8), "urgent");
    pass(milliseconds(500));
    EXPECT_TRUE(gang_at_work("other", 1));
}

// Guards against a second run of a subtask whose first start was carried out
// although its answer was lost: the run may be at work until its lease ends.
TEST_F(unanswered_start, subtask_starts_again_only_after_its_first_lease)
{
    workers.faults.lost_answer = 100;
    fixture.submit("job", make_step(1, 8), "urgent");
    pass(milliseconds(200));
    EXPECT_TRUE(workers.has_run_of("job"));
    workers.set_disconnected(worker_id(0), true);
    workers.faults.lost_answer = 0;
    pass(reclaim_limit);
    EXPECT_TRUE(gang_at_work("job", 1));
    EXPECT_TRUE(workers.violations.empty());
}

// Guards against a run that loses its short first lease although its worker
// answered: the lease must be renewed in time.
TEST_F(unanswered_start, accepted_run_keeps_its_lease)
{
    fixture.submit("job", make_step(1, 8), "urgent");
    pass(milliseconds(2000));
    EXPECT_TRUE(workers.has_run_of("job"));
    EXPECT_EQ(workers.starts, 1U);
}

// Guards against a worker that gets no placements for the rest of a leadership,
// because its lease ended just after an answer and nothing asks it again.
TEST(lease_end_after_an_answer, worker_that_reports_is_asked_again)
{
    // Holds are answered at different times before the end of the lease.
    for (int first_answer = 30; first_answer < 50; ++first_answer)
    {
        fleet_fixture fixture;
        add_ready_worker(fixture, "w1", "r1");
        fixture.submit("job", make_step(1, 1));
        fixture.schedule();
        ASSERT_EQ(fixture.port.starts.size(), 1U);
        // The worker answers all holds, but never the start.
        constexpr milliseconds step{10};
        constexpr int steps = 500;
        for (int i = 0; i < steps; ++i)
        {
            fixture.advance(step);
            fixture.report("w1");
            if (i >= first_answer)
            {
                confirm_workers(fixture);
            }
        }
        EXPECT_EQ(fixture.workers->runs().size(), 0U);
        EXPECT_EQ(fixture.workers->availability(
                      fixture.workers->workers().at("w1"), fixture.now),
                  worker_availability::usable)
            << first_answer;
    }
}

} // namespace
} // namespace limpetstack::fleet
