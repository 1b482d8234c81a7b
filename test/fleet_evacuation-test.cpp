// Checks that nothing is started in an evacuated data centre, on any path, and
// that what runs there goes on.
#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr char north[] = "dc-north";

std::set<std::string> started_workers(const fleet_fixture& fixture)
{
    std::set<std::string> workers;
    for (const auto& start : fixture.port.starts)
    {
        workers.insert(start.order.worker);
    }
    return workers;
}

// Two workers in the data centre dc-north and two in dc-south.
class evacuation_test : public ::testing::Test
{
protected:
    evacuation_test()
    {
        for (const auto* const id : {"n1", "n2"})
        {
            add_ready_worker(fixture, id, "north");
        }
        for (const auto* const id : {"s1", "s2"})
        {
            add_ready_worker(fixture, id, "south");
        }
    }

    fleet_fixture fixture;
};

TEST_F(evacuation_test, no_kind_of_step_starts_there)
{
    fixture.set_evacuated(north, true);
    auto lasting = make_step(1, 1);
    lasting.set_lasting(true);
    auto local = make_step(1, 1);
    local.set_preferred_rack("north");
    fixture.submit("single", make_step(2, 1));
    fixture.submit("gang", make_step(2, 2, true), "urgent");
    fixture.submit("lasting", lasting);
    fixture.submit("local", local);
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 6U);
    EXPECT_EQ(started_workers(fixture).count("n1"), 0U);
    EXPECT_EQ(started_workers(fixture).count("n2"), 0U);
}

// Guards against a gang that is started in part because other data centres are
// full.
TEST_F(evacuation_test, work_that_fits_nowhere_else_waits)
{
    fixture.set_evacuated(north, true);
    fixture.submit("gang", make_step(3, 8, true));
    fixture.schedule();
    EXPECT_TRUE(fixture.port.starts.empty());
    EXPECT_EQ(fixture.scheduler->pending_steps(), 1U);
    fixture.set_evacuated(north, false);
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 3U);
}

// Guards against starts of placements that were committed just before the
// evacuation.
TEST_F(evacuation_test, committed_placements_are_not_started)
{
    fixture.submit("job", make_step(4, 8));
    fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
    while (!fixture.proposals.empty())
    {
        const auto command = fixture.proposals.front();
        fixture.proposals.pop_front();
        fixture.apply(command);
    }
    fixture.set_evacuated(north, true);
    fixture.commit();
    EXPECT_EQ(started_workers(fixture), (std::set<std::string>{"s1", "s2"}));
}

// Guards against a start order that is sent again after the evacuation.
TEST_F(evacuation_test, unanswered_starts_are_not_repeated)
{
    fixture.submit("job", make_step(4, 8));
    fixture.schedule();
    fixture.set_evacuated(north, true);
    auto starts = fixture.port.starts;
    fixture.port.starts.clear();
    for (const auto& start : starts)
    {
        start.done({order_result::unknown, 0});
    }
    fixture.commit();
    EXPECT_EQ(started_workers(fixture), (std::set<std::string>{"s1", "s2"}));
}

// Guards against stopping work, or letting its lease expire, where only new
// work is refused.
TEST_F(evacuation_test, running_work_continues_under_renewed_leases)
{
    fixture.submit("job", make_step(4, 8));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    fixture.set_evacuated(north, true);
    for (int i = 0; i < 100; ++i)
    {
        fixture.advance(milliseconds(200));
        for (const auto* const id : {"n1", "n2", "s1", "s2"})
        {
            fixture.report(id);
        }
        list_runs(fixture);
        fixture.schedule();
    }
    EXPECT_EQ(fixture.workers->runs().size(), 4U);
    EXPECT_TRUE(fixture.port.stops.empty());
    EXPECT_EQ(fixture.workers->evacuated_runs(), 2U);
}

// Guards against a new leader that starts work before it knows the evacuation.
TEST_F(evacuation_test, evacuations_outlive_the_leader_and_snapshots)
{
    fixture.set_evacuated(north, true);
    fleet_state restored;
    ASSERT_TRUE(restored.restore(fixture.state.snapshot()));
    EXPECT_TRUE(restored.is_evacuated(north));
    fixture.start_leader();
    for (const auto* const id : {"n1", "n2", "s1", "s2"})
    {
        fixture.report(id);
    }
    confirm_workers(fixture);
    fixture.submit("job", make_step(8, 8));
    fixture.schedule();
    EXPECT_EQ(started_workers(fixture), (std::set<std::string>{"s1", "s2"}));
}

// Guards against urgent work on workers that are slow after an evacuation,
// while others fit it.
TEST_F(evacuation_test, urgent_work_uses_cold_workers_last)
{
    const auto report_cold = [this](const std::string& id)
    {
        worker_report report;
        report.worker = fixture.state.workers().at(id);
        report.worker_time_ms = fixture.worker_clock();
        report.sequence = static_cast<std::uint64_t>(fixture.worker_clock());
        report.warm_up_left_ms = 5000;
        fixture.workers->record_report(report, fixture.now);
    };
    fixture.set_evacuated(north, true);
    fixture.set_evacuated(north, false);
    report_cold("n1");
    report_cold("n2");
    fixture.submit("one", make_step(2, 8), "urgent");
    fixture.schedule();
    EXPECT_EQ(started_workers(fixture), (std::set<std::string>{"s1", "s2"}));
    fixture.submit("two", make_step(2, 8), "urgent");
    fixture.schedule();
    EXPECT_EQ(fixture.port.starts.size(), 4U);
}

// A history of jobs, evacuations, repeated calls, lost answers of workers and
// changes of the leader. Records each start into an evacuated data centre.
class evacuation_history
{
public:
    explicit evacuation_history(unsigned seed)
        : random_(seed)
        , workers_(fixture_, seed + 1)
    {
        workers_.faults = {10, 10, 5};
        for (int i = 0; i < 6; ++i)
        {
            workers_.add("w" + std::to_string(i), racks[i % 3]);
        }
    }

    void step()
    {
        fixture_.advance(milliseconds(50));
        if (random_() % 8 == 0)
        {
            submit();
        }
        if (random_() % 25 == 0)
        {
            change_evacuation();
        }
        if (random_() % 60 == 0)
        {
            fixture_.port.starts.clear();
            fixture_.start_leader();
        }
        if (++steps_ % 10 == 0)
        {
            workers_.report_all();
        }
        fixture_.schedule();
        deliver();
    }

    // Ends all evacuations and faults, and runs on until the jobs are done.
    void settle()
    {
        workers_.faults = {};
        for (const auto* const rack : racks)
        {
            fixture_.set_evacuated(std::string("dc-") + rack, false);
        }
        for (int i = 0; i < 1600; ++i)
        {
            fixture_.advance(milliseconds(50));
            if (i % 10 == 0)
            {
                workers_.report_all();
            }
            fixture_.schedule();
            deliver();
        }
    }

    const std::set<std::string>& starts_in_evacuated() const
    {
        return starts_in_evacuated_;
    }
    const std::vector<std::string>& violations() const
    {
        return workers_.violations;
    }
    bool all_jobs_ended() const
    {
        const auto& jobs = fixture_.state.jobs();
        return std::all_of(jobs.begin(), jobs.end(),
                           [](const auto& entry)
                           {
                               return entry.second.ended() ||
                                      entry.second.done_occurrences == 1;
                           });
    }

private:
    static constexpr const char* racks[] = {"a", "b", "c"};

    void submit()
    {
        static constexpr const char* queues[] = {"urgent", "normal", "low"};
        auto step = make_step(1 + random_() % 4, 1 << (random_() % 4),
                              random_() % 2 == 0);
        step.set_estimate_ms(1000 +
                             static_cast<std::int64_t>(random_() % 3000));
        fixture_.submit("job" + std::to_string(jobs_++), step,
                        queues[random_() % 3]);
    }

    // Applies a change; a call whose answer was lost arrives once more.
    void change_evacuation()
    {
        deliver();
        const auto name = std::string("dc-") + racks[random_() % 3];
        const bool active = random_() % 2 == 0;
        fixture_.set_evacuated(name, active);
        if (random_() % 2 == 0)
        {
            fixture_.set_evacuated(name, active);
        }
    }

    // Delivers the orders that were sent since the last change.
    void deliver()
    {
        for (const auto& start : fixture_.port.starts)
        {
            const auto& worker = start.order.worker;
            const auto found = fixture_.state.workers().find(worker);
            if (found != fixture_.state.workers().end() &&
                fixture_.state.is_evacuated(found->second.data_centre()))
            {
                starts_in_evacuated_.insert(
                    worker_fleet::key_of(start.order.run));
            }
        }
        workers_.advance();
    }

    std::mt19937 random_;
    fleet_fixture fixture_;
    model_workers workers_;
    std::set<std::string> starts_in_evacuated_;
    int jobs_ = 0;
    int steps_ = 0;
};

RC_GTEST_PROP(evacuation_model, nothing_starts_in_evacuated_data_centres, ())
{
    evacuation_history history(*rc::gen::arbitrary<unsigned>());
    for (int i = 0; i < 400; ++i)
    {
        history.step();
    }
    RC_ASSERT(history.starts_in_evacuated().empty());
    history.settle();
    RC_ASSERT(history.violations().empty());
    RC_ASSERT(history.all_jobs_ended());
}

} // namespace
} // namespace limpetstack::fleet
