// Crashes workers that have just started subtasks, again and again. Subtasks
// that only happened to be there must never be given up, and one that crashes
// its workers must be given up although it starts in the midst of it.
#include "coordination/fleet/crash_evidence.hpp"
#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick{50};
constexpr milliseconds storm_interval{700};
constexpr int worker_count = 20;
constexpr int workers_per_strike = 6;

// The rule: a subtask that crashes its workers is not started a sixth time.
constexpr int max_starts = 5;

class crash_storm : public ::testing::TestWithParam<unsigned>
{
protected:
    crash_storm()
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

    // Crashes about a third of the workers every 0.7 s.
    void storm(milliseconds duration)
    {
        for (const auto end = fixture.now + duration; fixture.now < end;)
        {
            for (int i = 0; i < workers_per_strike; ++i)
            {
                workers.restart(workers.random_worker());
            }
            pass(storm_interval);
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

// Guards against jobs that are given up because workers crash in quick
// succession while their subtasks start.
TEST_P(crash_storm, fails_no_job)
{
    constexpr int jobs = 40;
    for (int i = 0; i < jobs; ++i)
    {
        fixture.submit("job" + std::to_string(i), make_step(5, 1));
    }
    auto lasting = make_step(5, 1);
    lasting.set_lasting(true);
    lasting.set_estimate_ms(1000000000);
    fixture.submit("lasting", lasting);
    storm(milliseconds(20000));
    pass(milliseconds(60000));
    for (int i = 0; i < jobs; ++i)
    {
        EXPECT_FALSE(failed("job" + std::to_string(i))) << i;
        EXPECT_TRUE(done("job" + std::to_string(i))) << i;
    }
    EXPECT_FALSE(failed("lasting"));
    EXPECT_EQ(fixture.state.find_step(make_run("lasting", 0, 1))->active.size(),
              5U);
    EXPECT_EQ(workers.violations, std::vector<std::string>());
}

// Guards against jobs that are given up because a start finds that its worker
// is down already. Nothing asks an idle worker for its runs before.
TEST_P(crash_storm, start_on_a_worker_that_is_down_fails_no_job)
{
    constexpr int jobs = 40;
    for (int i = 0; i < jobs; ++i)
    {
        fixture.submit("job" + std::to_string(i), make_step(2, 1));
        workers.crash(workers.random_worker());
        pass(milliseconds(500));
    }
    pass(milliseconds(60000));
    for (int i = 0; i < jobs; ++i)
    {
        EXPECT_FALSE(failed("job" + std::to_string(i))) << i;
        EXPECT_TRUE(done("job" + std::to_string(i))) << i;
    }
}

// Guards against a subtask that goes on crashing workers because each crash has
// other explanations at the time.
TEST_P(crash_storm, subtask_that_crashes_its_workers_is_given_up)
{
    workers.crashing.insert("crashing.0.0");
    for (int i = 0; i < 10; ++i)
    {
        fixture.submit("job" + std::to_string(i), make_step(5, 1));
    }
    fixture.submit("crashing", make_step(1, 1));
    storm(milliseconds(20000));
    pass(milliseconds(60000));
    EXPECT_TRUE(failed("crashing"));
    EXPECT_LE(workers.starts_of["crashing.0.0"], max_starts);
    for (int i = 0; i < 10; ++i)
    {
        EXPECT_TRUE(done("job" + std::to_string(i))) << i;
    }
}

// Guards against a subtask that waits for as long as other workers report but
// can't be reached, because these count as just lost.
TEST_P(crash_storm, workers_that_report_and_do_not_answer_delay_no_suspect)
{
    auto spread = make_step(worker_count, 0);
    spread.set_max_per_worker(1);
    spread.set_lasting(true);
    spread.set_estimate_ms(1000000000);
    fixture.submit("spread", spread);
    pass(milliseconds(5000));
    fixture.submit("job", make_step(1, 1));
    const auto wait_for_start = [this](int run, milliseconds limit)
    {
        for (milliseconds waited{0};
             waited < limit && workers.starts_of["job.0.0"] < run;
             waited += tick)
        {
            pass(tick);
        }
        return workers.starts_of["job.0.0"] >= run;
    };
    constexpr milliseconds longest_wait{15000};
    for (int run = 1; run <= 2; ++run)
    {
        ASSERT_TRUE(wait_for_start(run, longest_wait));
        for (const auto& [key, live] : fixture.workers->runs())
        {
            if (live.ref.job() == "job")
            {
                workers.restart(live.location.worker);
            }
        }
    }
    constexpr int cut_off = 3;
    for (int i = 0; i < cut_off; ++i)
    {
        workers.set_disconnected(workers.random_worker(), true);
    }
    EXPECT_TRUE(wait_for_start(3, longest_wait));
    EXPECT_FALSE(failed("job"));
}

// Guards against a job that is given up because the only worker for it flaps:
// each crash is of the same worker.
TEST_P(crash_storm, flapping_worker_fails_no_job)
{
    auto step = make_step(1, 1);
    step.set_required_label("flapping");
    workers.add("w99", "r9", "flapping");
    pass(milliseconds(5000));
    fixture.submit("job", step);
    constexpr milliseconds crash_after_start{100};
    constexpr int flaps = 4;
    for (int i = 0; i < flaps; ++i)
    {
        const auto starts = workers.starts_of["job.0.0"];
        for (int t = 0; t < 400 && workers.starts_of["job.0.0"] == starts; ++t)
        {
            pass(tick);
        }
        pass(crash_after_start);
        workers.restart("w99");
    }
    pass(milliseconds(60000));
    EXPECT_FALSE(failed("job"));
    EXPECT_TRUE(done("job"));
}

INSTANTIATE_TEST_SUITE_P(seeds, crash_storm, ::testing::Range(1U, 21U));

crash_record crash_under(std::uint32_t run, const std::string& address)
{
    return {run, "w" + std::to_string(run), address, 1700000000000,
            crash_cause::sole};
}

// Guards against a subtask that is given up for the fault of one worker.
TEST(crash_evidence, crashes_of_one_worker_need_more_proof)
{
    std::vector<crash_record> crashes;
    for (std::uint32_t run = 1; run <= 4; ++run)
    {
        crashes.push_back(crash_under(run, "10.0.0.1:80"));
        EXPECT_FALSE(proves_crashing(crashes)) << run;
    }
    auto of_two_workers = crashes;
    of_two_workers.push_back(crash_under(5, "10.0.0.2:80"));
    EXPECT_TRUE(proves_crashing(of_two_workers));
    crashes.push_back(crash_under(5, "10.0.0.1:80"));
    EXPECT_TRUE(proves_crashing(crashes));
}

// Guards against a subtask that is given up for crashes with other
// explanations, however many there were.
TEST(crash_evidence, inconclusive_crashes_prove_nothing)
{
    std::vector<crash_record> crashes;
    for (std::uint32_t run = 1; run <= 10; ++run)
    {
        crashes.push_back(
            {run, "w", std::to_string(run), 0, crash_cause::unknown});
    }
    EXPECT_FALSE(proves_crashing(crashes));
    EXPECT_TRUE(must_await_calm(crashes));
}

// Guards against a subtask that goes on crashing workers because some of the
// crashes were beside other losses, and against a job that is given up for
// crashes that may be the fault of another one.
TEST(crash_evidence, inconclusive_crashes_support_conclusive_ones)
{
    std::vector<crash_record> crashes{crash_under(1, "10.0.0.1:80"),
                                      crash_under(2, "10.0.0.2:80")};
    crashes.push_back({3, "w", "10.0.0.3:80", 0, crash_cause::unknown});
    EXPECT_FALSE(proves_crashing(crashes));
    crashes.push_back({4, "w", "10.0.0.4:80", 0, crash_cause::unknown});
    EXPECT_TRUE(proves_crashing(crashes));
    for (auto& crash : crashes)
    {
        crash.cause = crash_cause::shared;
    }
    EXPECT_FALSE(proves_crashing(crashes));
}

// Guards against a crash that counts as proof while many workers are lost, and
// against one that never counts on a large fleet, which loses some at any time.
TEST(crash_evidence, losses_are_compared_with_the_size_of_the_fleet)
{
    EXPECT_TRUE(is_rare(1, 10));
    EXPECT_FALSE(is_rare(2, 10));
    EXPECT_FALSE(is_rare(5, 48));
    EXPECT_TRUE(is_rare(20, 2400));
}

// Guards against crashes an hour apart that add up although runs between them
// went on, and against a report of an earlier crash that arrives after that.
TEST(crash_evidence, run_that_lives_refutes_earlier_crashes)
{
    step_state step;
    step.subtask_count = 1;
    step.subtasks[0].last_run = 5;
    EXPECT_TRUE(record_crash(step, 0, crash_under(1, "10.0.0.1:80")));
    EXPECT_TRUE(record_crash(step, 0, crash_under(2, "10.0.0.2:80")));
    EXPECT_TRUE(record_survival(step, 0, 4));
    EXPECT_TRUE(step.crashed.empty());
    EXPECT_FALSE(record_crash(step, 0, crash_under(3, "10.0.0.3:80")));
    EXPECT_FALSE(record_survival(step, 0, 4));
    EXPECT_TRUE(record_crash(step, 0, crash_under(5, "10.0.0.5:80")));
    // A later crash is not refuted by a run before it.
    EXPECT_FALSE(record_survival(step, 0, 4));
    EXPECT_EQ(step.subtasks[0].crashes,
              std::vector<crash_record>{crash_under(5, "10.0.0.5:80")});
}

// Guards against a crash that is put down to a run although its worker reported
// long after the start, and then fell silent.
TEST(crash_evidence, worker_that_reported_after_a_start_did_not_crash_under_it)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    accept_starts(fixture);
    fixture.advance(milliseconds(1000));
    fixture.report("w1");
    fixture.advance(milliseconds(4000));
    fixture.replace_worker("w1", "w2");
    fixture.commit();
    const auto* const subtask =
        fixture.state.find_subtask(make_run("job", 0, 1));
    ASSERT_NE(subtask, nullptr);
    EXPECT_TRUE(subtask->crashes.empty());
}

// Guards against a run that went on under its worker's clock and does not clear
// its subtask, and against one that is taken to go on before it could crash its
// worker.
TEST(crash_evidence, run_is_cleared_when_its_worker_outlives_the_start)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    fixture.submit("job", make_step(1, 1));
    fixture.schedule();
    fleet_command command;
    command.mutable_crash()->set_address("10.0.0.9:80");
    *command.mutable_crash()->add_suspects() = make_run("job", 0, 1);
    fixture.apply(command);
    end_run(fixture, make_run("job", 0, 1), run_lapsed);
    fixture.port.starts.clear();
    fixture.advance(milliseconds(1000));
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    accept_starts(fixture);
    const auto crashes = [&fixture]
    {
        return fixture.state.find_subtask(make_run("job", 0, 2))
            ->crashes.size();
    };
    fixture.advance(milliseconds(100));
    list_runs(fixture);
    fixture.commit();
    EXPECT_EQ(crashes(), 1U);
    fixture.advance(milliseconds(500));
    list_runs(fixture);
    fixture.commit();
    EXPECT_EQ(crashes(), 0U);
}

} // namespace
} // namespace limpetstack::fleet
