#include "coordination/gang_coordinator.hpp"

#include "support/gang_bed.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <utility>

namespace limpetstack
{
namespace
{

using test::lease;
using test::step;
using test::submission;
using bed = test::gang_bed;

guaranteed_shape whole_rack()
{
    guaranteed_shape shape;
    shape.data_centre = "dc1";
    shape.members = 3;
    shape.accelerators = 8;
    shape.cores = 4;
    shape.memory_mib = 4096;
    shape.placement = adjacency::rack;
    return shape;
}

// Guards against jobs that are accepted but never started or completed.
TEST(gang_coordinator, runs_a_job_to_its_end)
{
    bed b;
    EXPECT_EQ(b.submit(submission("a", 1, 3, 8, "rack")).job().state(),
              "queued");
    b.run(milliseconds(1000));
    EXPECT_EQ(b.state(1), "running");
    b.run(milliseconds(7000));
    EXPECT_EQ(b.state(1), "done");
}

// Guards against a resend that starts a second job.
TEST(gang_coordinator, resend_returns_the_same_job)
{
    bed b;
    b.submit(submission("a", 1, 1, 1));
    b.run(milliseconds(1000));
    EXPECT_EQ(b.submit(submission("a", 1, 1, 1)).job().state(), "running");
    b.run(milliseconds(10000));
    EXPECT_EQ(b.submit(submission("a", 1, 1, 1)).job().state(), "done");
    EXPECT_EQ(b.fleet.history().size(), 1U);
}

// Guards against jobs that wait for ever since they can never run.
TEST(gang_coordinator, refuses_at_once_what_can_never_run)
{
    bed b;
    const auto wide = b.submit(submission("a", 1, 4, 8, "rack"));
    EXPECT_EQ(wide.job().state(), "refused");
    EXPECT_NE(wide.reason().find("the most is 3"), std::string::npos);
    EXPECT_EQ(b.submit(submission("a", 2, 1, 9)).job().state(), "refused");
    EXPECT_EQ(b.submit(submission("x", 3, 1, 1)).job().state(), "refused");
    auto foreign = submission("a", 4, 1, 1);
    foreign.set_id("job-dc1-0-4");
    EXPECT_EQ(b.submit(foreign).job().state(), "refused");
    EXPECT_TRUE(b.store.jobs.empty());
}

// Guards against an answer "cancelled" after which the job still runs.
TEST(gang_coordinator, cancel_holds_in_every_state)
{
    bed b;
    wire::job_cancel cancel;
    cancel.set_id("job-dc1-1-1");
    b.submit(submission("a", 1, 3, 8, "rack"));
    b.run(milliseconds(1000));
    EXPECT_EQ(b.owner().cancel(cancel).job().state(), "stopping");
    b.submit(submission("a", 2, 1, 1));
    cancel.set_id("job-dc1-1-2");
    EXPECT_EQ(b.owner().cancel(cancel).job().state(), "cancelled");
    b.run(milliseconds(2000));
    EXPECT_EQ(b.state(1), "cancelled");
    EXPECT_EQ(b.state(2), "cancelled");
    EXPECT_EQ(b.fleet.history().size(), 3U);
}

// Guards against a wave of cancellations that calls workers for jobs that
// never ran.
TEST(gang_coordinator, cancelling_queued_jobs_calls_no_worker)
{
    bed b;
    b.fleet.run_time = milliseconds(1000 * 1000);
    b.submit(submission("a", 0, 6, 8));
    b.run(milliseconds(1000));
    for (int i = 1; i <= 500; ++i)
    {
        b.submit(submission("a", i, 1, 1));
    }
    const auto calls = b.fleet.calls;
    for (int i = 1; i <= 500; ++i)
    {
        wire::job_cancel cancel;
        cancel.set_id("job-dc1-1-" + std::to_string(i));
        EXPECT_EQ(b.owner().cancel(cancel).job().state(), "cancelled");
    }
    EXPECT_EQ(b.fleet.calls, calls);
}

// Guards against an evacuation that stops running work or lets new work start,
// and against a wait that nobody can explain.
TEST(gang_coordinator, evacuated_data_centre_starts_nothing)
{
    bed b;
    b.submit(submission("a", 1, 1, 8));
    b.run(milliseconds(1000));
    ASSERT_EQ(b.state(1), "running");
    bool evacuated = true;
    b.evacuated = [&evacuated]
    {
        return evacuated;
    };
    EXPECT_EQ(b.submit(submission("a", 2, 1, 8)).job().state(), "queued");
    b.run(milliseconds(10000));
    EXPECT_EQ(b.state(1), "done");
    EXPECT_EQ(b.state(2), "queued");
    EXPECT_EQ(b.fleet.history().size(), 1U);
    wire::job_query query;
    query.set_id("job-dc1-1-2");
    EXPECT_EQ(b.owner().list(query).jobs(0).reason(),
              "waits: data centre dc1 is evacuated");
    evacuated = false;
    b.run(milliseconds(10000));
    EXPECT_EQ(b.state(2), "done");
    EXPECT_EQ(b.owner().list(query).jobs(0).reason(), "");
}

// Guards against a gang that is reserved before the evacuation is known and
// starts after it, and against a job that is lost or has failed by that.
TEST(gang_coordinator, reserved_gang_does_not_start_after_an_evacuation)
{
    bed b;
    bool evacuated = false;
    b.evacuated = [&]
    {
        // Known between the reservation and the start of the members.
        evacuated = evacuated || b.state(1) == "starting";
        return evacuated;
    };
    b.submit(submission("a", 1, 2, 8));
    b.run(milliseconds(5000));
    EXPECT_TRUE(evacuated);
    EXPECT_EQ(b.state(1), "queued");
    EXPECT_TRUE(b.fleet.history().empty());
    b.evacuated = []
    {
        return false;
    };
    b.run(milliseconds(10000));
    EXPECT_EQ(b.state(1), "done");
}

// Guards against a job that fails for ever and holds workers.
TEST(gang_coordinator, gives_up_after_five_attempts)
{
    bed b;
    b.fleet.failing_jobs.insert("job-dc1-1-1");
    b.submit(submission("a", 1, 2, 8));
    b.run(milliseconds(60000));
    EXPECT_EQ(b.state(1), "failed");
    EXPECT_EQ(b.store.jobs.at("job-dc1-1-1").attempt(), 5U);
}

// Guards against a worker that fails everything and holds up all jobs.
TEST(gang_coordinator, work_flows_past_a_worker_that_fails_everything)
{
    bed b;
    b.fleet.failing.insert("w0-0");
    b.fleet.run_time = milliseconds(500);
    for (int i = 1; i <= 60; ++i)
    {
        b.submit(submission("a", i, 1, 8));
    }
    b.run(milliseconds(60000));
    int done = 0;
    for (int i = 1; i <= 60; ++i)
    {
        done += b.state(i) == "done" ? 1 : 0;
    }
    EXPECT_EQ(done, 60);
    EXPECT_EQ(b.counters.counter("workers_quarantined_total"), 1U);
}

// Guards against an owner that keeps gangs running after it has lost the
// journal, so that no other may start them.
TEST(gang_coordinator, stops_renewing_when_ownership_is_lost)
{
    bed b;
    b.fleet.run_time = milliseconds(60000);
    b.submit(submission("a", 1, 3, 8, "rack"));
    b.run(milliseconds(2000));
    b.journals.back()->claims_ownership = false;
    EXPECT_FALSE(b.submit(submission("a", 2, 1, 1)).available());
    b.run(lease + step);
    EXPECT_EQ(b.fleet.running()["job-dc1-1-1"], 0);
    EXPECT_EQ(b.state(1), "running"); // The next owner decides.
}

// Guards against a caller who is told that its job was not accepted although
// the journal only did not confirm the record.
TEST(gang_coordinator, outcome_of_an_unconfirmed_record_is_unknown)
{
    bed b;
    b.journals.back()->failing_writes = 1;
    const auto lost = b.submit(submission("a", 1, 1, 1));
    EXPECT_FALSE(lost.available());
    EXPECT_TRUE(lost.unknown());
    EXPECT_EQ(lost.job_id(), "job-dc1-1-1");
    const auto repeated = b.submit(submission("a", 1, 1, 1));
    EXPECT_TRUE(repeated.available());
    EXPECT_FALSE(repeated.unknown());
    EXPECT_EQ(b.submit(submission("a", 1, 1, 1)).job().id(), "job-dc1-1-1");
    b.journals.back()->failing_writes = 1;
    wire::job_cancel cancel;
    cancel.set_id("job-dc1-1-1");
    const auto cancelled = b.owner().cancel(cancel);
    EXPECT_FALSE(cancelled.available());
    EXPECT_TRUE(cancelled.unknown());
}

// Guards against running gangs that are stopped when the owner changes.
TEST(gang_coordinator, adopts_whole_gangs_and_requeues_the_rest)
{
    bed b;
    b.fleet.run_time = milliseconds(20000);
    b.submit(submission("a", 1, 3, 8, "rack"));
    b.submit(submission("a", 2, 3, 8, "rack"));
    b.run(milliseconds(2000));
    b.journals.back()->claims_ownership = false;
    b.fleet.crash(b.store.jobs.at("job-dc1-1-2").placement(0).worker());
    ++b.store.epoch;
    b.open();
    b.run(milliseconds(500));
    EXPECT_EQ(b.store.jobs.at("job-dc1-1-1").attempt(), 1U);
    b.run(milliseconds(2000));
    EXPECT_EQ(b.store.jobs.at("job-dc1-1-2").attempt(), 2U);
    b.run(milliseconds(60000));
    EXPECT_EQ(b.state(1), "done");
    EXPECT_EQ(b.state(2), "done");
    EXPECT_EQ(b.violation(lease + milliseconds(1000)), "");
}

// Guards against the loss of checkpointed work when a gang is stopped for a
// guarantee, and against a guarantee that has to wait for borrowed work.
TEST(invariant, reclaim_guarantee_starts_within_the_bound)
{
    bed b(1, {whole_rack()});
    b.fleet.run_time = milliseconds(100000);
    b.submit(submission("b", 1, 6, 8));
    b.run(milliseconds(30000));
    b.submit(submission("a", 2, 3, 8, "rack"));
    int waited = 0;
    while (b.fleet.running()["job-dc1-1-2"] < 3 && waited < 20000)
    {
        b.run(step);
        waited += static_cast<int>(step.count());
    }
    EXPECT_LE(waited, 7600);
    const auto& victim = b.store.jobs.at("job-dc1-1-1");
    EXPECT_EQ(victim.state(), "queued");
    EXPECT_GT(victim.progress(), 0.25);
    EXPECT_EQ(b.violation(lease), "");
}

// Guards against a guarantee that waits for victims or for its own members on
// a frozen worker, whichever rack that is in. Calls take no time here, so the
// checkpoint timeout of 2 s is taken off the bound.
TEST(invariant, reclaim_guarantee_holds_with_a_frozen_worker)
{
    for (const auto* frozen : {"w0-0", "w1-0"})
    {
        bed b(1, {whole_rack()});
        b.fleet.run_time = milliseconds(100000);
        b.submit(submission("b", 1, 6, 8));
        b.run(milliseconds(30000));
        b.submit(submission("a", 2, 3, 8, "rack"));
        b.fleet.frozen = {frozen};
        b.run(milliseconds(7600 - 2000));
        EXPECT_EQ(b.fleet.running()["job-dc1-1-2"], 3) << frozen;
        EXPECT_EQ(b.violation(lease), "");
    }
}

// Guards against a second copy of a gang whose workers only the owner before
// can reach, which does not know that it is none any more.
TEST(invariant, gang_atomic_waits_for_a_fence)
{
    bed b;
    b.fleet.run_time = milliseconds(60000);
    b.submit(submission("a", 1, 3, 8, "rack"));
    b.run(milliseconds(2000));
    for (const auto& member : b.store.jobs.at("job-dc1-1-1").placement())
    {
        b.cut_off.insert(member.worker());
    }
    ++b.store.epoch;
    b.open();
    b.run(milliseconds(30000));
    EXPECT_EQ(b.fleet.running()["job-dc1-1-1"], 3);
    EXPECT_EQ(b.fleet.history().size(), 3U);
    b.views.back()->cut_off.clear();
    b.run(milliseconds(100000));
    EXPECT_EQ(b.state(1), "done");
    EXPECT_EQ(b.violation(lease), "");
}

/// Disturbs the bed at random for one simulated minute.
void disturb(bed& b, std::mt19937_64& random, bool change_owner)
{
    const auto pick = [&random](std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    const auto ids = b.fleet.ids();
    int number = 0;
    for (int i = 0; i < 120; ++i)
    {
        b.run(milliseconds(500));
        const auto& worker = ids[pick(ids.size())];
        switch (pick(12))
        {
        case 0:
            b.fleet.frozen.insert(worker);
            break;
        case 1:
            b.fleet.crash(worker);
            break;
        case 2:
            b.fleet.refusing.insert(worker);
            break;
        case 3:
            b.journals.back()->failing_writes = 2;
            break;
        case 4:
        {
            wire::job_cancel cancel;
            cancel.set_id("job-dc1-1-" + std::to_string(pick(40)));
            b.owner().cancel(cancel);
            break;
        }
        case 5:
            if (change_owner)
            {
                // Half of the time the owner before does not notice.
                b.journals.back()->claims_ownership = pick(2) == 0;
                ++b.store.epoch;
                b.open();
            }
            break;
        case 6:
        case 7:
            b.fleet.frozen.clear();
            b.fleet.refusing.clear();
            break;
        default:
            b.submit(submission(pick(2) == 0 ? "a" : "b", ++number,
                                static_cast<std::uint32_t>(1 + pick(4)),
                                static_cast<std::uint32_t>(1 + pick(8)),
                                pick(2) == 0 ? "any" : "rack"));
        }
    }
}

/// Returns jobs that have not ended after the disturbances.
int unfinished(bed& b)
{
    b.fleet.lost_requests = 0;
    b.fleet.lost_answers = 0;
    b.fleet.late_requests = 0;
    b.fleet.frozen.clear();
    b.fleet.refusing.clear();
    b.journals.back()->failing_writes = 0;
    b.run(milliseconds(300000));
    int count = 0;
    for (const auto& [id, job] : b.store.jobs)
    {
        count += job.state() == "done" || job.state() == "failed" ||
                         job.state() == "cancelled"
                     ? 0
                     : 1;
    }
    return count;
}

// Guards against gangs that run in part for longer than one lease, and
// against a second attempt while members of the first still run, when
// messages are lost and workers freeze, crash and refuse.
RC_GTEST_PROP(invariant, gang_atomic_under_faults, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::mt19937_64 random(seed);
    bed b(seed);
    b.fleet.lost_requests = 0.05;
    b.fleet.lost_answers = 0.05;
    disturb(b, random, false);
    RC_ASSERT(b.violation(lease) == "");
    RC_ASSERT(unfinished(b) == 0);
    RC_ASSERT(b.violation(lease) == "");
}

// Guards against the same when calls are handled after the caller has given
// up: the bound grows by that delay.
RC_GTEST_PROP(invariant, gang_atomic_with_late_calls, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::mt19937_64 random(seed);
    bed b(seed);
    b.fleet.lost_answers = 0.05;
    b.fleet.late_requests = 0.2;
    b.fleet.delay = milliseconds(*rc::gen::element(500, 2900));
    disturb(b, random, false);
    RC_ASSERT(b.violation(lease + b.fleet.delay) == "");
}

// Guards against a second copy of a gang after the owner changes, also when
// the owner before does not notice. A takeover asks members with a lease of
// two call timeouts, which is added to the bound.
RC_GTEST_PROP(invariant, gang_atomic_across_owners, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::mt19937_64 random(seed);
    bed b(seed);
    b.fleet.lost_requests = 0.05;
    b.fleet.lost_answers = 0.05;
    disturb(b, random, true);
    RC_ASSERT(b.violation(lease + milliseconds(1000)) == "");
    RC_ASSERT(unfinished(b) == 0);
}

// Guards against ids that name another data centre than the one that made
// them, whose name may hold hyphens.
TEST(gang_coordinator, job_ids_name_their_home)
{
    const auto home = parse_job_id(new_job_id("dc-1", 7));
    EXPECT_EQ(home.data_centre, "dc-1");
    EXPECT_EQ(home.incarnation, 7U);
    for (const auto* bad : {"", "job-", "job-dc1-1", "job-dc1-x-1", "dc1-1-2"})
    {
        EXPECT_EQ(parse_job_id(bad).data_centre, "") << bad;
    }
}

} // namespace
} // namespace limpetstack
