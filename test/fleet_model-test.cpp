// Random histories of the fleet's leader over workers with lost, late and
// refused orders, cuts and takeovers; each order is checked against the rules.
#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace limpetstack::fleet
{
namespace
{

constexpr int worker_count = 8;
constexpr milliseconds tick{50};

struct history
{
    order_faults faults;
    bool takeovers = false;
    bool cuts = false;
};

class fleet_model : public ::testing::TestWithParam<unsigned>
{
protected:
    void play(const history& what)
    {
        std::mt19937 random(GetParam());
        fleet_fixture fixture;
        model_workers workers(fixture, GetParam() + 1000);
        for (int i = 0; i < worker_count; ++i)
        {
            workers.add("w" + std::to_string(i), "r" + std::to_string(i / 4));
        }
        int jobs = 0;
        workers.faults = what.faults;
        constexpr int busy_ticks = 400;
        constexpr int calm_ticks = 1600;
        for (int t = 0; t < busy_ticks + calm_ticks; ++t)
        {
            fixture.advance(tick);
            if (t == busy_ticks)
            {
                workers.faults = {};
                for (int i = 0; i < worker_count; ++i)
                {
                    workers.set_cut("w" + std::to_string(i), false);
                }
            }
            const bool busy = t < busy_ticks;
            if (busy && random() % 12 == 0)
            {
                submit(fixture, random, "job" + std::to_string(jobs++));
            }
            if (busy && what.takeovers && random() % 80 == 0)
            {
                fixture.start_leader();
            }
            if (busy && what.cuts && random() % 40 == 0)
            {
                workers.set_cut("w" + std::to_string(random() % worker_count),
                                random() % 2 == 0);
            }
            if (t % 20 == 0)
            {
                for (int i = 0; i < worker_count; ++i)
                {
                    fixture.report("w" + std::to_string(i));
                }
            }
            workers.advance();
            fixture.schedule();
        }
        for (const auto& violation : workers.violations)
        {
            ADD_FAILURE() << violation;
        }
        EXPECT_GT(workers.starts, 0U);
        for (const auto& [id, job] : fixture.state.jobs())
        {
            EXPECT_TRUE(job.ended() || job.done_occurrences == 1) << id;
        }
    }

    static void submit(fleet_fixture& fixture, std::mt19937& random,
                       const std::string& id)
    {
        static const char* const queues[] = {"urgent", "normal", "low"};
        static constexpr std::int64_t needs[] = {1, 2, 4, 8};
        auto step =
            make_step(1 + random() % 5, needs[random() % 4], random() % 2 == 0);
        step.set_estimate_ms(1000 + static_cast<std::int64_t>(random() % 4000));
        step.set_same_rack(random() % 2 == 0);
        fixture.submit(id, step, queues[random() % 3]);
    }
};

TEST_P(fleet_model, calm)
{
    play({});
}

// Guards against what an answer that never comes makes a leader believe.
TEST_P(fleet_model, lost_answers)
{
    play({{20, 0, 5}, false, false});
}

// Guards against orders that are carried out after newer ones.
TEST_P(fleet_model, late_orders)
{
    play({{10, 20, 0}, false, false});
}

// Guards against a new leader that starts what still runs, or may start late.
TEST_P(fleet_model, takeovers_with_late_orders)
{
    play({{10, 15, 5}, true, false});
}

// Guards against a second run beside one on a worker that is cut off.
TEST_P(fleet_model, cuts_and_takeovers)
{
    play({{10, 10, 5}, true, true});
}

INSTANTIATE_TEST_SUITE_P(seeds, fleet_model, ::testing::Range(1U, 61U));

} // namespace
} // namespace limpetstack::fleet
