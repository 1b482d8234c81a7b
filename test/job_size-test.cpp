// Checks that the work of single calls into the leader's thread follows the
// runs that are at work, not the size that a caller declares. The work is
// counted in allocations and allocated bytes, which do not depend on the
// machine's speed.
#include "support/fleet_fixture.hpp"
#include "support/fleet_service_fixture.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <new>
#include <string>

namespace
{

std::size_t allocations = 0;
std::size_t allocated_bytes = 0;

void* allocate(std::size_t size)
{
    ++allocations;
    allocated_bytes += size;
    if (void* const memory = std::malloc(size == 0 ? 1 : size))
    {
        return memory;
    }
    throw std::bad_alloc();
}

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}
void* operator new[](std::size_t size)
{
    return allocate(size);
}
void operator delete(void* memory) noexcept
{
    std::free(memory);
}
void operator delete[](void* memory) noexcept
{
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
void operator delete[](void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace limpetstack::fleet
{
namespace
{

struct work
{
    std::size_t allocations = 0;
    std::size_t bytes = 0;
};

work work_of(const std::function<void()>& call)
{
    const auto first = allocations;
    const auto first_byte = allocated_bytes;
    call();
    return {allocations - first, allocated_bytes - first_byte};
}

// The work of each call, by what it does.
using work_by_call = std::map<std::string, work>;

job_spec repeat_step(const step_spec& step, int steps)
{
    job_spec spec;
    for (int i = 0; i < steps; ++i)
    {
        *spec.add_steps() = step;
    }
    return spec;
}

job_spec timed_job(std::uint32_t occurrences)
{
    auto spec = repeat_step(make_step(1, 8), 1);
    spec.set_first_run_ms(1);
    spec.set_interval_ms(1);
    spec.set_repeat_count(occurrences);
    return spec;
}

// Measures the calls on a leader with one worker, a small job at work beside
// the job, and the job itself.
work_by_call measure(const job_spec& spec, const std::string& queue)
{
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    add_ready_worker(fixture, "w2", "r1");
    fixture.submit("small", make_step(1, 8));
    fixture.schedule();
    accept_starts(fixture);
    fixture.port.starts.clear();
    work_by_call result;
    const auto schedule = [&fixture]
    {
        fixture.now += milliseconds(200);
        fixture.wall_ms += 200;
        fixture.schedule();
    };
    result["accept"] = work_of(
        [&]
        {
            fixture.submit_job("large", spec, queue);
        });
    result["first round"] = work_of(schedule);
    result["next round"] = work_of(schedule);
    const auto live = fixture.workers->runs().lower_bound("large.");
    if (live != fixture.workers->runs().end() &&
        live->second.ref.job() == "large")
    {
        const auto run = live->second.ref;
        result["failed run"] = work_of(
            [&]
            {
                end_run(fixture, run, run_failed);
                schedule();
            });
    }
    result["end"] = work_of(
        [&]
        {
            end_run(fixture, make_run("small", 0, 1), run_done);
            schedule();
        });
    result["document"] = work_of(
        [&]
        {
            fixture.scheduler->use_document(fixture.document);
            schedule();
        });
    result["snapshot"] = work_of(
        [&]
        {
            fleet_state restored;
            restored.restore(fixture.state.snapshot());
        });
    result["takeover"] = work_of(
        [&]
        {
            fixture.start_leader();
            schedule();
        });
    fleet_command cancel;
    cancel.mutable_cancel()->set_job("large");
    result["cancel"] = work_of(
        [&]
        {
            fixture.apply(cancel);
            schedule();
        });
    return result;
}

// Fails for each call that takes more work for the large job than for the
// small one. The margin covers a few more digits, log lines and containers that
// grow.
void expect_equal_work(const work_by_call& small, const work_by_call& large)
{
    constexpr std::size_t extra_allocations = 64;
    constexpr std::size_t extra_bytes = 16384;
    for (const auto& [call, expected] : small)
    {
        const auto found = large.find(call);
        ASSERT_NE(found, large.end()) << call;
        EXPECT_LE(found->second.allocations,
                  2 * expected.allocations + extra_allocations)
            << call;
        EXPECT_LE(found->second.bytes, 2 * expected.bytes + extra_bytes)
            << call;
    }
}

// Guards against a leader that is busy for seconds, and loses its leadership,
// with a job of large gangs that do not fit on the fleet.
TEST(job_size, gangs_that_do_not_fit)
{
    for (const auto* const queue : {"normal", "urgent"})
    {
        expect_equal_work(
            measure(repeat_step(make_step(20, 1, true), 50), queue),
            measure(repeat_step(make_step(20000, 1, true), 50), queue));
    }
}

// Guards against the same with steps of many single subtasks, few of which fit
// at a time.
TEST(job_size, many_single_subtasks)
{
    for (const auto* const queue : {"normal", "urgent"})
    {
        expect_equal_work(measure(repeat_step(make_step(20, 8), 20), queue),
                          measure(repeat_step(make_step(20000, 8), 20), queue));
    }
}

// Guards against the same with a timed job of which many occurrences are due.
TEST(job_size, many_due_occurrences)
{
    expect_equal_work(measure(timed_job(2000), "normal"),
                      measure(timed_job(100000), "normal"));
}

// Guards against a state that grows with each subtask and each occurrence that
// is done.
TEST(job_size, done_work_leaves_nothing_behind)
{
    for (const auto& spec :
         {repeat_step(make_step(20000, 8), 1), timed_job(100000)})
    {
        fleet_fixture fixture;
        add_ready_worker(fixture, "w1", "r1");
        fixture.submit_job("large", spec);
        std::size_t early_size = 0;
        work early;
        work late;
        for (int i = 0; i < 300; ++i)
        {
            fixture.schedule();
            accept_starts(fixture);
            fixture.port.starts.clear();
            fixture.advance(milliseconds(100));
            fixture.report("w1");
            list_runs(fixture);
            const auto live = fixture.workers->runs().lower_bound("large.");
            ASSERT_NE(live, fixture.workers->runs().end()) << i;
            const auto run = live->second.ref;
            const auto end = work_of(
                [&]
                {
                    end_run(fixture, run, run_done);
                    fixture.schedule();
                });
            (i < 10 ? early : late) = end;
            if (i == 10)
            {
                early_size = fixture.state.snapshot().size();
            }
        }
        EXPECT_LE(fixture.state.snapshot().size(), early_size + 64);
        EXPECT_LE(late.allocations, 2 * early.allocations);
        EXPECT_LE(late.bytes, 2 * early.bytes);
    }
}

// Guards against a round that places thousands of small subtasks at once, and
// against subtasks that no later round places.
TEST(job_size, round_places_a_bounded_number_of_subtasks)
{
    constexpr std::size_t subtasks = 3000;
    constexpr std::size_t most_in_a_round = 1000;
    fleet_fixture fixture;
    add_ready_worker(fixture, "w1", "r1");
    auto step = make_step(subtasks, 0);
    step.mutable_need()->set_cpu_milli(1);
    step.mutable_need()->set_memory_mb(1);
    for (const auto* const queue : {"normal", "urgent"})
    {
        fixture.submit(queue, step, queue);
        for (std::size_t placed = 0; placed < subtasks;)
        {
            fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
            const auto added = fixture.proposals.size();
            ASSERT_GT(added, 0U);
            ASSERT_LE(added, most_in_a_round);
            placed += added;
            fixture.commit();
        }
    }
    EXPECT_EQ(fixture.workers->runs().size(), 2 * subtasks);
}

// Guards against a round that tries to place each waiting step on a large
// fleet, and against steps that no later round reaches because others that do
// not fit come first.
TEST(job_size, round_tries_a_bounded_number_of_steps)
{
    constexpr int worker_count = 500;
    constexpr int jobs = 500;
    constexpr std::size_t most_in_a_round = 400;
    for (const bool behind_others : {false, true})
    {
        fleet_fixture fixture;
        for (int i = 0; i < worker_count; ++i)
        {
            fixture.add_worker("w" + std::to_string(i), "r1");
        }
        confirm_workers(fixture);
        auto unplaceable = make_step(1, 1);
        unplaceable.set_required_label("missing");
        for (int i = 0; behind_others && i < jobs; ++i)
        {
            unplaceable.mutable_need()->set_cpu_milli(1000 + i);
            fixture.submit("first" + std::to_string(i), unplaceable);
        }
        for (int i = 0; i < jobs; ++i)
        {
            fixture.submit("job" + std::to_string(i), make_step(1, 1));
        }
        std::size_t placed = 0;
        for (int round = 0; round < 20 && placed < jobs; ++round)
        {
            fixture.now += milliseconds(100);
            fixture.scheduler->run_round(fixture.now, fixture.wall_ms);
            EXPECT_LE(fixture.proposals.size(), most_in_a_round);
            placed += fixture.proposals.size();
            fixture.commit();
        }
        EXPECT_EQ(placed, jobs);
    }
}

// Guards against bodies that the leader keeps while a majority confirms a
// refusal; anybody can send them.
TEST_F(fleet_service_test, refused_call_keeps_no_body)
{
    use_document();
    forwarded_call call;
    call.set_from_caller(true);
    call.set_method("POST");
    call.set_host("a.example");
    call.set_target(job_path);
    call.set_authorization("Bearer unknown");
    call.set_body(std::string(262144, 'x'));
    for (const bool repeated : {false, true})
    {
        call.set_repeated(repeated);
        const auto done = work_of(
            [&]
            {
                service.handle(call, [](const forwarded_answer&) {});
            });
        EXPECT_LE(done.bytes, 16384U) << repeated;
    }
    EXPECT_EQ(reads.size(), 2U);
}

} // namespace
} // namespace limpetstack::fleet
