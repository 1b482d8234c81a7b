// Guards against gangs that other work passes without end, and against reserves
// and held workers that keep work waiting without need.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

void accept_new_starts(fleet_fixture& fixture)
{
    accept_starts(fixture);
    fixture.port.starts.clear();
}

int live_runs(const fleet_fixture& fixture, const std::string& job)
{
    int count = 0;
    for (const auto& [key, run] : fixture.workers->runs())
    {
        count += run.ref.job() == job ? 1 : 0;
    }
    return count;
}

void end_oldest_run(fleet_fixture& fixture, const std::string& job)
{
    const live_run* oldest = nullptr;
    for (const auto& [key, run] : fixture.workers->runs())
    {
        if (run.ref.job() == job &&
            (oldest == nullptr || run.ref.index() < oldest->ref.index()))
        {
            oldest = &run;
        }
    }
    if (oldest != nullptr)
    {
        end_run(fixture, run_ref(oldest->ref), run_done);
    }
}

void end_stopped_runs(fleet_fixture& fixture)
{
    for (const auto& stop : fixture.port.stops)
    {
        if (fixture.workers->runs().count(worker_fleet::key_of(stop.run)) > 0)
        {
            end_run(fixture, stop.run, run_stopped);
        }
    }
}

void pass(fleet_fixture& fixture, const std::vector<std::string>& ids,
          milliseconds time)
{
    fixture.advance(time);
    for (const auto& id : ids)
    {
        fixture.report(id);
    }
    list_runs(fixture);
    end_stopped_runs(fixture);
}

std::vector<std::string> add_workers(fleet_fixture& fixture, int count)
{
    std::vector<std::string> ids;
    for (int i = 1; i <= count; ++i)
    {
        ids.push_back("w" + std::to_string(i));
        add_ready_worker(fixture, ids.back(), "r1");
    }
    return ids;
}

// Returns true when a gang of half the service starts within a minute although
// single subtasks of `queue` that were accepted later wait.
bool gang_starts_beside(const std::string& queue, const std::string& gang_queue,
                        const std::string& account = "account")
{
    fleet_fixture fixture;
    const auto ids = add_workers(fixture, 4);
    fixture.submit("early", make_step(32, 1), queue, account);
    fixture.schedule();
    accept_new_starts(fixture);
    EXPECT_EQ(used_accelerators(fixture), 32);
    fixture.submit("gang", make_step(2, 8, true), gang_queue, account);
    // Handed in after the gang.
    fixture.submit("late", make_step(900, 1), queue, account);
    constexpr milliseconds step_time{5000 / 32};
    for (milliseconds waited{0}; waited < milliseconds(60000);
         waited += step_time)
    {
        pass(fixture, ids, step_time);
        end_oldest_run(fixture,
                       live_runs(fixture, "early") > 0 ? "early" : "late");
        fixture.schedule();
        accept_new_starts(fixture);
        if (live_runs(fixture, "gang") > 0)
        {
            return true;
        }
    }
    return false;
}

// Guards against a gang that later single subtasks of its own queue pass.
TEST(fleet_reserves, gang_starts_beside_later_singles_of_its_own_queue)
{
    EXPECT_TRUE(gang_starts_beside("normal", "normal"));
    EXPECT_TRUE(gang_starts_beside("low", "low"));
}

// Guards against a wide gang that smaller gangs of its own queue, accepted
// later, pass without end.
TEST(fleet_reserves, wide_gang_starts_beside_later_small_gangs_of_its_queue)
{
    fleet_fixture fixture;
    const auto ids = add_workers(fixture, 4);
    constexpr int small_gangs = 8;
    int next = 0;
    const auto submit_small = [&fixture, &next]
    {
        fixture.submit("small" + std::to_string(next++), make_step(2, 2, true),
                       "normal");
    };
    for (int i = 0; i < small_gangs; ++i)
    {
        submit_small();
    }
    fixture.schedule();
    accept_new_starts(fixture);
    ASSERT_EQ(used_accelerators(fixture), 32);
    fixture.submit("wide", make_step(2, 8, true), "normal");
    // Each of the gangs runs for its estimate, so one ends after each step.
    constexpr milliseconds step_time{5000 / small_gangs};
    for (int ended = 0; ended < 100 && live_runs(fixture, "wide") == 0; ++ended)
    {
        submit_small();
        pass(fixture, ids, step_time);
        const auto job = "small" + std::to_string(ended);
        end_oldest_run(fixture, job);
        end_oldest_run(fixture, job);
        fixture.schedule();
        accept_new_starts(fixture);
    }
    EXPECT_EQ(live_runs(fixture, "wide"), 2);
}

// Guards against an urgent gang outside any guarantee that later urgent single
// subtasks pass.
TEST(fleet_reserves, urgent_gang_starts_beside_later_urgent_singles)
{
    EXPECT_TRUE(gang_starts_beside("urgent", "urgent", "no-guarantee"));
}

// Brings a gang of four whole workers to hold w1 to w4, each with one
// accelerator in use; w5 to w8 have 4 in use. 20 of 64 are in use.
void hold_half(fleet_fixture& fixture, const std::vector<std::string>& ids)
{
    // w1 to w8 are filled one after the other by jobs that end later.
    fixture.submit("eights", make_step(8, 8), "normal");
    fixture.schedule();
    accept_new_starts(fixture);
    ASSERT_EQ(used_accelerators(fixture), 64);
    const auto end_on = [&fixture](const std::string& id)
    {
        const auto key = *fixture.workers->workers().at(id).runs.begin();
        end_run(fixture, run_ref(fixture.workers->runs().at(key).ref),
                run_done);
    };
    for (int i = 0; i < 8; ++i)
    {
        end_on(ids[i]);
        // A whole worker is taken by one job, which keeps the others off.
        fixture.submit("small" + ids[i], make_step(1, i < 4 ? 1 : 4), "normal");
        fixture.schedule();
        accept_new_starts(fixture);
        ASSERT_EQ(fixture.workers->workers().at(ids[i]).runs.size(), 1U);
        // Fills the rest until all are done.
        fixture.submit("rest" + ids[i], make_step(1, i < 4 ? 7 : 4), "normal");
        fixture.schedule();
        accept_new_starts(fixture);
        ASSERT_EQ(used_accelerators(fixture), 64);
    }
    for (const auto& id : ids)
    {
        end_oldest_run(fixture, "rest" + id);
    }
    ASSERT_EQ(used_accelerators(fixture), 20);
    fixture.submit("gang", make_step(4, 8, true), "normal");
    for (int i = 0; i < 12; ++i)
    {
        pass(fixture, ids, milliseconds(500));
        fixture.schedule();
    }
    ASSERT_EQ(live_runs(fixture, "gang"), 0);
}

// Guards against a job that has nothing at work although less than half of the
// service is in use and its subtask fits on four held workers.
TEST(fleet_reserves,
     hold_does_not_keep_a_job_from_starting_on_a_half_empty_service)
{
    fleet_fixture fixture;
    const auto ids = add_workers(fixture, 8);
    hold_half(fixture, ids);
    fixture.submit("low", make_step(1, 5), "low");
    for (int i = 0; i < 20; ++i)
    {
        pass(fixture, ids, milliseconds(500));
        fixture.schedule();
        accept_new_starts(fixture);
    }
    EXPECT_EQ(live_runs(fixture, "low"), 1);
}

// Guards against a lasting step, which may use held workers, that is skipped
// because a step of the same shape did not fit beside them.
TEST(fleet_reserves, lasting_step_starts_beside_a_step_that_a_hold_keeps_off)
{
    for (const bool beside : {false, true})
    {
        fleet_fixture fixture;
        const auto ids = add_workers(fixture, 8);
        hold_half(fixture, ids);
        if (beside)
        {
            fixture.submit("low", make_step(1, 5), "low");
        }
        auto lasting = make_step(1, 5);
        lasting.set_lasting(true);
        fixture.submit("lasting", lasting, "low");
        for (int i = 0; i < 20; ++i)
        {
            pass(fixture, ids, milliseconds(500));
            fixture.schedule();
            accept_new_starts(fixture);
        }
        EXPECT_EQ(live_runs(fixture, "lasting"), 1) << "beside: " << beside;
    }
}

// Guards against two gangs of different queues that both wait on an empty
// service, each because of what it leaves free for the other.
TEST(fleet_reserves,
     gangs_of_two_queues_do_not_block_each_other_on_an_empty_service)
{
    for (const bool both : {false, true})
    {
        fleet_fixture fixture;
        const auto ids = add_workers(fixture, 4);
        int urgent = 0;
        bool started = false;
        fixture.submit("urgent0", make_step(1, 8), "urgent");
        fixture.schedule();
        accept_new_starts(fixture);
        end_oldest_run(fixture, "urgent0");
        fixture.submit("gang", make_step(3, 8, true), "normal");
        if (both)
        {
            fixture.submit("low", make_step(3, 8, true), "low");
        }
        for (int i = 0; i < 30 && !started; ++i)
        {
            pass(fixture, ids, milliseconds(1000));
            fixture.schedule();
            accept_new_starts(fixture);
            started =
                live_runs(fixture, "gang") + live_runs(fixture, "low") > 0;
            // Urgent work comes now and then and takes less than a second.
            const auto job = "urgent" + std::to_string(++urgent);
            fixture.submit(job, make_step(1, 8), "urgent");
            fixture.schedule();
            accept_new_starts(fixture);
            end_oldest_run(fixture, job);
        }
        EXPECT_TRUE(started) << "both: " << both;
    }
}

// Guards against capacity that is left free for a queue whose only subtask
// needs more than the share.
TEST(fleet_reserves, share_is_not_kept_for_work_that_does_not_fit_into_it)
{
    int used[2] = {0, 0};
    for (const int beside : {0, 1})
    {
        fleet_fixture fixture;
        const auto ids = add_workers(fixture, 4);
        const auto add_urgent = [&fixture](const std::string& job)
        {
            fixture.submit(job, make_step(1, 1), "urgent");
            fixture.schedule();
            accept_new_starts(fixture);
            end_oldest_run(fixture, job);
        };
        add_urgent("urgent");
        if (beside == 1)
        {
            fixture.submit("low", make_step(1, 8), "low");
        }
        fixture.submit("normal", make_step(500, 1), "normal");
        for (int i = 0; i < 20; ++i)
        {
            pass(fixture, ids, milliseconds(1000));
            fixture.schedule();
            accept_new_starts(fixture);
            add_urgent("urgent" + std::to_string(i));
        }
        used[beside] =
            live_runs(fixture, "normal") + 8 * live_runs(fixture, "low");
    }
    EXPECT_GE(used[1], used[0]);
}

// Returns the runs of the lowest queue, whose share is 5, after 60 s on a full
// service beside single subtasks, and beside a gang, of the queue above it.
int share_after_a_minute(bool with_headroom, bool with_gang)
{
    fleet_fixture fixture;
    const auto ids = add_workers(fixture, 4);
    fixture.submit("early", make_step(32, 1), "normal");
    fixture.schedule();
    accept_new_starts(fixture);
    if (with_gang)
    {
        fixture.submit("gang", make_step(2, 8, true), "normal");
    }
    fixture.submit("late", make_step(900, 1), "normal");
    for (int i = 0; i < 400; ++i)
    {
        if (i == 60)
        {
            fixture.submit("low", make_step(900, 1), "low");
        }
        pass(fixture, ids, milliseconds(156));
        end_oldest_run(fixture,
                       live_runs(fixture, "early") > 0 ? "early" : "late");
        fixture.schedule();
        accept_new_starts(fixture);
        if (with_headroom && i % 10 == 0)
        {
            const auto job = "urgent" + std::to_string(i);
            fixture.submit(job, make_step(1, 1), "urgent");
            fixture.schedule();
            accept_new_starts(fixture);
            end_stopped_runs(fixture);
            fixture.schedule();
            accept_new_starts(fixture);
            end_oldest_run(fixture, job);
        }
    }
    return live_runs(fixture, "low");
}

// Guards against a share that is not kept while no capacity is free and nothing
// is reserved for urgent work.
TEST(fleet_reserves, share_is_kept_on_a_full_service_without_headroom)
{
    EXPECT_GE(share_after_a_minute(false, false), 4);
}

// Guards against a share that is not kept beside the headroom.
TEST(fleet_reserves, share_is_kept_on_a_full_service_with_headroom)
{
    EXPECT_GE(share_after_a_minute(true, false), 4);
}

// Guards against a share that is not kept beside held workers.
TEST(fleet_reserves, share_is_kept_beside_a_hold_with_headroom)
{
    EXPECT_GE(share_after_a_minute(true, true), 4);
}

// Guards against less urgent work that leaves free more than the only waiting
// gang needs.
TEST(fleet_reserves, held_gang_is_not_reserved_for_twice)
{
    fleet_fixture fixture;
    const auto ids = add_workers(fixture, 8);
    hold_half(fixture, ids);
    // 44 are free and the gang needs 32, so 12 may be used besides: w5 to w8
    // have 16 that are not held.
    fixture.submit("first", make_step(11, 1), "low");
    fixture.schedule();
    fixture.submit("low", make_step(100, 1), "low");
    for (int i = 0; i < 2; ++i)
    {
        pass(fixture, ids, milliseconds(100));
        fixture.schedule();
        accept_new_starts(fixture);
    }
    EXPECT_GE(live_runs(fixture, "low") + live_runs(fixture, "first"), 12);
}

// Guards against workers that are held without end because long runs on them go
// on.
TEST(fleet_reserves, hold_behind_long_runs_ends)
{
    fleet_fixture fixture;
    const auto ids = add_workers(fixture, 8);
    hold_half(fixture, ids);
    fixture.submit("low", make_step(100, 1), "low");
    for (int i = 0; i < 1200; ++i)
    {
        pass(fixture, ids, milliseconds(500));
        fixture.schedule();
        accept_new_starts(fixture);
    }
    // 20 of 64 were in use; w5 to w8 have 16 free, w1 to w4 28.
    EXPECT_GT(live_runs(fixture, "low"), 16);
}

// Guards against a queue whose service has changed and whose runs on the old
// service use up its share of the new one.
TEST(fleet_reserves,
     runs_on_the_old_service_do_not_use_the_share_of_the_new_one)
{
    for (const bool moved : {false, true})
    {
        fleet_fixture fixture;
        auto ids = add_workers(fixture, 4);
        for (const auto* const id : {"x1", "x2", "x3", "x4"})
        {
            fixture.add_worker(id, "r2", 1, "other");
            ids.emplace_back(id);
        }
        confirm_workers(fixture);
        if (moved)
        {
            fixture.submit("old", make_step(20, 1), "low");
            fixture.schedule();
            accept_new_starts(fixture);
            ASSERT_EQ(live_runs(fixture, "old"), 20);
        }
        for (auto& queue : fixture.document.queues)
        {
            if (queue.name == "low" || queue.name == "normal")
            {
                queue.service = "other";
            }
        }
        fixture.scheduler->use_document(fixture.document);
        // Gangs that can not start keep all but the share of "low" away.
        fixture.submit("busy", make_step(27, 1), "normal");
        fixture.schedule();
        accept_new_starts(fixture);
        ASSERT_EQ(live_runs(fixture, "busy"), 27);
        fixture.submit("gang", make_step(4, 8, true), "normal");
        fixture.submit("low", make_step(20, 1), "low");
        pass(fixture, ids, milliseconds(500));
        fixture.schedule();
        accept_new_starts(fixture);
        EXPECT_EQ(live_runs(fixture, "low"), 5) << "moved: " << moved;
    }
}

} // namespace
} // namespace limpetstack::fleet
