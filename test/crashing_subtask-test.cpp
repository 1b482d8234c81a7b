// Runs subtasks that crash each worker that starts them, beside others that do
// not. The former must be given up after few crashes, the latter never.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick{50};
constexpr int worker_count = 20;

// The rule allows five starts; a subtask must be given up well before.
constexpr int max_starts = 3;

class crashing_subtask : public ::testing::TestWithParam<unsigned>
{
protected:
    crashing_subtask()
    {
        for (int i = 0; i < worker_count; ++i)
        {
            workers.add("w" + std::to_string(10 + i),
                        "r" + std::to_string(i / 5));
        }
        pass(milliseconds(5000));
    }

    void pass(milliseconds duration)
    {
        for (const auto end = fixture.now + duration; fixture.now < end;)
        {
            fixture.advance(tick);
            if (ticks_++ % 20 == 0)
            {
                workers.report_all();
            }
            workers.advance();
            fixture.schedule();
        }
    }

    bool failed(const std::string& job) const
    {
        return fixture.state.find_job(job)->failed;
    }
    bool done(const std::string& job) const
    {
        return fixture.state.find_job(job)->done_occurrences == 1;
    }

    fleet_fixture fixture;
    model_workers workers{fixture, GetParam()};

private:
    int ticks_ = 0;
};

// Guards against a subtask that crashes worker after worker without end.
TEST_P(crashing_subtask, is_given_up_after_few_crashes)
{
    workers.crashing.insert("job.0.0");
    fixture.submit("job", make_step(1, 1));
    pass(milliseconds(40000));
    EXPECT_TRUE(failed("job"));
    EXPECT_LE(workers.starts_of["job.0.0"], max_starts);
}

// Guards against jobs that are given up because their subtasks were on the
// workers that another one crashed.
TEST_P(crashing_subtask, work_beside_it_is_done)
{
    workers.crashing.insert("crashing.0.0");
    for (int i = 0; i < 10; ++i)
    {
        fixture.submit("before" + std::to_string(i), make_step(3, 1));
    }
    fixture.submit("crashing", make_step(1, 1));
    for (int i = 0; i < 10; ++i)
    {
        fixture.submit("after" + std::to_string(i), make_step(3, 1));
    }
    pass(milliseconds(60000));
    EXPECT_TRUE(failed("crashing"));
    EXPECT_LE(workers.starts_of["crashing.0.0"], max_starts);
    for (int i = 0; i < 10; ++i)
    {
        EXPECT_TRUE(done("before" + std::to_string(i))) << i;
        EXPECT_TRUE(done("after" + std::to_string(i))) << i;
    }
    EXPECT_TRUE(workers.violations.empty());
}

// Guards against a wide step that crashes many workers because its other
// subtasks are started beside the one that crashes them.
TEST_P(crashing_subtask, of_a_wide_step_crashes_few_workers)
{
    workers.crashing.insert("job.0.5");
    fixture.submit("job", make_step(24, 1));
    pass(milliseconds(60000));
    EXPECT_TRUE(failed("job"));
    EXPECT_LE(workers.starts_of["job.0.5"], max_starts);
    EXPECT_LE(workers.crashes, 3U);
}

// Guards against a gang whose member crashes a worker each time it starts.
TEST_P(crashing_subtask, of_a_gang_is_given_up)
{
    workers.crashing.insert("job.0.2");
    fixture.submit("job", make_step(4, 8, true));
    pass(milliseconds(60000));
    EXPECT_TRUE(failed("job"));
    EXPECT_LE(workers.starts_of["job.0.2"], max_starts);
}

// Guards against lasting work that crashes workers for good, since it has no
// limit of attempts.
TEST_P(crashing_subtask, of_a_lasting_step_is_given_up)
{
    auto step = make_step(1, 1);
    step.set_lasting(true);
    workers.crashing.insert("job.0.0");
    fixture.submit("job", step);
    pass(milliseconds(40000));
    EXPECT_TRUE(failed("job"));
    EXPECT_LE(workers.starts_of["job.0.0"], max_starts);
}

// Guards against crashes that a new leader does not know of. A leader that ends
// between a crash and the return of the worker does not record it.
TEST_P(crashing_subtask, is_given_up_although_leaders_change)
{
    workers.crashing.insert("job.0.0");
    fixture.submit("job", make_step(1, 1));
    // The first leader ends before the crashed worker is back, the second one
    // after another crash.
    for (const int time_ms : {500, 14000, 40000})
    {
        pass(milliseconds(time_ms));
        fixture.start_leader();
    }
    EXPECT_TRUE(failed("job"));
    EXPECT_LE(workers.starts_of["job.0.0"], max_starts + 2);
}

// Guards against jobs that are given up on a day on which workers crash by
// themselves, here one of twenty every two seconds.
TEST_P(crashing_subtask, crashes_by_themselves_fail_no_job)
{
    for (int i = 0; i < 60; ++i)
    {
        fixture.submit("job" + std::to_string(i), make_step(4, 1));
        pass(milliseconds(500));
        if (i % 4 == 0)
        {
            workers.crash(workers.random_worker());
        }
    }
    pass(milliseconds(30000));
    for (int i = 0; i < 60; ++i)
    {
        EXPECT_TRUE(done("job" + std::to_string(i))) << i;
    }
    EXPECT_TRUE(workers.violations.empty());
}

// Guards against a crash that is put down to work on a worker that was cut off
// and restarted under its id behind the cut.
TEST_P(crashing_subtask, restart_behind_a_cut_is_not_conclusive)
{
    fixture.submit("job", make_step(1, 1));
    pass(milliseconds(200));
    const auto worker = fixture.workers->runs().begin()->second.incarnation;
    workers.set_disconnected(worker.worker, true);
    pass(milliseconds(4000));
    fixture.add_worker(worker.worker, "r0", 2);
    pass(milliseconds(500));
    const auto& crashes =
        fixture.state.find_subtask(make_run("job", 0, 1))->crashes;
    EXPECT_TRUE(std::none_of(crashes.begin(), crashes.end(),
                             [](const crash_record& crash)
                             {
                                 return crash.cause != crash_cause::unknown;
                             }));
}

INSTANTIATE_TEST_SUITE_P(seeds, crashing_subtask, ::testing::Range(1U, 13U));

} // namespace
} // namespace limpetstack::fleet
