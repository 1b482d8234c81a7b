#include "coordination/job_scheduler.hpp"

#include "support/job_test_bed.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>

namespace limpetstack
{
namespace
{

constexpr time_point start_time{milliseconds(1000)};

queued_job job_of(const std::string& id, const std::string& account,
                  gang_shape shape, urgency level = urgency::normal)
{
    queued_job job;
    job.id = id;
    job.account = account;
    job.service = "s";
    job.shape = shape;
    job.level = level;
    return job;
}

gang_shape shape(std::uint32_t members, std::uint32_t accelerators,
                 adjacency placement = adjacency::any)
{
    return {members, {accelerators, 1, 1024}, placement};
}

guaranteed_shape guarantee(std::uint32_t members, std::uint32_t accelerators,
                           adjacency placement, std::uint32_t count = 1)
{
    guaranteed_shape g;
    g.data_centre = "dc1";
    g.count = count;
    g.members = members;
    g.accelerators = accelerators;
    g.cores = 2;
    g.memory_mib = 4096;
    g.placement = placement;
    return g;
}

void add_workers(job_scheduler& scheduler, int racks, int per_rack)
{
    for (int r = 0; r < racks; ++r)
    {
        for (int w = 0; w < per_rack; ++w)
        {
            const auto rack = "r" + std::to_string(r);
            scheduler.put_worker({rack + "-" + std::to_string(w),
                                  "dc1",
                                  rack,
                                  {8, 32, 128 << 10}});
        }
    }
}

/// Ends all victims at once and returns the ids that start.
std::set<std::string> run_decisions(job_scheduler& scheduler, time_point now)
{
    std::set<std::string> started;
    for (int round = 0; round < 3; ++round)
    {
        for (const auto& decision : scheduler.decide(now, 1000))
        {
            for (const auto& victim : decision.victims)
            {
                scheduler.finished(victim, std::nullopt);
                started.erase(victim);
            }
            if (decision.victims.empty())
            {
                started.insert(decision.id);
            }
        }
    }
    return started;
}

// Guards against a large gang that waits for ever while small jobs take every
// accelerator that becomes free.
TEST(job_scheduler, small_jobs_do_not_starve_a_large_gang)
{
    job_scheduler scheduler("dc1");
    scheduler.configure(test::two_accounts(2, 2, 8, {}));
    add_workers(scheduler, 2, 2);
    auto now = start_time;
    int number = 0;
    std::vector<std::string> small;
    const auto add_small = [&]
    {
        auto job = job_of("s" + std::to_string(++number), "a", shape(1, 4));
        job.declared = milliseconds(10 * 1000);
        scheduler.submit(job, false);
        small.push_back(job.id);
    };
    for (int i = 0; i < 20; ++i)
    {
        add_small();
    }
    run_decisions(scheduler, now);
    scheduler.submit(job_of("large", "a", shape(2, 8, adjacency::rack)), false);
    bool started = false;
    for (int i = 0; i < 100 && !started; ++i)
    {
        now += milliseconds(1000);
        scheduler.finished(small[static_cast<std::size_t>(i)],
                           milliseconds(8000));
        add_small();
        started = run_decisions(scheduler, now).count("large") > 0;
    }
    EXPECT_TRUE(started);
}

// Guards against a flood of urgent jobs of one account that keeps the others
// from getting their share.
TEST(job_scheduler, urgent_flood_stays_within_its_share)
{
    job_scheduler scheduler("dc1");
    scheduler.configure(test::two_accounts(2, 2, 8, {}));
    add_workers(scheduler, 2, 2);
    for (int i = 0; i < 100; ++i)
    {
        scheduler.submit(
            job_of("u" + std::to_string(i), "a", shape(1, 1), urgency::urgent),
            false);
    }
    for (int i = 0; i < 100; ++i)
    {
        scheduler.submit(job_of("n" + std::to_string(i), "b", shape(1, 1)),
                         false);
    }
    int urgent = 0;
    const auto started = run_decisions(scheduler, start_time);
    for (const auto& id : started)
    {
        urgent += id[0] == 'u' ? 1 : 0;
    }
    EXPECT_EQ(started.size(), 32U);
    EXPECT_EQ(urgent, 16);
}

// Guards against reclaim that stops work of an account that is inside its own
// guarantee, and against work that stays outside when there is room inside.
TEST(job_scheduler, promoted_work_is_not_reclaimed)
{
    auto config =
        test::two_accounts(2, 2, 8, {guarantee(2, 8, adjacency::rack)});
    config.client_accounts[1].guarantees = {guarantee(2, 8, adjacency::rack)};
    job_scheduler scheduler("dc1");
    scheduler.configure(config);
    add_workers(scheduler, 2, 2);
    const auto rack = shape(2, 8, adjacency::rack);
    scheduler.submit(job_of("a1", "a", rack), false);
    scheduler.submit(job_of("a2", "a", rack), false);
    run_decisions(scheduler, start_time);
    EXPECT_TRUE(scheduler.guaranteed("a1"));
    EXPECT_FALSE(scheduler.guaranteed("a2"));
    scheduler.finished("a1", std::nullopt);
    run_decisions(scheduler, start_time);
    EXPECT_TRUE(scheduler.guaranteed("a2"));
    scheduler.submit(job_of("b1", "b", rack), false);
    EXPECT_EQ(run_decisions(scheduler, start_time).count("b1"), 1U);
    EXPECT_TRUE(scheduler.guaranteed("a2"));
}

struct random_account
{
    guaranteed_shape shape;
    std::string running; // The full guaranteed gang, when it runs.
};

/// Ends work that moved inside a guarantee, until no more does.
void clear_guarantee(job_scheduler& scheduler,
                     const std::vector<std::string>& ids, time_point now)
{
    for (bool found = true; found;)
    {
        run_decisions(scheduler, now);
        found = false;
        for (const auto& id : ids)
        {
            if (scheduler.guaranteed(id))
            {
                scheduler.finished(id, std::nullopt);
                found = true;
            }
        }
    }
}

// Guards against a guarantee that can not be reclaimed: whatever else runs,
// an account whose guaranteed gang does not run gets it at once when all
// victims stop, and no victim is inside a guarantee.
RC_GTEST_PROP(invariant, reclaim_guarantee_finds_room_at_any_time, ())
{
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const auto pick = [&random](int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    const int racks = pick(1, 4);
    const int per_rack = pick(1, 6);
    auto config = test::two_accounts(racks, per_rack, 8, {});
    config.client_accounts.clear();
    std::map<std::string, random_account> accounts;
    const int wanted = pick(1, 6);
    for (int i = 0; i < wanted; ++i)
    {
        client_account account;
        account.name = "c" + std::to_string(i);
        const bool adjacent = pick(0, 1) == 0;
        account.guarantees = {
            guarantee(static_cast<std::uint32_t>(pick(1, per_rack)),
                      static_cast<std::uint32_t>(pick(1, 8)),
                      adjacent ? adjacency::rack : adjacency::any)};
        config.client_accounts.push_back(account);
        if (check_guarantees(config).empty())
        {
            accounts[account.name].shape = account.guarantees[0];
        }
        else
        {
            config.client_accounts.pop_back();
        }
    }
    config.client_accounts.emplace_back().name = "borrower";
    job_scheduler scheduler("dc1");
    scheduler.configure(config);
    add_workers(scheduler, racks, per_rack);
    std::vector<std::string> borrowed;
    auto now = start_time;
    for (int i = 0; i < 60; ++i)
    {
        now += milliseconds(1000);
        const auto id = "j" + std::to_string(i);
        const auto chosen =
            accounts.empty()
                ? accounts.end()
                : std::next(accounts.begin(),
                            pick(0, static_cast<int>(accounts.size()) - 1));
        if (chosen == accounts.end() || pick(0, 2) > 0)
        {
            // Other work: of accounts without a guarantee, and of accounts
            // inside their guarantee in part or beyond it.
            const auto name = chosen == accounts.end() || pick(0, 1) == 0
                                  ? "borrower"
                                  : chosen->first;
            scheduler.submit(
                job_of(id, name,
                       shape(static_cast<std::uint32_t>(pick(1, 4)),
                             static_cast<std::uint32_t>(pick(0, 8)))),
                false);
            borrowed.push_back(id);
            run_decisions(scheduler, now);
            continue;
        }
        auto& account = chosen->second;
        if (!account.running.empty())
        {
            scheduler.finished(account.running, milliseconds(1000));
            account.running.clear();
        }
        clear_guarantee(scheduler, borrowed, now);
        if (pick(0, 1) == 0)
        {
            continue;
        }
        scheduler.submit(job_of(id, chosen->first, shape_of(account.shape)),
                         false);
        const auto started = run_decisions(scheduler, now);
        RC_ASSERT(started.count(id) == 1U);
        RC_ASSERT(scheduler.guaranteed(id));
        account.running = id;
        for (const auto& [name, other] : accounts)
        {
            RC_ASSERT(other.running.empty() ||
                      scheduler.guaranteed(other.running));
        }
    }
}

// Guards against queues that grow with the square of their length when jobs
// are cancelled or restarted.
TEST(job_scheduler, cancelled_jobs_never_start)
{
    job_scheduler scheduler("dc1");
    scheduler.configure(test::two_accounts(1, 2, 8, {}));
    add_workers(scheduler, 1, 2);
    for (int i = 0; i < 10000; ++i)
    {
        scheduler.submit(job_of(std::to_string(i), "a", shape(1, 8)), false);
    }
    for (int i = 0; i < 10000; i += 1)
    {
        EXPECT_EQ(scheduler.cancel(std::to_string(i)), true);
    }
    EXPECT_FALSE(scheduler.cancel("1"));
    EXPECT_TRUE(scheduler.decide(start_time, 100).empty());
}

// Guards against starts in an evacuated data centre, against work that is
// stopped for a guaranteed job that may not start, and against jobs that do not
// start when the evacuation has ended.
TEST(job_scheduler, nothing_starts_or_is_reclaimed_during_an_evacuation)
{
    auto config =
        test::two_accounts(1, 2, 8, {guarantee(2, 8, adjacency::rack)});
    job_scheduler scheduler("dc1");
    scheduler.configure(config);
    add_workers(scheduler, 1, 2);
    const auto rack = shape(2, 8, adjacency::rack);
    scheduler.submit(job_of("borrows", "b", rack), false);
    EXPECT_EQ(run_decisions(scheduler, start_time).count("borrows"), 1U);
    scheduler.set_evacuated(true);
    scheduler.submit(job_of("guaranteed", "a", rack), false);
    EXPECT_TRUE(scheduler.decide(start_time, 100).empty());
    EXPECT_EQ(scheduler.refusal(rack), "");
    scheduler.finished("borrows", std::nullopt);
    EXPECT_TRUE(scheduler.decide(start_time, 100).empty());
    EXPECT_EQ(scheduler.queue_length(), 1U);
    scheduler.set_evacuated(false);
    EXPECT_EQ(run_decisions(scheduler, start_time),
              std::set<std::string>({"guaranteed"}));
}

// Guards against a start in an evacuated data centre of a job that was placed
// before and waited for its victims to stop.
TEST(job_scheduler, placed_job_that_waits_for_victims_does_not_start)
{
    auto config =
        test::two_accounts(1, 2, 8, {guarantee(2, 8, adjacency::rack)});
    job_scheduler scheduler("dc1");
    scheduler.configure(config);
    add_workers(scheduler, 1, 2);
    const auto rack = shape(2, 8, adjacency::rack);
    scheduler.submit(job_of("borrows", "b", rack), false);
    run_decisions(scheduler, start_time);
    scheduler.submit(job_of("guaranteed", "a", rack), false);
    const auto decided = scheduler.decide(start_time, 100);
    ASSERT_EQ(decided.size(), 1U);
    ASSERT_EQ(decided[0].victims, std::vector<std::string>({"borrows"}));
    scheduler.set_evacuated(true);
    scheduler.finished("borrows", std::nullopt);
    EXPECT_TRUE(scheduler.decide(start_time, 100).empty());
    scheduler.set_evacuated(false);
    EXPECT_EQ(run_decisions(scheduler, start_time),
              std::set<std::string>({"guaranteed"}));
}

} // namespace
} // namespace limpetstack
