#include "coordination/job_queue.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

constexpr resources fleet{100, 0, 0};

queued_job job(const std::string& id, const std::string& account,
               urgency level = urgency::normal)
{
    queued_job result;
    result.id = id;
    result.account = account;
    result.shape.each.accelerators = 10;
    result.level = level;
    return result;
}

/// Returns the ids in order; each job that is walked over starts.
std::string order(job_queue& queue, standings accounts)
{
    std::string result;
    job_pass pass(queue, fleet, accounts);
    for (auto step = pass.next(); step.job != nullptr; step = pass.next())
    {
        result += step.job->id;
        accounts[step.job->account].used += 0.1;
        const auto id = step.job->id;
        queue.erase(id);
    }
    return result;
}

// Guards against an account that takes more than its weight while another
// one waits.
TEST(job_queue, accounts_share_by_weight)
{
    job_queue queue;
    for (int i = 0; i < 6; ++i)
    {
        queue.push(job("a", "a"), false);
        queue.push(job(std::string(1, static_cast<char>('0' + i)), "a"), false);
        queue.push(job(std::string(1, static_cast<char>('p' + i)), "b"), false);
    }
    standings accounts;
    accounts["a"].weight = 2;
    accounts["b"].weight = 1;
    EXPECT_EQ(order(queue, accounts).substr(0, 6), "0p12q3");
}

// Guards against a flood of urgent jobs beyond the account's share that goes
// before the work of others.
TEST(job_queue, urgent_beyond_the_share_counts_as_normal)
{
    job_queue queue;
    for (const std::string id : {"1", "2", "3", "4"})
    {
        queue.push(job(id, "a", urgency::urgent), false);
    }
    queue.push(job("x", "b"), false);
    queue.push(job("y", "b", urgency::low), false);
    standings accounts;
    accounts["a"].share = 0.2;
    accounts["b"].share = 0.8;
    accounts["b"].used = 0.15;
    EXPECT_EQ(order(queue, accounts), "12x34y");
}

// Guards against guaranteed work that waits behind borrowed work.
TEST(job_queue, guaranteed_work_comes_first)
{
    job_queue queue;
    queue.push(job("u", "a", urgency::urgent), false);
    auto covered = job("g", "b", urgency::low);
    covered.coverable = true;
    queue.push(job("n", "b"), false);
    queue.push(covered, false);
    standings accounts;
    accounts["a"].share = 1;
    accounts["b"].unclaimed = true;
    EXPECT_EQ(order(queue, accounts), "gun");
}

// Guards against stopped work that is queued behind later arrivals, and
// against entries that a cancellation leaves behind.
TEST(job_queue, restarted_jobs_go_in_front_and_cancelled_ones_vanish)
{
    job_queue queue;
    queue.push(job("1", "a"), false);
    queue.push(job("2", "a"), false);
    queue.push(job("3", "a"), true);
    EXPECT_TRUE(queue.erase("1"));
    EXPECT_FALSE(queue.erase("1"));
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_EQ(order(queue, {}), "32");
    EXPECT_EQ(queue.size(), 0U);
}

// Guards against a walk without bound over jobs that do not fit.
TEST(job_queue, walk_looks_at_a_bounded_number_of_jobs)
{
    job_queue queue;
    for (int i = 0; i < 1000; ++i)
    {
        queue.push(job(std::to_string(i), "a"), false);
    }
    standings accounts;
    job_pass pass(queue, fleet, accounts);
    std::size_t steps = 0;
    while (pass.next().job != nullptr)
    {
        ++steps;
    }
    EXPECT_EQ(steps, pass_depth);
}

} // namespace
} // namespace limpetstack
