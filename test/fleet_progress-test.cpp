// Checks that a step which fits into a service with most of its capacity free
// starts in time.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

namespace limpetstack::fleet
{
namespace
{

// A step must not wait this long while it fits twice over and less than half of
// the service is in use.
constexpr milliseconds longest_wait{3000};

class fleet_progress : public ::testing::Test
{
protected:
    // Adds the workers PREFIX1, PREFIX2 and so on in one rack.
    void add_rack(const std::string& rack, int workers)
    {
        for (int i = 1; i <= workers; ++i)
        {
            add_ready_worker(fixture, rack + "w" + std::to_string(i), rack);
        }
    }

    // Starts a run that occupies accelerators in the rack until the test ends.
    void occupy(const std::string& rack, std::int64_t accelerators,
                const std::string& queue = "normal")
    {
        auto step = make_step(1, accelerators);
        step.set_preferred_rack(rack);
        step.set_estimate_ms(1000000);
        const auto job = "early" + std::to_string(early_jobs_++);
        fixture.submit(job, step, queue, "other");
        fixture.schedule();
        accept_starts(fixture);
        fixture.port.starts.clear();
    }

    // Lets time pass, in steps of 100 ms. All workers but the silent ones
    // report.
    void pass(milliseconds time, const std::set<std::string>& silent = {})
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(100))
        {
            fixture.advance(milliseconds(100));
            for (const auto& [id, worker] : fixture.workers->workers())
            {
                if (silent.count(id) == 0)
                {
                    fixture.report(id);
                }
            }
            list_runs(fixture);
            fixture.schedule();
        }
    }

    // Returns the workers that were told to start runs of the job.
    std::multiset<std::string> workers_of(const std::string& job) const
    {
        std::multiset<std::string> result;
        for (const auto& start : fixture.port.starts)
        {
            if (start.order.run.job() == job)
            {
                result.insert(start.order.worker);
            }
        }
        return result;
    }

    // Returns the accelerators in use, out of 8 per worker.
    std::int64_t used() const { return used_accelerators(fixture); }

    void avoid(const std::string& worker)
    {
        fixture.workers->avoid(worker, fixture.now + milliseconds(30000));
    }

    fleet_fixture fixture;

private:
    int early_jobs_ = 0;
};

using workers = std::multiset<std::string>;

// Guards against a gang for one rack that waits for its rack in a service that
// is almost empty.
TEST_F(fleet_progress, gang_for_one_rack_spans_racks_in_an_empty_service)
{
    for (const auto* const rack : {"r1", "r2", "r3", "r4"})
    {
        add_rack(rack, 3);
        occupy(rack, 1);
    }
    ASSERT_EQ(used(), 4);
    auto gang = make_step(3, 8, true);
    gang.set_same_rack(true);
    fixture.submit("gang", gang);
    pass(longest_wait);
    EXPECT_EQ(workers_of("gang").size(), 3U);
}

// Guards against a step that waits for the rack with its data while the rest of
// the service is empty.
TEST_F(fleet_progress, step_leaves_its_preferred_rack_in_an_empty_service)
{
    add_rack("r1", 1);
    add_rack("r2", 2);
    occupy("r1", 8);
    ASSERT_EQ(used(), 8);
    auto step = make_step(1, 8);
    step.set_preferred_rack("r1");
    fixture.submit("job", step);
    pass(longest_wait);
    EXPECT_EQ(workers_of("job").size(), 1U);
}

// Guards against a preference that ends early on a busy service, where the
// preferred rack will have free capacity soon.
TEST_F(fleet_progress, step_waits_for_its_preferred_rack_on_a_busy_service)
{
    add_rack("r1", 1);
    add_rack("r2", 3);
    occupy("r1", 8);
    occupy("r2", 8);
    occupy("r2", 8);
    ASSERT_EQ(used(), 24);
    auto step = make_step(1, 1);
    step.set_preferred_rack("r1");
    fixture.submit("job", step);
    pass(2 * longest_wait);
    EXPECT_EQ(workers_of("job").size(), 0U);
}

// Guards against a subtask of a lasting step that stays down for the sake of a
// rack: it has to run within the limit however full the service is.
TEST_F(fleet_progress, lasting_step_leaves_its_preferred_rack_on_a_full_service)
{
    add_rack("r1", 1);
    add_rack("r2", 2);
    occupy("r1", 8);
    occupy("r2", 8);
    ASSERT_EQ(used(), 16);
    auto step = make_step(1, 4);
    step.set_preferred_rack("r1");
    step.set_lasting(true);
    fixture.submit("job", step);
    pass(longest_wait);
    EXPECT_EQ(workers_of("job").size(), 1U);
}

// Guards against work that waits for workers to come back from a pause although
// only these have room for it.
TEST_F(fleet_progress, avoided_workers_are_used_when_no_others_fit)
{
    add_rack("r1", 6);
    occupy("r1", 1);
    ASSERT_EQ(used(), 1);
    for (const auto* const id : {"r1w2", "r1w3", "r1w4", "r1w5"})
    {
        avoid(id);
    }
    fixture.submit("gang", make_step(2, 8, true));
    pass(longest_wait);
    const auto chosen = workers_of("gang");
    EXPECT_EQ(chosen.size(), 2U);
    // The usable worker with room for a member comes before the avoided ones.
    EXPECT_EQ(chosen.count("r1w6"), 1U);
}

// Guards against a subtask that fails twice on the same worker while another
// one has room, when both are avoided.
TEST_F(fleet_progress, failed_subtask_prefers_an_avoided_worker_without_failure)
{
    add_rack("r1", 1);
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    ASSERT_EQ(workers_of("job"), workers({"r1w1"}));
    accept_starts(fixture);
    fixture.port.starts.clear();
    add_ready_worker(fixture, "r1w2", "r1");
    avoid("r1w1");
    avoid("r1w2");
    end_run(fixture, make_run("job", 0, 1), run_failed);
    pass(longest_wait);
    EXPECT_EQ(workers_of("job"), workers({"r1w2"}));
}

// Guards against work on failing workers while the service is busy, and while
// another subtask of the job is at work.
TEST_F(fleet_progress, avoided_workers_are_left_alone_otherwise)
{
    add_rack("r1", 4);
    occupy("r1", 8);
    occupy("r1", 8);
    occupy("r1", 4);
    ASSERT_EQ(used(), 20);
    avoid("r1w4");
    fixture.submit("busy", make_step(1, 8));
    pass(longest_wait);
    EXPECT_EQ(workers_of("busy"), workers());
    // Less than half of the service is in use with these workers.
    add_rack("r2", 8);
    for (int i = 1; i <= 8; ++i)
    {
        avoid("r2w" + std::to_string(i));
    }
    fixture.submit("wide", make_step(2, 4));
    pass(milliseconds(100));
    ASSERT_EQ(workers_of("wide"), workers({"r1w3"}));
    accept_starts(fixture);
    fixture.port.starts.clear();
    pass(longest_wait);
    EXPECT_EQ(workers_of("wide"), workers());
}

// Guards against guaranteed work that misses its time limit because the only
// workers with room are in a pause.
TEST_F(fleet_progress, guaranteed_work_uses_avoided_workers_on_a_full_service)
{
    add_rack("r1", 3);
    auto lasting = make_step(2, 8);
    lasting.set_lasting(true);
    fixture.submit("lasting", lasting);
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    ASSERT_EQ(used(), 16);
    for (const auto* const id : {"r1w1", "r1w2", "r1w3"})
    {
        avoid(id);
    }
    fixture.submit("urgent", make_step(1, 8), "urgent");
    pass(milliseconds(1500));
    EXPECT_EQ(workers_of("urgent").size(), 1U);
}

// Guards against a step that fits twice over and waits behind the capacity kept
// for urgent work, when memory is scarce and most accelerators are free.
TEST_F(fleet_progress, headroom_does_not_hold_a_step_in_a_half_empty_service)
{
    add_rack("r1", 4);
    auto large = make_step(3, 1);
    large.mutable_need()->set_memory_mb(128000);
    fixture.submit("early", large, "low");
    fixture.schedule();
    accept_starts(fixture);
    ASSERT_EQ(used(), 3);
    auto urgent = make_step(16, 0);
    urgent.mutable_need()->set_memory_mb(8000);
    auto step = make_step(1, 1);
    step.mutable_need()->set_memory_mb(60000);
    for (int i = 0; i < 5 && workers_of("job").empty(); ++i)
    {
        if (i == 2)
        {
            fixture.submit("job", step);
        }
        const auto id = "urgent" + std::to_string(i);
        fixture.submit(id, urgent, "urgent");
        fixture.schedule();
        accept_starts(fixture);
        ASSERT_EQ(workers_of(id).size(), 16U);
        for (std::uint32_t index = 0; index < 16; ++index)
        {
            end_run(fixture, make_run(id, index, 1), run_done);
        }
        pass(milliseconds(1000));
    }
    EXPECT_EQ(workers_of("job").size(), 1U);
}

// Guards against a step that is never tried because many steps before it can
// not be placed.
TEST_F(fleet_progress, step_behind_many_others_that_do_not_fit_is_tried)
{
    add_rack("r1", 2);
    for (int i = 0; i < 250; ++i)
    {
        auto gang = make_step(3, 8, true);
        gang.mutable_need()->set_memory_mb(1000 + i);
        fixture.submit("gang" + std::to_string(i), gang);
    }
    fixture.submit("job", make_step(1, 1));
    pass(longest_wait);
    EXPECT_EQ(workers_of("job").size(), 1U);
}

// Guards against guaranteed work on a failing worker while runs on a sound one
// are being stopped for it.
TEST_F(fleet_progress, reserved_capacity_comes_before_avoided_workers)
{
    add_rack("r1", 1);
    fixture.submit("low", make_step(8, 1), "low");
    fixture.schedule();
    ASSERT_EQ(used(), 8);
    accept_starts(fixture);
    add_rack("r2", 1);
    avoid("r2w1");
    fixture.submit("urgent", make_step(1, 8), "urgent");
    fixture.schedule();
    ASSERT_EQ(fixture.port.stops.size(), 8U);
    pass(milliseconds(1100));
    EXPECT_EQ(workers_of("urgent").count("r2w1"), 0U);
}

// Guards against crashed workers that count as free capacity, so that a busy
// service looks half empty.
TEST_F(fleet_progress, crashed_workers_are_no_free_capacity)
{
    add_rack("r1", 3);
    occupy("r1", 8);
    occupy("r1", 8);
    avoid("r1w3");
    add_rack("crashed", 4);
    std::set<std::string> silent;
    for (const auto& [id, worker] : fixture.workers->workers())
    {
        if (worker.record.rack() == "crashed")
        {
            silent.insert(id);
        }
    }
    pass(milliseconds(6000), silent);
    ASSERT_EQ(fixture.workers->availability(
                  fixture.workers->workers().at("crashedw1"), fixture.now),
              worker_availability::unreachable);
    fixture.submit("job", make_step(1, 8));
    pass(longest_wait, silent);
    // 16 of the 24 accelerators that are left are in use.
    EXPECT_EQ(workers_of("job"), workers());
}

// Guards against a wide step that takes all of the headroom of a scarce
// resource on a half-empty service.
TEST_F(fleet_progress, wide_step_takes_no_more_than_one_subtask_of_the_headroom)
{
    add_rack("r1", 4);
    auto urgent = make_step(15, 0);
    urgent.mutable_need()->set_memory_mb(8000);
    auto wide = make_step(100, 0);
    wide.mutable_need()->set_memory_mb(10000);
    auto large = make_step(3, 1);
    large.mutable_need()->set_memory_mb(128000);
    fixture.submit("early", large, "low");
    fixture.schedule();
    accept_starts(fixture);
    for (int i = 0; i < 4; ++i)
    {
        if (i == 1)
        {
            fixture.submit("wide", wide, "normal", "other");
        }
        const auto id = "urgent" + std::to_string(i);
        fixture.submit(id, urgent, "urgent");
        fixture.schedule();
        accept_starts(fixture);
        ASSERT_EQ(workers_of(id).size(), 15U);
        for (std::uint32_t index = 0; index < 15; ++index)
        {
            end_run(fixture, make_run(id, index, 1), run_done);
        }
        pass(milliseconds(1000));
    }
    EXPECT_EQ(workers_of("wide").size(), 1U);
}

// Guards against a plan for avoided workers that is not used once the runs on
// them have ended.
TEST_F(fleet_progress,
       guaranteed_work_starts_where_it_preempted_on_avoided_ones)
{
    add_rack("r1", 2);
    auto lasting = make_step(1, 8);
    lasting.set_lasting(true);
    fixture.submit("lasting", lasting);
    fixture.submit("low", make_step(8, 1), "low");
    fixture.schedule();
    ASSERT_EQ(used(), 16);
    accept_starts(fixture);
    fixture.port.starts.clear();
    avoid("r1w1");
    avoid("r1w2");
    fixture.submit("urgent", make_step(1, 8), "urgent");
    pass(milliseconds(1200));
    ASSERT_EQ(fixture.port.stops.size(), 8U);
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        end_run(fixture, make_run("low", i, 1), run_stopped);
    }
    pass(milliseconds(200));
    EXPECT_EQ(workers_of("urgent").size(), 1U);
}

} // namespace
} // namespace limpetstack::fleet
