// Clients that are not controlled, against a core and an entry process of the
// fleet daemon. Each case attacks one listener with a small crowd, and checks
// that the process stays alive, that its resident memory and descriptors stay
// within the settings, and that an ordinary request is answered while the crowd
// is still connected.

#include "experiment/deployment.hpp"
#include "support/caller_connection.hpp"
#include "support/client_crowd.hpp"
#include "support/fleet_hosts.hpp"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ostream>
#include <string>

namespace limpetstack::test
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

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
        : hosts_(folder_name())
    {
    }

    // `padding` is the size of a text in the document that nobody uses.
    void start(std::size_t max_descriptors = 1024, std::size_t padding = 0)
    {
        limits_.max_descriptors = max_descriptors;
        ASSERT_TRUE(hosts_.start(limits_, padding));
        usage_.sample(target().pid());
        ASSERT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte / 2);
    }

    static bool attacks_callers() { return GetParam() == listener::callers; }
    process& target()
    {
        return attacks_callers() ? hosts_.entry() : hosts_.core();
    }
    fleet_hosts& hosts() { return hosts_; }
    const std::string& address() const
    {
        return attacks_callers() ? hosts_.callers() : hosts_.control();
    }

    // A complete request of an ordinary client; returns its status.
    int ordinary_request()
    {
        return attacks_callers()
                   ? hosts_.submit_job()
                   : call_status(hosts_.control(),
                                 "GET /-/config HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    static std::string request_line()
    {
        return attacks_callers() ? "POST /q/00000000000000ff HTTP/1.1\r\n"
                                   "Host: localhost\r\n"
                                   "Authorization: Bearer ordinary\r\n"
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
        EXPECT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte);
        EXPECT_LE(usage_.descriptors, limits_.max_descriptors);
        EXPECT_TRUE(answered);
    }

private:
    static std::string folder_name()
    {
        std::string name =
            testing::UnitTest::GetInstance()->current_test_info()->name();
        std::replace(name.begin(), name.end(), '/', '-');
        return "untrusted-" + name;
    }

    host_limits limits_;
    fleet_hosts hosts_;
    process_usage usage_;
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
        hosts().core().signal(SIGSTOP);
    }
    attack(crowd);
    hosts().core().signal(SIGCONT);
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
                            "Authorization: Bearer ordinary\r\n\r\n"
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

// Guards against header fields that cost far more once they are parsed than the
// bytes that are counted: 3,000 fields without a value in 12 kB.
TEST_P(untrusted_clients, many_header_fields)
{
    start();
    std::string fields;
    for (int i = 0; i < 3000; ++i)
    {
        fields += "a:\r\n";
    }
    client_crowd crowd(
        address(), 800,
        {request_line() + fields + "Content-Length: 100\r\n\r\n", "", 0});
    attack(crowd);
    check();
}

// Guards against a document that takes many times its size once it is parsed.
// Callers' bodies are smaller.
TEST_P(untrusted_clients, body_of_empty_arrays)
{
    start();
    std::string body = "{\"version\":2,\"routes\":[[]";
    const auto limit =
        attacks_callers() ? caller_body_limit - 4 : std::size_t{2100000};
    while (body.size() < limit - 3)
    {
        body += ",[]";
    }
    body += "]}";
    client_crowd crowd(address(), 6,
                       {request_line() + "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body,
                        "", 0});
    attack(crowd);
    check();
}

// Guards against metrics whose labels hold what clients send: each method that
// a client invents must not be kept.
TEST_P(untrusted_clients, invented_methods)
{
    start();
    caller_connection connection(address());
    for (int i = 0; i < 10000; ++i)
    {
        connection.call(fleet_hosts::request(
            std::string(8000, 'M') + std::to_string(i), "/q/", "ordinary", ""));
    }
    client_crowd crowd(address(), 0, {"", "", 0});
    attack(crowd);
    check();
}

INSTANTIATE_TEST_SUITE_P(listeners, untrusted_clients,
                         testing::Values(listener::callers, listener::control));

} // namespace
} // namespace limpetstack::test
