// Runs the fleet's leader while a large share of all orders to workers gets no
// answer and is carried out seconds later. All workers are up and report.
#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <tuple>

namespace limpetstack::fleet
{
namespace
{

constexpr int worker_count = 24;
constexpr milliseconds tick{50};
constexpr milliseconds fault_time{24000};
constexpr milliseconds submit_interval{300};

struct fault_summary
{
    std::uint64_t starts = 0;
    std::uint64_t lapsed = 0;
    // Mean share of workers that get no placements as unreachable.
    double unreachable_share = 0;
    // Share of the jobs submitted in the first half of the fault that are done
    // at its end.
    double done_share = 0;
};

class lost_answers
    : public ::testing::TestWithParam<std::tuple<unsigned, unsigned>>
{
protected:
    lost_answers()
    {
        for (int i = 0; i < worker_count; ++i)
        {
            workers.add(worker_id(i), "r" + std::to_string(i / 6));
        }
        fixture.scheduler->use_document(fixture.document);
        for (int i = 0; i < 40; ++i)
        {
            pass_tick();
        }
    }

    static std::string worker_id(int number)
    {
        return "w" + std::to_string(10 + number);
    }

    void pass_tick()
    {
        fixture.advance(tick);
        if (++ticks % 20 == 0)
        {
            workers.report_all();
        }
        workers.advance();
        fixture.schedule();
    }

    void submit_job()
    {
        const auto id = "job" + std::to_string(jobs++);
        const auto accelerators = 1 << random() % 4;
        const bool gang = random() % 3 != 0;
        auto step = make_step(1 + random() % 4, accelerators, gang);
        step.set_estimate_ms(2000);
        static const char* const queues[] = {"urgent", "normal", "low"};
        fixture.submit(id, step, queues[random() % 3]);
    }

    double unreachable_workers() const
    {
        double count = 0;
        for (const auto& [id, worker] : fixture.workers->workers())
        {
            count += fixture.workers->availability(worker, fixture.now) ==
                             worker_availability::unreachable
                         ? 1
                         : 0;
        }
        return count;
    }

    // Loses a share of all orders for the fault time, with work under way.
    fault_summary run_fault()
    {
        fault_summary summary;
        workers.faults.late = std::get<1>(GetParam());
        int early_jobs = 0;
        const auto begin = fixture.now;
        for (auto next = begin; fixture.now < begin + fault_time;)
        {
            if (fixture.now >= next)
            {
                next += submit_interval;
                submit_job();
                early_jobs =
                    fixture.now < begin + fault_time / 2 ? jobs : early_jobs;
            }
            pass_tick();
            summary.unreachable_share +=
                unreachable_workers() / worker_count * tick.count() /
                static_cast<double>(fault_time.count());
        }
        summary.starts = workers.starts;
        summary.lapsed =
            fixture.counters.counter("run_ends_total{end=\"run_lapsed\"}");
        int done = 0;
        for (int i = 0; i < early_jobs; ++i)
        {
            const auto* const job =
                fixture.state.find_job("job" + std::to_string(i));
            done += job == nullptr || job->done_occurrences == 1 ? 1 : 0;
        }
        summary.done_share = static_cast<double>(done) / early_jobs;
        return summary;
    }

    fleet_fixture fixture;
    model_workers workers{fixture, std::get<0>(GetParam())};
    std::mt19937 random{std::get<0>(GetParam()) + 100};
    int ticks = 0;
    int jobs = 0;
};

// Guards against a leader that takes workers whose answers get lost for dead:
// it places nothing there, lets the leases of their runs expire and starts the
// work again elsewhere.
TEST_P(lost_answers, workers_that_answer_some_orders_keep_their_work)
{
    const auto summary = run_fault();
    SCOPED_TRACE(std::to_string(summary.lapsed) + " of " +
                 std::to_string(summary.starts) + " runs lapsed, " +
                 std::to_string(summary.unreachable_share) +
                 " of the workers unreachable, " +
                 std::to_string(summary.done_share) + " of the jobs done");
    EXPECT_LE(summary.lapsed * 20, summary.starts);
    EXPECT_LE(summary.unreachable_share, 0.1);
    EXPECT_GE(summary.done_share, 0.65);
    EXPECT_TRUE(workers.violations.empty()) << workers.violations.front();
}

INSTANTIATE_TEST_SUITE_P(seeds_and_percent, lost_answers,
                         ::testing::Combine(::testing::Range(1U, 9U),
                                            ::testing::Values(10U, 30U, 60U)));

} // namespace
} // namespace limpetstack::fleet
