#include "coordination/dispatcher.hpp"

#include "coordination/request_answers.hpp"
#include "support/request_path.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>
#include <vector>

namespace limpetstack
{
namespace
{

constexpr milliseconds long_time{20000};
constexpr milliseconds short_time{30};

class dispatcher_test : public testing::Test
{
protected:
    dispatcher_test()
        : subject(path.make_dispatcher())
    {
    }

    ~dispatcher_test() override { path.upstreams.open(); }

    wire::forwarded_answer run(const std::string& service,
                               const std::string& id,
                               milliseconds deadline = long_time)
    {
        return subject->dispatch(make_request(service, id, deadline));
    }

    request_path path;
    std::unique_ptr<dispatcher> subject;
};

// Guards against a second run of an id, and against another answer to a resend.
TEST_F(dispatcher_test, resend_of_a_done_id_gets_the_recorded_answer)
{
    path.announce("u");
    const auto first = run("pay", "id1");
    EXPECT_EQ(first.outcome(), wire::outcome_done) << first.reason();
    EXPECT_EQ(path.journal.record("id1").phase(), wire::request_done);
    EXPECT_EQ(path.journal.record("id1").answer(), first.body());
    const auto second = run("pay", "id1");
    EXPECT_EQ(second.outcome(), wire::outcome_done);
    EXPECT_EQ(second.body(), first.body());
    EXPECT_EQ(path.upstreams.runs("id1"), 1);
}

// Guards against an answer that is handed to a request with other content.
TEST_F(dispatcher_test, id_with_other_content_is_refused)
{
    path.announce("u");
    run("pay", "id1");
    auto other = make_request("pay", "id1", long_time);
    other.set_body("other");
    const auto answer = subject->dispatch(other);
    EXPECT_EQ(answer.outcome(), wire::outcome_refused);
    EXPECT_EQ(answer.status(), status_conflict);
    EXPECT_TRUE(answer.body().empty());
}

// Guards against a request that fails although another upstream works.
TEST_F(dispatcher_test, idempotent_request_is_retried_elsewhere)
{
    path.announce("bad");
    path.announce("good");
    path.upstreams.set_result("bad", attempt_result::broken);
    for (int i = 0; i < 8; ++i)
    {
        const auto answer = run("check", "id" + std::to_string(i));
        EXPECT_EQ(answer.outcome(), wire::outcome_done) << answer.reason();
    }
    EXPECT_LE(path.upstreams.attempts("bad"), 3) << "not ejected";
}

// Guards against retries that multiply the load when every upstream fails.
TEST_F(dispatcher_test, retries_stay_within_the_budget)
{
    path.announce("u");
    path.announce("v");
    path.upstreams.set_faults({0, 0, 1, 0});
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i)
    {
        EXPECT_EQ(run("check", "id" + std::to_string(i)).outcome(),
                  wire::outcome_unknown);
    }
    EXPECT_LE(path.upstreams.total_attempts(), requests + requests / 10 + 10);
}

// Guards against "unknown" for requests that an upstream explicitly refused.
TEST_F(dispatcher_test, refused_attempt_goes_to_another_upstream)
{
    path.announce("busy");
    path.announce("gone");
    path.announce("good", 1);
    path.upstreams.set_result("busy", attempt_result::refused_before_run);
    path.upstreams.set_result("gone", attempt_result::connect_failed);
    for (int i = 0; i < 5; ++i)
    {
        const auto id = "id" + std::to_string(i);
        const auto answer = run("pay", id);
        EXPECT_EQ(answer.outcome(), wire::outcome_done) << answer.reason();
        EXPECT_EQ(path.upstreams.runs(id), 1);
    }
}

// Guards against a second run after an attempt without a whole answer.
TEST_F(dispatcher_test, broken_attempt_ends_as_unknown)
{
    path.announce("u");
    path.announce("v");
    path.upstreams.set_faults({0, 0, 0, 1});
    EXPECT_EQ(run("pay", "id1").outcome(), wire::outcome_unknown);
    EXPECT_EQ(path.journal.record("id1").phase(), wire::request_unknown);
    path.upstreams.set_faults({});
    EXPECT_EQ(run("pay", "id1").outcome(), wire::outcome_unknown);
    EXPECT_EQ(path.upstreams.runs("id1"), 1);
}

// Guards against a whole answer that is lost because it came after the caller's
// deadline, and against a resend that runs again instead of waiting for it.
TEST_F(dispatcher_test, late_answer_is_recorded)
{
    path.announce("u");
    path.upstreams.close();
    EXPECT_EQ(run("pay", "id1", short_time).outcome(), wire::outcome_unknown);
    std::thread opener(
        [&]
        {
            std::this_thread::sleep_for(short_time);
            path.upstreams.open();
        });
    const auto resend = run("pay", "id1");
    opener.join();
    EXPECT_EQ(resend.outcome(), wire::outcome_done);
    EXPECT_EQ(path.journal.record("id1").phase(), wire::request_done);
    EXPECT_EQ(path.upstreams.runs("id1"), 1);
}

// Guards against a run of an id that another dispatcher has started.
TEST_F(dispatcher_test, id_started_elsewhere_is_not_run)
{
    path.announce("u");
    wire::request_record record;
    record.set_id("id1");
    record.set_phase(wire::request_started);
    path.journal.put(record);
    EXPECT_EQ(run("pay", "id1", short_time).outcome(), wire::outcome_unknown);
    EXPECT_EQ(path.upstreams.total_attempts(), 0);
}

// Guards against "not run" without a durable record: another dispatcher could
// still run the id.
TEST(invariant, not_run_truthful_only_when_journaled)
{
    request_path path;
    const auto subject = path.make_dispatcher();
    const auto run = [&](const std::string& id)
    {
        return subject->dispatch(make_request("pay", id, short_time));
    };
    EXPECT_EQ(run("id1").outcome(), wire::outcome_not_run);
    EXPECT_EQ(path.journal.record("id1").phase(), wire::request_not_run);
    path.journal.set_faults(1, 0);
    EXPECT_EQ(run("id2").outcome(), wire::outcome_unknown);
    path.journal.set_faults(0, 1);
    EXPECT_EQ(run("id3").outcome(), wire::outcome_unknown);
    path.journal.set_faults(0, 0);
    path.announce("u");
    EXPECT_EQ(run("id1").outcome(), wire::outcome_not_run);
    EXPECT_EQ(run("id3").outcome(), wire::outcome_not_run);
    EXPECT_EQ(path.upstreams.total_attempts(), 0);
}

// Guards against an answer that is given before it is durable: a resend would
// get another outcome.
TEST(invariant, whole_answer_is_journaled_before_it_is_given)
{
    request_path path;
    path.announce("u");
    const auto subject = path.make_dispatcher();
    path.upstreams.close();
    std::thread fault(
        [&]
        {
            path.upstreams.wait_for_attempts(1);
            path.journal.set_faults(1, 0);
            path.upstreams.open();
        });
    const auto answer =
        subject->dispatch(make_request("pay", "id1", milliseconds(200)));
    fault.join();
    EXPECT_EQ(answer.outcome(), wire::outcome_unknown);
    EXPECT_TRUE(answer.body().empty());
}

// Guards against a shutdown that interrupts requests in progress or queued
// ones, or that takes new ones.
TEST(invariant, graceful_shutdown_finishes_requests_in_progress)
{
    request_path path;
    path.announce("u", 2);
    const auto subject = path.make_dispatcher();
    path.upstreams.close();
    std::atomic<int> done{0};
    constexpr int requests = 12;
    std::vector<std::thread> callers;
    callers.reserve(requests);
    for (int i = 0; i < requests; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                const auto answer = subject->dispatch(
                    make_request("check", "id" + std::to_string(i), long_time));
                done += answer.outcome() == wire::outcome_done ? 1 : 0;
            });
    }
    while (subject->in_progress() < requests)
    {
        std::this_thread::yield();
    }
    subject->drain();
    std::atomic<bool> stopped{false};
    std::thread stopper(
        [&]
        {
            subject->stop();
            EXPECT_EQ(subject->in_progress(), 0U);
            stopped = true;
        });
    for (const char* service : {"pay", "check"})
    {
        const auto refused =
            subject->dispatch(make_request(service, "new", long_time));
        EXPECT_EQ(refused.reason(), reason_dispatcher_stopping);
        EXPECT_GT(refused.retry_after_ms(), 0U);
    }
    // Gives a stop that does not wait the time to return.
    std::this_thread::sleep_for(short_time);
    EXPECT_FALSE(stopped);
    path.upstreams.open();
    for (auto& caller : callers)
    {
        caller.join();
    }
    stopper.join();
    EXPECT_EQ(done, requests);
    EXPECT_EQ(path.upstreams.runs("new"), 0);
}

/// Answers that were given for each id.
class history
{
public:
    void add(const std::string& id, const wire::forwarded_answer& answer)
    {
        const std::lock_guard lock(mutex_);
        answers_[id].push_back(answer);
    }

    void check(const std::string& id, const fake_upstreams& upstreams) const
    {
        std::set<int> outcomes;
        for (const auto& answer : answers_.at(id))
        {
            outcomes.insert(answer.outcome());
            if (answer.outcome() == wire::outcome_done)
            {
                EXPECT_EQ(answer.body(),
                          fake_upstreams::answer_of(id, "body of " + id));
            }
        }
        EXPECT_LE(upstreams.runs(id), 1) << id;
        if (outcomes.count(wire::outcome_not_run) > 0)
        {
            EXPECT_EQ(upstreams.runs(id), 0) << id;
            EXPECT_EQ(outcomes.count(wire::outcome_done), 0U) << id;
        }
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<wire::forwarded_answer>> answers_;
};

// Guards against double runs, false "not run" and answers of other requests,
// when two dispatchers get the same ids at the same time and in turn, while
// attempts and journal calls fail.
TEST(invariant, at_most_once_with_two_dispatchers_and_faults)
{
    constexpr int ids = 24;
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        request_path path(seed);
        path.announce("u", 2);
        path.announce("v", 1);
        path.upstreams.set_service_time(milliseconds(10));
        path.upstreams.set_faults({0.1, 0.1, 0.1, 0.1});
        path.journal.set_faults(0.05, 0.05);
        const auto a = path.make_dispatcher();
        const auto b = path.make_dispatcher();
        history answers;
        std::vector<std::thread> callers;
        callers.reserve(std::size_t{3} * ids);
        for (int i = 0; i < 3 * ids; ++i)
        {
            callers.emplace_back(
                [&, i]
                {
                    const auto id = "id" + std::to_string(i % ids);
                    auto& target = (i / ids + i) % 2 == 0 ? a : b;
                    const milliseconds deadline(20 + 7 * (i % 13));
                    answers.add(id, target->dispatch(
                                        make_request("pay", id, deadline)));
                });
        }
        for (auto& caller : callers)
        {
            caller.join();
        }
        path.upstreams.set_faults({});
        path.journal.set_faults(0, 0);
        for (int i = 0; i < ids; ++i)
        {
            const auto id = "id" + std::to_string(i);
            answers.add(id, b->dispatch(make_request("pay", id, short_time)));
            answers.check(id, path.upstreams);
        }
        EXPECT_LE(path.upstreams.most_at_once("u"), 4)
            << "two slots for each dispatcher";
    }
}

} // namespace
} // namespace limpetstack
