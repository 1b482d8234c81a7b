// Runs the fleet's leader over random histories: orders to workers are lost,
// delayed or refused, workers are disconnected, and leaders change. The model
// checks each order against the rules of the worker protocol.
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
constexpr milliseconds longest_stop{900};

struct history_options
{
    order_faults faults;
    bool takeovers = false;
    bool disconnections = false;
    bool restarts = false;     // Under the same id.
    bool replacements = false; // Under another id at the same address.
    bool departures = false;
    milliseconds stop_time{300};
};

class fleet_model : public ::testing::TestWithParam<unsigned>
{
protected:
    void run_history(const history_options& options)
    {
        std::mt19937 random(GetParam());
        fleet_fixture fixture;
        model_workers workers(fixture, GetParam() + 1000);
        for (int i = 0; i < worker_count; ++i)
        {
            workers.add("w" + std::to_string(i), "r" + std::to_string(i / 4));
        }
        int jobs = 0;
        workers.faults = options.faults;
        workers.stop_time = options.stop_time;
        constexpr int fault_ticks = 400;
        constexpr int recovery_ticks = 1600;
        for (int t = 0; t < fault_ticks + recovery_ticks; ++t)
        {
            fixture.advance(tick);
            if (t == fault_ticks)
            {
                workers.faults = {};
                workers.reconnect_all();
            }
            const bool with_faults = t < fault_ticks;
            if (with_faults && random() % 12 == 0)
            {
                submit(fixture, random, "job" + std::to_string(jobs++));
            }
            if (with_faults && options.takeovers && random() % 80 == 0)
            {
                fixture.start_leader();
            }
            if (with_faults && options.disconnections && random() % 40 == 0)
            {
                workers.set_disconnected(
                    "w" + std::to_string(random() % worker_count),
                    random() % 2 == 0);
            }
            if (with_faults && options.departures && random() % 40 == 0)
            {
                workers.depart(workers.random_worker());
            }
            if (with_faults && options.restarts && random() % 25 == 0)
            {
                workers.restart(workers.random_worker());
            }
            if (with_faults && options.replacements)
            {
                replace_or_disconnect(workers, random);
            }
            if (t % 20 == 0)
            {
                workers.report_all();
            }
            workers.advance();
            fixture.schedule();
        }
        for (const auto& violation : workers.violations)
        {
            ADD_FAILURE() << violation;
        }
        EXPECT_GT(workers.starts, 0U);
        EXPECT_EQ(workers.departures > 0, options.departures);
        for (const auto& [id, job] : fixture.state.jobs())
        {
            EXPECT_TRUE(job.ended() || job.done_occurrences == 1) << id;
        }
    }

    static void replace_or_disconnect(model_workers& workers,
                                      std::mt19937& random)
    {
        if (random() % 25 == 0)
        {
            workers.replace(workers.random_worker());
        }
        if (random() % 20 == 0)
        {
            workers.disconnect_for(workers.random_worker(),
                                   milliseconds(200 + random() % 2800));
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

// Guards against broken rules and unfinished jobs when nothing fails.
TEST_P(fleet_model, no_faults)
{
    run_history({});
}

// Guards against wrong conclusions of the leader from answers that never
// arrive.
TEST_P(fleet_model, lost_answers)
{
    run_history({{20, 0, 5}, false, false});
}

// Guards against orders that workers carry out after newer orders.
TEST_P(fleet_model, late_orders)
{
    run_history({{10, 20, 0}, false, false});
}

// Guards against a new leader that starts a subtask again while a run of the
// earlier leader is present or may still start.
TEST_P(fleet_model, takeovers_with_late_orders)
{
    run_history({{10, 15, 5}, true, false});
}

// Guards against a second run of a subtask while the first one is still present
// on a disconnected worker.
TEST_P(fleet_model, disconnections_and_takeovers)
{
    run_history({{10, 10, 5}, true, true});
}

// Guards against a second run of a subtask while a worker that was removed
// from the state runs on, because the answer to its departure was lost.
TEST_P(fleet_model, departures)
{
    run_history({{10, 10, 5}, false, false, false, false, true, longest_stop});
}

// Guards against the same after a change of the leader, which finds runs on
// workers that are not in the state any more.
TEST_P(fleet_model, departures_and_takeovers)
{
    run_history({{10, 10, 5}, true, true, false, false, true, longest_stop});
}

// Guards against a second run of a subtask, and a start beyond a worker's
// capacity, when a worker that restarted under its id took a start that was
// meant for its earlier process.
TEST_P(fleet_model, restarts_under_the_same_id)
{
    run_history({{10, 10, 5}, true, false, true});
}

// Guards against the same when disconnections hide the restart.
TEST_P(fleet_model, restarts_and_disconnections)
{
    run_history({{20, 10, 5}, true, true, true});
}

// Guards against a live worker that is taken for gone because another one was
// at its address whose clock was ahead.
TEST_P(fleet_model, replacements_with_differing_clocks)
{
    run_history({{10, 10, 5}, true, false, false, true});
}

INSTANTIATE_TEST_SUITE_P(seeds, fleet_model, ::testing::Range(1U, 61U));

} // namespace
} // namespace limpetstack::fleet
