#include "support/shared_workers.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace limpetstack::fleet
{
namespace
{

constexpr std::int64_t long_work_ms = 600000;

// A subtask that serves users until its job is cancelled.
step_spec serving_step(std::uint32_t count)
{
    auto step = make_step(count, 0);
    step.mutable_need()->set_cpu_milli(4000);
    step.set_lasting(true);
    step.set_tail_latency_ms(200);
    step.set_max_per_worker(1);
    return step;
}

step_spec filler_step(std::uint32_t count, std::int64_t work_ms = long_work_ms)
{
    auto step = make_step(count, 0);
    step.set_filler(true);
    step.set_estimate_ms(work_ms);
    step.set_max_per_worker(1);
    return step;
}

class shared_workers_test : public ::testing::TestWithParam<unsigned>
{
protected:
    void add_workers(int count)
    {
        for (int i = 1; i <= count; ++i)
        {
            workers.add("w" + std::to_string(i));
        }
        workers.advance(milliseconds(1000));
    }

    void cancel(const std::string& job)
    {
        fleet_command command;
        command.mutable_cancel()->set_job(job);
        fixture.apply(command);
    }

    static unsigned seed_of(const ::testing::TestInfo& info)
    {
        return info.value_param() == nullptr ? 1 : GetParam();
    }

    fleet_fixture fixture;
    shared_workers workers{
        fixture,
        seed_of(*::testing::UnitTest::GetInstance()->current_test_info())};
};

using shared_workers_seeds = shared_workers_test;

// Guards against an urgent serving job that waits without end while each worker
// has a filler, however much is free.
TEST_F(shared_workers_test, serving_job_starts_beside_fillers)
{
    add_workers(3);
    fixture.submit("filler", filler_step(3), "low");
    workers.advance(milliseconds(1000));
    ASSERT_EQ(workers.running("filler"), 3U);
    fixture.submit("serving", serving_step(1), "urgent");
    workers.advance(milliseconds(500));
    EXPECT_EQ(workers.running("serving"), 1U);
    EXPECT_EQ(workers.running("filler"), 3U);
}

// Guards against a filler that waits without end while each worker has a
// subtask that serves users.
TEST_F(shared_workers_test, filler_starts_beside_serving_work)
{
    add_workers(3);
    fixture.submit("serving", serving_step(3), "urgent");
    workers.advance(milliseconds(1000));
    fixture.submit("filler", filler_step(2), "low");
    workers.advance(milliseconds(500));
    EXPECT_EQ(workers.running("filler"), 2U);
}

// Guards against sharing a worker while another one without the other kind of
// work fits.
TEST_F(shared_workers_test, workers_are_shared_only_when_no_other_fits)
{
    add_workers(4);
    fixture.submit("serving", serving_step(1), "urgent");
    fixture.submit("filler", filler_step(2), "low");
    workers.advance(milliseconds(500));
    fixture.submit("more", serving_step(1), "urgent");
    workers.advance(milliseconds(500));
    EXPECT_EQ(workers.running("filler"), 2U);
    EXPECT_EQ(workers.running("more"), 1U);
    for (const auto& [id, worker] : fixture.workers->workers())
    {
        EXPECT_FALSE(worker.filler_runs > 0 && worker.serving_runs > 0) << id;
    }
}

// Guards against fillers that keep a serving subtask over its target (HARM),
// with disturbances of any size that change, lost and late pace orders, runs
// that come and go, and changes of the leader.
TEST_P(shared_workers_seeds, fillers_do_not_harm_serving_work)
{
    std::mt19937 random(GetParam());
    const auto below = [&random](unsigned limit)
    {
        return static_cast<int>(random() % limit);
    };
    add_workers(4);
    workers.set_own_load(0.2 + 0.1 * below(7));
    for (const char* const job : {"filler1", "filler2", "filler3"})
    {
        workers.set_disturbance(job, 0.1 + 0.1 * below(30), 0.1 * below(6));
    }
    if (GetParam() % 2 == 0)
    {
        workers.faults = {10, 3};
    }
    fixture.submit("serving", serving_step(3), "urgent");
    fixture.submit("filler1", filler_step(4), "low");
    for (int round = 0; round < 12; ++round)
    {
        workers.advance(milliseconds(2000 + below(4000)));
        switch (round)
        {
        case 2:
            fixture.submit("filler2", filler_step(4, 20000), "low");
            break;
        case 4:
            fixture.submit("later", serving_step(4), "urgent");
            break;
        case 7:
            fixture.submit("filler3", filler_step(4, 9000), "low");
            break;
        case 8:
            cancel("serving");
            break;
        default:
            break;
        }
        if (below(4) == 0)
        {
            workers.change_leader();
        }
    }
    EXPECT_TRUE(workers.violations.empty()) << workers.violations.front();
    EXPECT_EQ(workers.running("later"), 4U);
}

INSTANTIATE_TEST_SUITE_P(seeds, shared_workers_seeds,
                         ::testing::Range(1U, 31U));

// Guards against a pace that keeps fillers from work which would harm nobody.
// At full pace the tail would be half above its target, so a pace of 50 meets
// it; a quarter of that is owed in the steady state.
TEST_F(shared_workers_test, fillers_get_on_beside_serving_work)
{
    add_workers(2);
    workers.set_own_load(0.5);
    workers.set_disturbance("filler", 1);
    fixture.submit("serving", serving_step(2), "urgent");
    fixture.submit("filler", filler_step(2), "low");
    workers.advance(milliseconds(20000));
    workers.take_filler_share();
    workers.advance(milliseconds(60000));
    EXPECT_GE(workers.take_filler_share(), 0.125);
    EXPECT_TRUE(workers.violations.empty());
}

// Guards against fillers that disturb little and are paced all the same.
TEST_F(shared_workers_test, fillers_that_disturb_little_reach_the_full_pace)
{
    add_workers(1);
    workers.set_disturbance("filler", 0.1);
    fixture.submit("serving", serving_step(1), "urgent");
    fixture.submit("filler", filler_step(1), "low");
    workers.advance(milliseconds(30000));
    workers.take_filler_share();
    workers.advance(milliseconds(5000));
    EXPECT_DOUBLE_EQ(workers.take_filler_share(), 1);
}

// Guards against a filler that stands still for good because the tail figures
// are missing, or that works at full pace beside an unknown tail.
TEST_F(shared_workers_test, filler_beside_an_unknown_tail_works_slowly)
{
    add_workers(1);
    workers.lists_figures = false;
    fixture.submit("serving", serving_step(1), "urgent");
    fixture.submit("filler", filler_step(1), "low");
    workers.advance(milliseconds(5000));
    workers.take_filler_share();
    workers.advance(milliseconds(10000));
    const auto share = workers.take_filler_share();
    EXPECT_GT(share, 0);
    EXPECT_LE(share, 0.01 * cautious_pace);
}

// Guards against a pace that nobody raises again: the serving work beside a
// paced filler ends, also while the leader changes.
TEST_F(shared_workers_test, pace_is_restored_after_the_serving_work)
{
    add_workers(1);
    workers.set_own_load(0.95);
    workers.set_disturbance("filler", 5);
    fixture.submit("serving", serving_step(1), "urgent");
    constexpr std::int64_t work_ms = 20000;
    fixture.submit("filler", filler_step(1, work_ms), "low");
    workers.advance(milliseconds(5000));
    ASSERT_EQ(workers.running("filler"), 1U);
    cancel("serving");
    workers.change_leader();
    workers.advance(milliseconds(work_ms + 2000));
    EXPECT_EQ(workers.running("filler"), 0U);
    EXPECT_EQ(workers.starts_of["filler"], 1);
}

// Guards against a stream of pace orders to workers without that order, and
// against stopping fillers there that harm nobody.
TEST_F(shared_workers_test, worker_without_pacing_keeps_harmless_fillers)
{
    add_workers(2);
    workers.supports_pace = false;
    workers.set_disturbance("filler", 0.2);
    fixture.submit("serving", serving_step(2), "urgent");
    fixture.submit("filler", filler_step(2), "low");
    workers.advance(milliseconds(30000));
    EXPECT_EQ(workers.running("filler"), 2U);
    EXPECT_EQ(workers.starts_of["filler"], 2);
    EXPECT_LE(workers.pace_orders, 2U);
}

// Guards against fillers that harm serving work on workers without pacing, and
// against starting and stopping them there again and again.
TEST_F(shared_workers_test, worker_without_pacing_loses_harmful_fillers)
{
    add_workers(2);
    workers.supports_pace = false;
    workers.set_own_load(0.5);
    workers.set_disturbance("filler", 2);
    fixture.submit("serving", serving_step(2), "urgent");
    fixture.submit("filler", filler_step(2), "low");
    workers.advance(milliseconds(60000));
    EXPECT_TRUE(workers.violations.empty());
    EXPECT_EQ(workers.running("serving"), 2U);
    EXPECT_LE(workers.starts_of["filler"], 8);
}

// Guards against a filler that stands still beside a busy serving subtask while
// another worker is free.
TEST_F(shared_workers_test,
       stopped_filler_moves_to_a_worker_without_serving_work)
{
    add_workers(1);
    workers.set_own_load(0.99);
    workers.set_disturbance("filler", 5);
    fixture.submit("serving", serving_step(1), "urgent");
    fixture.submit("filler", filler_step(1), "low");
    workers.advance(milliseconds(15000));
    ASSERT_EQ(workers.starts_of["filler"], 1);
    workers.add("w2");
    workers.advance(milliseconds(10000));
    EXPECT_EQ(workers.starts_of["filler"], 2);
    EXPECT_EQ(fixture.workers->workers().at("w2").filler_runs, 1U);
}

} // namespace
} // namespace limpetstack::fleet
