// The request path under failures of real processes, by history checking.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"
#include "support/request_history.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

class request_process : public testing::Test
{
protected:
    request_process()
        : folder(test_folder(
              testing::UnitTest::GetInstance()->current_test_info()->name()))
        , system(folder, {{"a1", "north", true, true},
                          {"a2", "north", false, false},
                          {"b1", "south", true, true},
                          {"b2", "south", false, false},
                          {"c1", "west", true, true}})
        , recorder(system)
    {
        system.start();
    }

    ~request_process() override
    {
        if (!HasFailure())
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
        }
    }

    void prepare(const std::string& service)
    {
        for (const std::string data_centre : {"north", "south"})
        {
            for (int i = 0; i < 2; ++i)
            {
                const auto id = data_centre + "-" + std::to_string(i);
                system.add_upstream(id, service, data_centre);
                upstreams.push_back(id);
            }
        }
        ASSERT_TRUE(wait_until(
            [&]
            {
                return system.apply("a1", 0, sample_document(), "first")
                           .value("code", "") == "accepted";
            }));
        ASSERT_TRUE(wait_until(
            [&]
            {
                return ready();
            }));
    }

    // True when all hosts know the upstreams and both data centres with
    // upstreams have a journal owner with a copy.
    bool ready() const
    {
        for (const auto& host : system.hosts())
        {
            const auto list = system.ask(host, "/v1/upstreams");
            if (system.version_at(host) == 0 || !list.is_object() ||
                list["upstreams"].size() != upstreams.size())
            {
                return false;
            }
        }
        return !recorder.new_id("a1").empty() &&
               !recorder.new_id("a2").empty() &&
               !recorder.new_id("b1").empty() && !recorder.new_id("b2").empty();
    }

    void control_all(const json& change) const
    {
        for (const auto& id : upstreams)
        {
            control(id, change);
        }
    }

    void control(const std::string& upstream, const json& change) const
    {
        post(system.stand_in_address(upstream), "/control", change.dump());
    }

    // Runs callers at several hosts until `faults` returns. Each caller takes
    // an id and sends it, again through other hosts while the outcome is
    // unknown, up to a limit.
    void run_callers(const std::string& service, bool needs_id,
                     const std::function<void()>& faults)
    {
        std::atomic<bool> stopping{false};
        std::vector<std::thread> callers;
        const std::vector<std::string> hosts = {"a1", "a2", "b1", "b2"};
        for (std::size_t i = 0; i < 8; ++i)
        {
            callers.emplace_back(
                [&, i]
                {
                    std::mt19937 random(static_cast<unsigned>(i));
                    for (int n = 0; !stopping; ++n)
                    {
                        call_until_known(hosts, random, service, needs_id,
                                         "body-" + std::to_string(i) + "-" +
                                             std::to_string(n));
                    }
                });
        }
        faults();
        stopping = true;
        for (auto& caller : callers)
        {
            caller.join();
        }
    }

    void call_until_known(const std::vector<std::string>& hosts,
                          std::mt19937& random, const std::string& service,
                          bool needs_id, const std::string& body)
    {
        static constexpr int resends = 4;
        const auto any = [&]
        {
            return hosts[random() % hosts.size()];
        };
        const auto id = needs_id ? recorder.new_id(any()) : "";
        if (needs_id && id.empty())
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            return;
        }
        for (int i = 0; i < resends; ++i)
        {
            const auto call = recorder.send(any(), service, id, body);
            // A final outcome is asked for once more, which must not run it
            // again and must not change it.
            if (call.outcome == "done" && i > 0)
            {
                return;
            }
        }
    }

    int count(const std::string& outcome) const
    {
        int found = 0;
        for (const auto& call : recorder.calls())
        {
            found += call.outcome == outcome ? 1 : 0;
        }
        return found;
    }

    const std::string folder;
    deployment system;
    request_recorder recorder;
    std::vector<std::string> upstreams;
};

using invariant = request_process;

void pause(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Guards against a payout that runs twice when its owner, its dispatcher or
// its entry host is killed between two sends.
TEST_F(invariant, at_most_once_under_kills)
{
    prepare("appraisal");
    control_all({{"delay_ms", 20}});
    run_callers("appraisal", true,
                [&]
                {
                    pause(1000);
                    for (const std::string host : {"a1", "b2", "a2", "b1"})
                    {
                        system.kill(host);
                        pause(3000);
                        system.restart(host);
                        pause(2000);
                    }
                });
    EXPECT_GT(count("done"), 50);
    EXPECT_EQ(check_requests(recorder.calls(), recorder.runs(upstreams), true),
              "");
}

// Guards against a payout that runs twice or a false "not run" when the pair
// of a data centre is split, and when the data centre is cut off.
TEST_F(invariant, not_run_truthful_under_cuts)
{
    prepare("appraisal");
    control_all({{"delay_ms", 20}});
    run_callers("appraisal", true,
                [&]
                {
                    pause(1000);
                    system.set_link("a1", "a2", link_state::black_hole);
                    system.set_link("a2", "a1", link_state::black_hole);
                    pause(3000);
                    system.set_link("a1", "a2", link_state::open);
                    system.set_link("a2", "a1", link_state::open);
                    pause(1500);
                    system.set_data_centre("south", link_state::closed);
                    pause(3000);
                    system.set_link("b1", "b2", link_state::black_hole);
                    system.set_link("b2", "b1", link_state::black_hole);
                    pause(2500);
                    system.set_link("b1", "b2", link_state::open);
                    system.set_link("b2", "b1", link_state::open);
                    system.set_data_centre("south", link_state::open);
                    pause(2000);
                });
    EXPECT_GT(count("done"), 50);
    EXPECT_EQ(check_requests(recorder.calls(), recorder.runs(upstreams), true),
              "");
}

// Guards against a host that was frozen for longer than every time-out and
// then goes on with requests that others have taken over.
TEST_F(invariant, at_most_once_under_freezes)
{
    prepare("appraisal");
    control_all({{"delay_ms", 20}});
    run_callers("appraisal", true,
                [&]
                {
                    pause(1000);
                    for (const std::string host : {"a1", "b1", "a2"})
                    {
                        system.daemon(host).signal(SIGSTOP);
                        pause(6000);
                        system.daemon(host).signal(SIGCONT);
                        pause(1500);
                    }
                });
    EXPECT_GT(count("done"), 50);
    EXPECT_EQ(check_requests(recorder.calls(), recorder.runs(upstreams), true),
              "");
}

// Guards against answers that are truncated, foreign or late and are passed on
// as a success.
TEST_F(invariant, whole_answer_from_bad_upstreams)
{
    prepare("lookup");
    run_callers("lookup", false,
                [&]
                {
                    pause(500);
                    for (const std::string mode :
                         {"truncate", "wrong_id", "close", "fail", "refuse"})
                    {
                        control("north-0", {{"mode", mode}});
                        control("south-0", {{"mode", mode}});
                        pause(1000);
                    }
                    control("north-0", {{"mode", "normal"}});
                    system.stand_in("south-1").signal(SIGSTOP);
                    pause(2000);
                    system.stand_in("south-1").signal(SIGCONT);
                    pause(500);
                });
    EXPECT_GT(count("done"), 50);
    EXPECT_EQ(check_requests(recorder.calls(), recorder.runs(upstreams), false),
              "");
}

// Guards against an upstream that gets new work after it said that it leaves,
// when the only host that heard of it dies right away.
TEST_F(invariant, drain_when_the_informed_host_dies)
{
    prepare("lookup");
    const auto announced = std::chrono::steady_clock::now();
    run_callers(
        "lookup", false,
        [&]
        {
            pause(500);
            // The stand-in announces to one daemon after the other; the test
            // kills the first that shows the upstream as leaving.
            control("north-0", {{"leaving", true}});
            std::string informed;
            ASSERT_TRUE(wait_until(
                [&]
                {
                    for (const std::string host : {"a1", "a2", "b1", "b2"})
                    {
                        const auto list = system.ask(host, "/v1/upstreams");
                        for (const auto& entry : list["upstreams"])
                        {
                            if (entry["id"] == "north-0" &&
                                entry["state"] == "leaving")
                            {
                                informed = host;
                                return true;
                            }
                        }
                    }
                    return false;
                }));
            system.kill(informed);
            pause(3000);
            const auto before = recorder.runs({"north-0"}).size();
            pause(2000);
            EXPECT_EQ(recorder.runs({"north-0"}).size(), before)
                << "new work more than 3 s after the announcement";
        });
    EXPECT_GT(std::chrono::steady_clock::now() - announced,
              std::chrono::seconds(3));
    EXPECT_EQ(check_requests(recorder.calls(), recorder.runs(upstreams), false),
              "");
}

// Guards against a shutdown that ends while requests are in progress.
TEST_F(invariant, graceful_shutdown_finishes_requests)
{
    prepare("appraisal");
    control_all({{"delay_ms", 1500}});
    std::vector<request_call> calls(12);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                const auto id = recorder.new_id("a1");
                calls[i] = recorder.send(i % 2 == 0 ? "a1" : "a2", "appraisal",
                                         id, "body-" + std::to_string(i));
            });
    }
    ASSERT_TRUE(wait_until(
        [&]
        {
            return recorder.runs(upstreams).size() == calls.size();
        }));
    // Both hosts of the data centre, one after the other, so that the
    // requests of the first are not saved by the second.
    system.daemon("a1").signal(SIGTERM);
    EXPECT_EQ(system.daemon("a1").wait(), 0);
    system.daemon("a2").signal(SIGTERM);
    EXPECT_EQ(system.daemon("a2").wait(), 0);
    for (auto& caller : callers)
    {
        caller.join();
    }
    for (const auto& call : calls)
    {
        EXPECT_EQ(call.outcome, "done") << call.status << " " << call.answer;
    }
    EXPECT_EQ(check_requests(recorder.calls(), recorder.runs(upstreams), true),
              "");
}

} // namespace
} // namespace limpetstack::test
