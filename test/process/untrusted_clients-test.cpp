// Clients that are not controlled, against a core and an entry process of the
// fleet daemon. Each case attacks one listener with a small crowd, and checks
// that the process stays alive, that its resident memory and descriptors stay
// within the settings, and that an ordinary request is answered while the crowd
// is still connected.

#include "experiment/deployment.hpp"
#include "experiment/process.hpp"
#include "support/client_crowd.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <ostream>
#include <string>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

constexpr std::size_t mebibyte = 1U << 20U;
constexpr std::size_t memory_mb = 64; // limits.memory_mb, the bound.

// Of the document for callers, and of the control listener.
constexpr std::size_t caller_body_limit = 262144;
constexpr std::size_t control_body_limit = 8 * mebibyte;

// Only ends a failed test. The default time-out of idle connections is 15 s,
// after which more of the crowd are accepted.
constexpr std::chrono::seconds answer_limit{60};

enum class listener
{
    callers,
    control
};

// Names the parameter of a test.
std::ostream& operator<<(std::ostream& out, listener attacked)
{
    return out << (attacked == listener::callers ? "callers" : "control");
}

class untrusted_clients : public testing::TestWithParam<listener>
{
protected:
    untrusted_clients()
        : folder_(make_folder())
        , network_(make_network())
        , peer_port_(free_port())
        , control_(network_ + "1:" + std::to_string(free_port()))
        , callers_(network_ + "2:" + std::to_string(free_port()))
        , ready_(network_ + "2:" + std::to_string(free_port()))
    {
    }

    ~untrusted_clients() override
    {
        core_.reset();
        entry_.reset();
        if (!HasFailure())
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder_, ignored);
        }
    }

    // `padding` is the size of a text in the document that nobody uses.
    void start(std::size_t max_descriptors = 1024, std::size_t padding = 0)
    {
        max_descriptors_ = max_descriptors;
        core_ = start_host("core", network_ + "1", {{"control", control_}});
        entry_ = start_host("entry", network_ + "2",
                            {{"front", callers_}, {"ready", ready_}});
        const json document{{"version", 1},
                            {"padding", std::string(padding, 'x')},
                            {"routes",
                             {{{"name", "q"},
                               {"host", "localhost"},
                               {"prefix", "/q/"},
                               {"service", "s"},
                               {"timeout_ms", 3000},
                               {"priority", 1},
                               {"stretch", 3.0}}}},
                            {"services", {{{"name", "s"}}}},
                            {"tenants", {{{"name", "t"}, {"keys", {"key"}}}}}};
        const auto text = document.dump();
        ASSERT_TRUE(wait_until(
            [&]
            {
                return call_status(control_,
                                   "PUT /-/config HTTP/1.1\r\nHost: h\r\n"
                                   "Content-Length: " +
                                       std::to_string(text.size()) +
                                       "\r\n\r\n" + text) == 200;
            }));
        ASSERT_TRUE(wait_until(
            [&]
            {
                return submit_job() == 200;
            }));
        usage_.sample(target().pid());
        ASSERT_LE(usage_.resident_bytes, memory_mb * mebibyte / 2);
    }

    static bool attacks_callers() { return GetParam() == listener::callers; }
    process& target() { return attacks_callers() ? *entry_ : *core_; }
    process& core() { return *core_; }
    std::string address() const
    {
        return attacks_callers() ? callers_ : control_;
    }

    // A complete request of an ordinary client; returns its status.
    int ordinary_request()
    {
        return attacks_callers()
                   ? submit_job()
                   : call_status(control_,
                                 "GET /-/config HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    static std::string request_line()
    {
        return attacks_callers() ? "POST /q/00000000000000ff HTTP/1.1\r\n"
                                   "Host: localhost\r\n"
                                   "Authorization: Bearer key\r\n"
                                 : "PUT /-/config HTTP/1.1\r\nHost: h\r\n";
    }

    // Limits the descriptors of the attacked process, not of this program.
    void limit_descriptors(rlim_t count)
    {
        const rlimit limit{count, count};
        ASSERT_EQ(::prlimit(target().pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
    }

    void attack(client_crowd& crowd)
    {
        const auto sent = crowd.send(
            [&]
            {
                usage_.sample(target().pid());
            });
        std::printf("the crowd sent %zu bytes\n", sent);
        // The system's buffers hold much of what was sent; the process goes on
        // reading it.
        usage_.sample_until_steady(target().pid());
    }

    // The crowd must still be connected.
    void check()
    {
        const bool answered = wait_until(
            [&]
            {
                usage_.sample(target().pid());
                return ordinary_request() == 200;
            },
            answer_limit);
        usage_.sample(target().pid());
        std::printf("at most %zu bytes resident and %zu descriptors\n",
                    usage_.resident_bytes, usage_.descriptors);
        EXPECT_TRUE(target().running());
        EXPECT_LE(usage_.resident_bytes, memory_mb * mebibyte);
        EXPECT_LE(usage_.descriptors, max_descriptors_);
        EXPECT_TRUE(answered);
    }

private:
    static std::string make_folder()
    {
        std::string name =
            testing::UnitTest::GetInstance()->current_test_info()->name();
        std::replace(name.begin(), name.end(), '/', '-');
        return test_folder("untrusted-" + name);
    }

    // Metrics always listen on one port, so each test needs addresses of its
    // own. The reserved number makes them unique on this machine.
    static std::string make_network()
    {
        const int number = free_port();
        return "127." + std::to_string(number / 256) + "." +
               std::to_string(number % 256) + ".";
    }

    std::unique_ptr<process> start_host(const std::string& name,
                                        const std::string& ip,
                                        const json& listen)
    {
        const json settings{
            {"node_name", name},
            {"ip", ip},
            {"zone", "z"},
            {"listen", listen},
            {"port_range", {peer_port_, peer_port_}},
            {"seeds", {control_}},
            {"bootstrap", true},
            {"data_dir", name == "core" ? folder_ + "/data" : ""},
            {"fault_tolerance", {{"machines", 0}}},
            {"limits",
             {{"memory_mb", memory_mb}, {"max_fds", max_descriptors_}}}};
        const auto file = folder_ + "/" + name + ".json";
        std::ofstream(file) << settings.dump();
        ::setenv("LIMPETSTACK_NODE_FILE", file.c_str(), 1);
        return std::make_unique<process>(
            program_folder() + "/limpetstack-fleetd",
            std::vector<std::string>{}, folder_ + "/" + name + ".log");
    }

    int submit_job()
    {
        static constexpr char body[] =
            R"({"spec":"x","steps":[{"count":1,"cpu":1000}]})";
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++last_job_);
        return call_status(callers_, std::string("POST /q/") + id +
                                         " HTTP/1.1\r\nHost: localhost\r\n"
                                         "Authorization: Bearer key\r\n"
                                         "Content-Length: " +
                                         std::to_string(sizeof body - 1) +
                                         "\r\n\r\n" + body);
    }

    const std::string folder_;
    const std::string network_;
    const int peer_port_;
    const std::string control_;
    const std::string callers_;
    const std::string ready_;
    std::size_t max_descriptors_ = 0;
    std::unique_ptr<process> core_;
    std::unique_ptr<process> entry_;
    process_usage usage_;
    unsigned last_job_ = 0;
};

// Guards against trailers that are buffered without a bound until the process
// runs out of memory.
TEST_P(untrusted_clients, endless_trailers)
{
    start();
    client_crowd crowd(
        address(), 40,
        {request_line() + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
         "Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n",
         4 * mebibyte});
    attack(crowd);
    check();
}

// Guards against extensions of a chunk size that are buffered without a bound.
TEST_P(untrusted_clients, endless_chunk_extension)
{
    start();
    client_crowd crowd(
        address(), 40,
        {request_line() + "Transfer-Encoding: chunked\r\n\r\n2;name=", "x",
         4 * mebibyte});
    attack(crowd);
    check();
}

// Guards against bodies that are each allowed and together exceed the memory.
// The crowd is what an attacker needs: the sum of the bodies exceeds the bound.
TEST_P(untrusted_clients, many_bodies_just_inside_the_limit)
{
    start();
    const auto limit =
        attacks_callers() ? caller_body_limit : control_body_limit;
    const auto begin = request_line() +
                       "Content-Length: " + std::to_string(limit) + "\r\n\r\n";
    client_crowd crowd(address(), attacks_callers() ? 320 : 20,
                       {begin, "x", begin.size() + limit - 1});
    attack(crowd);
    check();
}

// Guards against requests that are read and kept while an earlier one of their
// connection is in progress. A paused core process keeps callers' requests in
// progress; an answer that the client does not read does so for control.
TEST_P(untrusted_clients, pipelined_requests_behind_one_in_progress)
{
    constexpr std::size_t document_bytes = 300000;
    start(1024, document_bytes);
    const std::string first =
        attacks_callers() ? request_line() + "Content-Length: 2\r\n\r\n{}"
                          : "GET /-/config HTTP/1.1\r\nHost: h\r\n\r\n";
    client_crowd crowd(address(), 40, {first, first, 4 * mebibyte});
    if (attacks_callers())
    {
        core().signal(SIGSTOP);
    }
    attack(crowd);
    core().signal(SIGCONT);
    check();
}

// Guards against answers that stay in memory because their clients do not read
// them. Callers' answers are small; one for control holds the document.
TEST_P(untrusted_clients, answers_that_nobody_reads)
{
    constexpr std::size_t document_bytes = 2 * mebibyte;
    start(1024, attacks_callers() ? 0 : document_bytes);
    const std::string request =
        attacks_callers() ? "GET /q/00000000000000ff HTTP/1.1\r\n"
                            "Host: localhost\r\n"
                            "Authorization: Bearer key\r\n\r\n"
                          : "GET /-/config HTTP/1.1\r\nHost: h\r\n\r\n";
    client_crowd crowd(address(), 60, {request, request, mebibyte / 2});
    attack(crowd);
    check();
}

// Guards against a process that takes more connections than its settings
// allow descriptors.
TEST_P(untrusted_clients, more_connections_than_descriptors)
{
    constexpr std::size_t max_descriptors = 300;
    start(max_descriptors);
    limit_descriptors(350);
    client_crowd crowd(address(), 400, {"GET ", "", 0});
    attack(crowd);
    check();
}

// Guards against a process that ends or hangs when the system refuses it
// descriptors that its settings allow.
TEST_P(untrusted_clients, fewer_descriptors_than_the_settings_name)
{
    start();
    limit_descriptors(100);
    client_crowd crowd(address(), 200, {"GET ", "", 0});
    attack(crowd);
    check();
}

INSTANTIATE_TEST_SUITE_P(listeners, untrusted_clients,
                         testing::Values(listener::callers, listener::control));

} // namespace
} // namespace limpetstack::test
