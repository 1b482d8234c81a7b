#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

namespace limpetstack::fleet
{
namespace
{

// Adds a worker and fills it with eight subtasks of the queue "low".
void start_low_work(fleet_fixture& fixture, const std::string& worker)
{
    add_ready_worker(fixture, worker, "r1");
    fixture.submit("low", make_step(8, 1), "low");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 8U);
    accept_starts(fixture);
}

// Ends the eight subtasks as stopped.
void end_low_work(fleet_fixture& fixture)
{
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        end_run(fixture, make_run("low", i, 1), run_stopped);
    }
}

// themselves.
TEST(fleet_preemption, guaranteed_work_preempts_lower_priority_runs)
{
    fleet_fixture fixture;
    start_low_work(fixture, "w1");
    fixture.submit("urgent", make_step(1, 8, true), "urgent");
    fixture.schedule();
    EXPECT_EQ(fixture.port.stops.size(), 8U);
    EXPECT_EQ(fixture.port.starts.size(), 8U);
    end_low_work(fixture);
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 9U);
    EXPECT_EQ(fixture.port.starts.back().order.run.job(), "urgent");
}

// preferred rack are being stopped for it.
TEST(fleet_preemption, urgent_step_waits_for_capacity_reclaimed_in_its_rack)
{
    fleet_fixture fixture;
    start_low_work(fixture, "local");
    add_ready_worker(fixture, "remote", "r2");
    auto step = make_step(1, 8, true);
    step.set_preferred_rack("r1");
    step.set_estimate_ms(100);
    fixture.submit("urgent", step, "urgent");
    fixture.schedule();
    EXPECT_EQ(fixture.port.stops.size(), 8U);
    fixture.advance(milliseconds(1300));
    fixture.report("local");
    fixture.report("remote");
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 8U);
    end_low_work(fixture);
    fixture.schedule();
    ASSERT_GE(fixture.port.starts.size(), 9U);
    EXPECT_EQ(fixture.port.starts[8].order.worker, "local");
}

// runs on the reserved workers, which are in several racks, have ended.
TEST(fleet_preemption, gang_starts_on_workers_reclaimed_in_several_racks)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r2");
    fixture.submit("low", make_step(16, 1), "low");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 16U);
    accept_starts(fixture);
    auto gang = make_step(2, 8, true);
    gang.set_same_rack(true);
    fixture.submit("urgent", gang, "urgent");
    fixture.schedule();
    EXPECT_TRUE(fixture.port.stops.empty());
    fixture.advance(milliseconds(1300));
    fixture.report("w1");
    fixture.report("w2");
    fixture.schedule();
    ASSERT_EQ(fixture.port.stops.size(), 16U);
    for (std::uint32_t i = 0; i < 16; ++i)
    {
        end_run(fixture, make_run("low", i, 1), run_stopped);
    }
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 18U);
    EXPECT_EQ(fixture.port.starts.back().order.run.job(), "urgent");
}

// because small guaranteed subtasks of another account are on every worker.
TEST(fleet_preemption, guaranteed_gang_displaces_smaller_guaranteed_subtasks)
{
    fleet_fixture fixture;
    account_config small;
    small.name = "small";
    small.guaranteed_accelerators = 8;
    fixture.document.accounts.push_back(small);
    fixture.scheduler->use_document(fixture.document);
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r1");
    auto spread = make_step(2, 4);
    spread.set_max_per_worker(1);
    fixture.submit("small", spread, "urgent", "small");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 2U);
    accept_starts(fixture);
    fixture.submit("gang", make_step(1, 8, true), "urgent");
    fixture.schedule();
    EXPECT_TRUE(fixture.port.stops.empty());
    fixture.advance(milliseconds(1300));
    fixture.report("w1");
    fixture.report("w2");
    fixture.schedule();
    ASSERT_EQ(fixture.port.stops.size(), 1U);
    end_run(fixture, run_ref(fixture.port.stops[0].run), run_stopped);
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 3U);
    EXPECT_EQ(fixture.port.starts[2].order.run.job(), "gang");
}

// although the reserved worker gets no placements any more.
TEST(fleet_preemption, urgent_step_gets_another_plan_when_its_worker_drains)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r1");
    fixture.submit("low", make_step(16, 1), "low");
    fixture.schedule();
    accept_starts(fixture);
    fixture.submit("urgent", make_step(1, 8, true), "urgent");
    fixture.schedule();
    ASSERT_EQ(fixture.port.stops.size(), 8U);
    fleet_command command;
    *command.mutable_worker() =
        fixture.state.workers().at(fixture.port.stops[0].worker);
    command.mutable_worker()->set_draining(true);
    fixture.apply(command);
    fixture.schedule();
    ASSERT_EQ(fixture.port.stops.size(), 16U);
    EXPECT_NE(fixture.port.stops[8].worker, fixture.port.stops[0].worker);
}

// stopped for them.
TEST(fleet_preemption, partly_placed_step_keeps_its_reservation)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r1");
    fixture.submit("low", make_step(16, 1), "low");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 16U);
    accept_starts(fixture);
    fixture.submit("urgent", make_step(4, 1), "urgent");
    fixture.schedule();
    ASSERT_EQ(fixture.port.stops.size(), 4U);
    for (std::size_t i = 0; i < 4; ++i)
    {
        end_run(fixture, fixture.port.stops[i].run, run_stopped);
        fixture.schedule();
    }
    EXPECT_EQ(fixture.port.stops.size(), 4U);
}

} // namespace
} // namespace limpetstack::fleet
