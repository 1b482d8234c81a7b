#include "coordination/worker_quarantine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace limpetstack
{
namespace
{

constexpr time_point start{milliseconds(1000)};

worker_quarantine fleet(int workers)
{
    worker_quarantine result;
    for (int i = 0; i < workers; ++i)
    {
        result.put("w" + std::to_string(i), "g");
    }
    return result;
}

// Guards against a worker that fails everything and keeps getting work, and
// against one that is never tried again.
TEST(worker_quarantine, bad_worker_is_quarantined_and_probed)
{
    auto q = fleet(6);
    for (int i = 0; i < 3; ++i)
    {
        const auto job = std::to_string(i);
        q.record("w1", job, false, start);
        EXPECT_EQ(q.record("w0", job, true, start), i == 2);
    }
    EXPECT_FALSE(q.usable("w0", start));
    EXPECT_TRUE(q.usable("w1", start));
    const auto first = start + milliseconds(30 * 1000);
    EXPECT_TRUE(q.usable("w0", first));
    q.started("w0", first);
    EXPECT_FALSE(q.usable("w0", first)); // One probe at a time.
    q.record("w0", "p", true, first);
    EXPECT_FALSE(q.usable("w0", first + milliseconds(59 * 1000)));
    const auto second = first + milliseconds(60 * 1000);
    EXPECT_TRUE(q.usable("w0", second));
    q.started("w0", second);
    q.record("w0", "p2", false, second);
    EXPECT_TRUE(q.usable("w0", second));
    EXPECT_TRUE(q.quarantined().empty());
}

// Guards against one bad job that is retried until its worker is quarantined.
TEST(worker_quarantine, one_bad_job_quarantines_nobody)
{
    auto q = fleet(6);
    for (int i = 0; i < 50; ++i)
    {
        EXPECT_FALSE(q.record("w0", "bad", true, start));
    }
}

// Guards against bad jobs that take the fleet out of use: never more than a
// third of a group, and nobody when failures are common everywhere.
RC_GTEST_PROP(worker_quarantine, never_more_than_a_third, ())
{
    const auto workers = *rc::gen::inRange(1, 30);
    auto q = fleet(workers);
    auto now = start;
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        300,
        rc::gen::pair(rc::gen::inRange(0, workers), rc::gen::inRange(0, 4)));
    int job = 0;
    for (const auto& [worker, kind] : events)
    {
        now += milliseconds(1000);
        q.record("w" + std::to_string(worker), std::to_string(++job), kind > 0,
                 now);
        RC_ASSERT(3 * q.quarantined().size() <=
                  static_cast<std::size_t>(workers));
    }
}

// Guards against a quarantine of workers that fail no more than the others.
TEST(worker_quarantine, compares_with_the_fleet)
{
    auto q = fleet(12);
    for (int i = 0; i < 60; ++i)
    {
        const auto worker = "w" + std::to_string(i % 12);
        EXPECT_FALSE(q.record(worker, std::to_string(2 * i), true, start));
        EXPECT_FALSE(
            q.record(worker, std::to_string(2 * i + 1), i % 3 > 0, start));
    }
}

} // namespace
} // namespace limpetstack
