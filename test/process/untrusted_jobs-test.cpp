// Jobs that are each inside the limits of a request and together exceed what
// the core process may use. Each case floods one core process with accepted
// jobs, and checks that it stays alive, that its memory and its files stay
// within its settings, also after a restart with the state that the flood left,
// and that another client account is served.

#include "support/caller_connection.hpp"
#include "support/core_attack.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

// What the flooding client sends: jobs with bodies of one kind.
struct flood
{
    int jobs = 0;
    std::string prefix = "/q/";
    std::string key = "flooding";
    std::string body;
    bool cancels = false; // Cancels each job after it was accepted.
};

std::string job_id(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "f%015x", static_cast<unsigned>(number));
    return id;
}

std::string job_with_steps(std::size_t count, const json& step)
{
    return json{{"spec", "x"}, {"steps", std::vector<json>(count, step)}}
        .dump();
}

// 182 kB, of which no part exceeds a limit.
std::string large_job()
{
    return job_with_steps(60,
                          {{"count", 1}, {"requires", std::string(3000, 'x')}});
}

class untrusted_jobs : public core_attack
{
protected:
    // Sends the flood over a few connections; each ends with its share.
    void send(const flood& input)
    {
        constexpr int connections = 8;
        std::atomic<int> accepted{0};
        std::atomic<int> running{connections};
        std::vector<std::thread> clients;
        clients.reserve(connections);
        for (int c = 0; c < connections; ++c)
        {
            clients.emplace_back(
                [&, c]
                {
                    caller_connection connection(hosts().callers());
                    for (int job = c; job < input.jobs; job += connections)
                    {
                        accepted += send_job(connection, input, job) ? 1 : 0;
                    }
                    --running;
                });
        }
        while (running > 0)
        {
            sample();
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        for (auto& client : clients)
        {
            client.join();
        }
        std::printf("%d of %d jobs accepted\n", accepted.load(), input.jobs);
        EXPECT_GT(accepted, 0);
    }

private:
    bool send_job(caller_connection& connection, const flood& input,
                  int job) const
    {
        const auto target = input.prefix + job_id(job);
        const bool accepted =
            connection.call(fleet_hosts::request("POST", target, input.key,
                                                 input.body)) == 200;
        if (accepted && input.cancels)
        {
            connection.call(
                fleet_hosts::request("DELETE", target, input.key, ""));
        }
        return accepted;
    }
};

// Guards against large accepted jobs whose copies in state, log and snapshot
// exceed the memory.
TEST_F(untrusted_jobs, large_jobs)
{
    start();
    send({300, "/q/", "flooding", large_job()});
    check_with_restart();
}

// Guards against callers without a key who take the room of the accounts.
TEST_F(untrusted_jobs, large_jobs_of_a_public_queue)
{
    start();
    send({300, "/open/", "", large_job()});
    check_with_restart();
}

// Guards against shares that are each within the memory and together are not.
TEST_F(untrusted_jobs, large_jobs_of_several_holders)
{
    start();
    send({300, "/q/", "flooding", large_job()});
    send({300, "/open/", "", large_job()});
    check_with_restart();
}

// Guards against many jobs of which each costs several times what was sent.
TEST_F(untrusted_jobs, jobs_with_a_spec)
{
    start();
    send({6000, "/q/", "flooding",
          json{{"spec", std::string(4000, 'x')}, {"steps", {{{"count", 1}}}}}
              .dump()});
    check_with_restart();
}

// Guards against steps that take a few bytes in the request and far more once
// they are decoded and wait for a worker.
TEST_F(untrusted_jobs, jobs_with_many_steps)
{
    start();
    send({600, "/q/", "flooding", job_with_steps(256, {{"count", 1}})});
    check_with_restart();
}

// Guards against jobs all of whose occurrences are due at once, each of which
// waits with its steps.
TEST_F(untrusted_jobs, jobs_with_many_occurrences)
{
    start();
    send({400, "/q/", "flooding",
          json{{"spec", "x"},
               {"repeat_count", 100000},
               {"first_run_ms", 1},
               {"interval_ms", 1},
               {"steps", {{{"count", 1}}}}}
              .dump()});
    check_with_restart();
}

// Guards against jobs that were cancelled and are still kept for queries.
TEST_F(untrusted_jobs, cancelled_jobs)
{
    start();
    flood input{
        6000, "/q/", "flooding",
        json{{"spec", std::string(4000, 'x')}, {"steps", {{{"count", 1}}}}}
            .dump()};
    input.cancels = true;
    send(input);
    check_with_restart();
}

// Guards against a limit that refuses what concerns an accepted job: a
// repetition of its submission, its state and its cancelling.
TEST_F(untrusted_jobs, accepted_jobs_are_served_when_there_is_no_room)
{
    start();
    send({300, "/q/", "flooding", large_job()});
    caller_connection connection(hosts().callers());
    const auto target = "/q/" + job_id(0);
    EXPECT_EQ(200, connection.call(fleet_hosts::request(
                       "POST", target, "flooding", large_job())));
    EXPECT_EQ(200, connection.call(
                       fleet_hosts::request("GET", target, "flooding", "")));
    EXPECT_EQ(200, connection.call(
                       fleet_hosts::request("DELETE", target, "flooding", "")));
    check_with_restart();
}

// Guards against documents that the log retains whatever their size.
TEST_F(untrusted_jobs, many_documents)
{
    constexpr std::size_t padding = 300000;
    start();
    for (int version = 2; version < 202; ++version)
    {
        EXPECT_EQ(
            200, hosts().put_document(fleet_hosts::document(version, padding)));
        sample();
    }
    check_with_restart();
}

} // namespace
} // namespace limpetstack::test
