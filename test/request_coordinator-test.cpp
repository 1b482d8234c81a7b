#include "coordination/request_coordinator.hpp"

#include "coordination/membership.hpp"
#include "coordination/request_answers.hpp"
#include "support/request_path.hpp"
#include "support/unreachable_network.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace limpetstack
{
namespace
{

/// Network that answers dispatches with a function and keeps the requests.
class dispatch_network : public unreachable_network
{
public:
    using result = absl::StatusOr<wire::forwarded_answer>;

    result dispatch(const std::string& host,
                    const wire::forwarded_request& request,
                    milliseconds) override
    {
        {
            const std::lock_guard lock(mutex);
            hosts.push_back(host);
            last = request;
        }
        return answer(host);
    }

    std::mutex mutex;
    std::vector<std::string> hosts;
    wire::forwarded_request last;
    std::function<result(const std::string&)> answer;
};

wire::forwarded_answer done(const std::string& body)
{
    wire::forwarded_answer out;
    out.set_outcome(wire::outcome_done);
    out.set_status(200);
    out.set_body(body);
    return out;
}

settings entry_settings()
{
    settings out;
    out.host = "h0";
    out.data_centre = "dc1";
    out.peers = {{"h0", "dc1", "", false, false},
                 {"h1", "dc2", "", false, false},
                 {"h2", "dc2", "", false, false}};
    out.limits.http_threads = 8;
    out.limits.request_body_bytes = 100;
    // All hosts count as live in these tests.
    out.timing.host_timeout = milliseconds(600000);
    return out;
}

class request_coordinator_test : public testing::Test
{
protected:
    request_coordinator_test()
        : hosts(own, path.state, network, path.timers, path.counters, nullptr,
                1, 1)
        , local(path.make_dispatcher())
        , subject(
              own, hosts, path.state, *local, network, path.timers,
              path.counters, request_document,
              []
              {
                  return std::optional<std::uint64_t>(3);
              },
              [this](const std::string& data_centre)
              {
                  return known_here && data_centre == "dc1" && path.evacuated;
              })
    {
        network.answer = [](const std::string&) -> dispatch_network::result
        {
            return done("remote");
        };
    }

    ~request_coordinator_test() override { path.upstreams.open(); }

    wire::forwarded_answer submit(const std::string& service,
                                  const std::string& id,
                                  milliseconds deadline = milliseconds(20000))
    {
        wire::forwarded_request request;
        request.set_account("addis");
        request.set_service(service);
        request.set_id(id);
        request.set_deadline_ms(static_cast<std::uint32_t>(deadline.count()));
        return subject.submit(request);
    }

    std::atomic<bool> known_here{true}; // To the entry host.
    const settings own = entry_settings();
    request_path path;
    dispatch_network network;
    membership hosts;
    std::unique_ptr<dispatcher> local;
    request_coordinator subject;
};

constexpr const char* remote_id = "dc2-1-1-ab";
constexpr milliseconds short_time{60};

// Guards against requests that reach a dispatcher although they are not valid.
TEST_F(request_coordinator_test, invalid_requests_are_refused)
{
    const auto status = [&](const std::string& service, const std::string& id)
    {
        const auto answer = submit(service, id);
        EXPECT_EQ(answer.outcome(), wire::outcome_refused);
        return answer.status();
    };
    EXPECT_EQ(status("nothing", remote_id), status_not_found);
    EXPECT_EQ(status("pay", ""), status_bad_request);
    EXPECT_EQ(status("pay", "x"), status_bad_request);
    EXPECT_EQ(status("pay", "dc9-1-1-ab"), status_bad_request);
    EXPECT_EQ(status("check", "a b"), status_bad_request);
    wire::forwarded_request request;
    request.set_account("nobody");
    request.set_service("check");
    EXPECT_EQ(subject.submit(request).status(), status_not_found);
    request.set_account("addis");
    request.set_body(std::string(101, 'x'));
    EXPECT_EQ(subject.submit(request).status(), status_too_large);
    EXPECT_TRUE(network.hosts.empty());
}

// Guards against ids that are decided by a foreign journal, and against
// idempotent requests that leave a data centre which can serve them.
TEST_F(request_coordinator_test, data_centre_is_chosen_by_kind)
{
    EXPECT_EQ(submit("pay", remote_id).body(), "remote");
    EXPECT_EQ(network.last.data_centre(), "dc2");
    EXPECT_FALSE(network.last.idempotent());
    path.announce("u");
    const auto id = subject.new_request_id();
    ASSERT_TRUE(id.ok());
    EXPECT_EQ(id->substr(0, 6), "dc1-3-");
    EXPECT_EQ(submit("pay", *id).outcome(), wire::outcome_done);
    EXPECT_EQ(submit("check", "").outcome(), wire::outcome_done);
    EXPECT_EQ(network.hosts.size(), 1U) << "served here";
}

// Guards against idempotent requests that wait for upstreams of their own data
// centre while another has some.
TEST_F(request_coordinator_test, idempotent_request_goes_where_upstreams_are)
{
    auto entry = make_upstream("far", "dc2");
    path.state.merge(entry, path.timers.now());
    EXPECT_EQ(submit("check", "").body(), "remote");
    EXPECT_EQ(network.last.data_centre(), "dc2");
    EXPECT_FALSE(network.last.id().empty());
}

// Guards against requests that use upstreams of an evacuated data centre while
// another one serves them.
TEST_F(request_coordinator_test, idempotent_request_leaves_evacuated_centre)
{
    path.announce("u");
    path.state.merge(make_upstream("far", "dc2"), path.timers.now());
    path.evacuated = true;
    EXPECT_EQ(submit("check", "").body(), "remote");
    EXPECT_EQ(network.last.data_centre(), "dc2");
    // The dispatcher knows of the evacuation before the entry host does.
    known_here = false;
    auto learned = std::async(std::launch::async,
                              [this]
                              {
                                  std::this_thread::sleep_for(short_time);
                                  known_here = true;
                              });
    EXPECT_EQ(submit("check", "").body(), "remote");
    learned.get();
    EXPECT_EQ(path.upstreams.total_attempts(), 0);
    path.evacuated = false;
    EXPECT_EQ(submit("check", "").outcome(), wire::outcome_done);
    EXPECT_EQ(path.upstreams.total_attempts(), 1);
}

// Guards against a request that fits nowhere and is told no reason, and against
// a non-idempotent id that is used up although nothing was decided.
TEST_F(request_coordinator_test, refusal_names_the_evacuation)
{
    path.announce("u");
    path.evacuated = true;
    const auto idempotent = submit("check", "", short_time);
    EXPECT_EQ(idempotent.outcome(), wire::outcome_not_run);
    EXPECT_EQ(idempotent.reason(), reason_evacuated);
    const auto id = subject.new_request_id();
    ASSERT_TRUE(id.ok());
    const auto once = submit("pay", *id);
    EXPECT_EQ(once.outcome(), wire::outcome_refused);
    EXPECT_EQ(once.status(), status_overloaded);
    EXPECT_EQ(once.reason(), reason_evacuated);
    EXPECT_GT(once.retry_after_ms(), 0U);
    EXPECT_EQ(path.upstreams.total_attempts(), 0);
    path.evacuated = false;
    EXPECT_EQ(submit("pay", *id).outcome(), wire::outcome_done);
}

// Guards against "not run" when a dispatch without an answer may still run.
// Only the journal, which decides on non-idempotent ids, can say so then.
TEST_F(request_coordinator_test, not_run_after_a_lost_dispatch)
{
    auto entry = make_upstream("far", "dc2");
    path.state.merge(entry, path.timers.now());
    const auto answers_after_loss = [&](const wire::forwarded_answer& second)
    {
        auto count = std::make_shared<std::atomic<int>>(0);
        network.answer =
            [count, second](const std::string&) -> dispatch_network::result
        {
            if ((*count)++ == 0)
            {
                return absl::UnavailableError("connection lost");
            }
            return second;
        };
    };
    const auto not_run = not_run_answer("expired", milliseconds(0));
    answers_after_loss(not_run);
    EXPECT_EQ(submit("check", "").outcome(), wire::outcome_unknown);
    answers_after_loss(not_run);
    EXPECT_EQ(submit("pay", remote_id).outcome(), wire::outcome_not_run);
    answers_after_loss(turned_away_answer(false, "full", milliseconds(1)));
    EXPECT_EQ(submit("pay", remote_id).outcome(), wire::outcome_unknown);
    network.answer = [](const std::string&) -> dispatch_network::result
    {
        return absl::UnavailableError("connection lost");
    };
    EXPECT_EQ(submit("check", "", short_time).outcome(), wire::outcome_unknown);
    EXPECT_EQ(submit("pay", remote_id, short_time).outcome(),
              wire::outcome_unknown);
}

// Guards against "unknown" when nothing was ever sent.
TEST_F(request_coordinator_test, unsent_request_is_turned_away)
{
    auto entry = make_upstream("far", "dc2");
    path.state.merge(entry, path.timers.now());
    network.answer = [](const std::string&) -> dispatch_network::result
    {
        return absl::FailedPreconditionError("not sent");
    };
    EXPECT_EQ(submit("check", "", short_time).outcome(), wire::outcome_not_run);
    const auto answer = submit("pay", remote_id, short_time);
    EXPECT_EQ(answer.outcome(), wire::outcome_refused);
    EXPECT_EQ(answer.status(), status_overloaded);
    EXPECT_GT(answer.retry_after_ms(), 0U);
}

// Guards against requests that fail while a dispatcher hands over.
TEST_F(request_coordinator_test, stopping_dispatcher_is_followed_by_the_next)
{
    const auto first = hosts.dispatcher_host("dc2", "pay");
    network.answer = [&](const std::string& host) -> dispatch_network::result
    {
        if (host != first)
        {
            return done("next");
        }
        wire::soft_state_delta delta;
        delta.mutable_from()->set_host(first);
        delta.mutable_from()->set_sequence(1);
        delta.mutable_from()->set_draining(true);
        hosts.receive(delta);
        return turned_away_answer(false, reason_dispatcher_stopping,
                                  milliseconds(1));
    };
    EXPECT_EQ(submit("pay", remote_id).body(), "next");
    EXPECT_EQ(network.hosts.size(), 2U);
}

// Guards against one account that takes all threads of the entry host.
TEST_F(request_coordinator_test, account_leaves_places_to_others)
{
    path.announce("u");
    path.upstreams.close();
    std::vector<std::thread> callers;
    callers.reserve(8);
    std::atomic<int> limited{0};
    std::atomic<int> finished{0};
    for (int i = 0; i < 8; ++i)
    {
        callers.emplace_back(
            [&]
            {
                const auto answer = submit("check", "");
                limited += answer.outcome() == wire::outcome_not_run ? 1 : 0;
                ++finished;
            });
    }
    while (limited < 4)
    {
        std::this_thread::yield();
    }
    path.upstreams.open();
    for (auto& caller : callers)
    {
        caller.join();
    }
    EXPECT_EQ(limited, 4);
}

} // namespace
} // namespace limpetstack
