// Measures how long single calls into the leader's thread take while a job of
// the largest size that is accepted is in the state: its acceptance, rounds,
// ends, a cancelling, the beginning of a new leader, a snapshot and its
// restore. Nothing else runs on that thread during such a call.
#include "support/fleet_fixture.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

namespace
{

using namespace limpetstack;
using namespace limpetstack::fleet;

constexpr int small_jobs = 100;

double ms_of(const std::function<void()>& call)
{
    const auto began = std::chrono::steady_clock::now();
    call();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - began)
        .count();
}

// Starts the small jobs, so that the rounds have ends to process.
void start_small_jobs(fleet_fixture& fixture)
{
    for (int i = 0; i < small_jobs; ++i)
    {
        fixture.submit("small" + std::to_string(i), make_step(1, 1));
    }
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
}

void measure(const char* name, int workers, const job_spec& spec,
             const char* queue = "normal")
{
    fleet_fixture fixture;
    for (int i = 0; i < workers; ++i)
    {
        fixture.add_worker("w" + std::to_string(i),
                           "r" + std::to_string(i / 20));
    }
    confirm_workers(fixture);
    start_small_jobs(fixture);
    const auto round = [&]
    {
        fixture.now += milliseconds(200);
        fixture.wall_ms += 200;
        fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
    };
    const auto accept = ms_of(
        [&]
        {
            fixture.submit_job("large", spec, queue);
        });
    const auto first_round = ms_of(round);
    const auto apply_all = ms_of(
        [&]
        {
            fixture.commit();
        });
    accept_starts(fixture);
    fixture.port.starts.clear();
    const auto next_round = ms_of(round);
    fixture.commit();
    const auto end = ms_of(
        [&]
        {
            end_run(fixture, make_run("small0", 0, 1), run_done);
            round();
        });
    // Ends a run of the large job if one has started.
    const auto live = fixture.workers->runs().lower_bound("large.");
    double own_end = 0;
    if (live != fixture.workers->runs().end() &&
        live->second.ref.job() == "large")
    {
        const auto ref = live->second.ref;
        own_end = ms_of(
            [&]
            {
                end_run(fixture, ref, run_done);
                round();
            });
    }
    fixture.commit();
    std::string snapshot;
    const auto save = ms_of(
        [&]
        {
            snapshot = fixture.state.snapshot();
        });
    fleet_state restored;
    const auto restore = ms_of(
        [&]
        {
            restored.restore(snapshot);
        });
    const auto takeover = ms_of(
        [&]
        {
            fixture.start_leader();
            round();
        });
    fixture.commit();
    fleet_command cancel;
    cancel.mutable_cancel()->set_job("large");
    const auto cancelling = ms_of(
        [&]
        {
            fixture.apply(cancel);
            round();
        });
    std::printf(
        "%-28s %7d %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f "
        "%8.2f %9zu\n",
        name, workers, accept, first_round, apply_all, next_round, end, own_end,
        save, restore, takeover, cancelling, snapshot.size() / 1000);
    std::fflush(stdout);
}

job_spec repeat_step(const step_spec& step, int steps)
{
    job_spec spec;
    for (int i = 0; i < steps; ++i)
    {
        *spec.add_steps() = step;
    }
    return spec;
}

} // namespace

// The argument is the number of workers, 2400 without one.
int main(int argc, char** argv)
{
    const int workers = argc > 1 ? std::atoi(argv[1]) : 2400;
    std::printf("%-28s %7s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %9s\n",
                "job (times in ms)", "workers", "accept", "round", "commit",
                "next", "end", "own end", "save", "restore", "takeover",
                "cancel", "state kB");
    measure("1 subtask", workers, repeat_step(make_step(1, 1), 1));
    measure("1 gang of 20000", workers,
            repeat_step(make_step(20000, 1, true), 1));
    measure("1 x 20000 singles", workers, repeat_step(make_step(20000, 8), 1));
    measure("50 gangs of 20000", workers,
            repeat_step(make_step(20000, 1, true), 50));
    measure("256 gangs of 20000", workers,
            repeat_step(make_step(20000, 1, true), 256));
    measure("256 x 20000 singles", workers,
            repeat_step(make_step(20000, 8), 256));
    auto small = make_step(20000, 0);
    small.mutable_need()->set_cpu_milli(1);
    small.mutable_need()->set_memory_mb(1);
    measure("20000 small singles", workers, repeat_step(small, 1));
    small.set_gang(true);
    measure("1 gang of 20000 small", workers, repeat_step(small, 1));
    measure("256 gangs of 2, urgent", workers,
            repeat_step(make_step(2, 8, true), 256), "urgent");
    auto repeated = repeat_step(make_step(1, 8), 1);
    repeated.set_first_run_ms(1);
    repeated.set_interval_ms(1);
    repeated.set_repeat_count(100000);
    measure("100000 due occurrences", workers, repeated);
    return EXIT_SUCCESS;
}
