// Clients that are not controlled, against the HTTP listeners of limpetstackd.
// Each case attacks one listener with a small crowd, and checks that the
// process stays alive, that its resident memory and descriptors stay under
// their bounds, and that ordinary requests are answered while the crowd is
// still connected.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"
#include "support/client_crowd.hpp"
#include "support/descriptor_limit.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <string>

namespace limpetstack::test
{
namespace
{

constexpr const char* path = "/v1/accounts/addis/services/lookup/requests";
constexpr std::size_t mebibyte = 1U << 20U;

// What the daemon may use of the machine's memory.
constexpr std::size_t memory_bytes = 128 * mebibyte;

constexpr std::size_t body_limit = 4 * mebibyte;

// Only ends a failed test.
constexpr std::chrono::seconds answer_limit{60};

enum class listener
{
    callers,
    operators
};

// Names the parameter of a test.
std::ostream& operator<<(std::ostream& out, listener attacked)
{
    return out << (attacked == listener::callers ? "callers" : "operators");
}

class untrusted_listener_clients : public testing::TestWithParam<listener>
{
protected:
    untrusted_listener_clients()
        : folder_(make_folder())
        , system_(folder_, {{"a1", "north", true, true}})
    {
        std::ofstream settings(folder_ + "/a1.yaml", std::ios::app);
        settings << "limits:\n  request_body_bytes: " << body_limit
                 << "B\n  memory_bytes: " << memory_bytes << "B\n";
    }

    ~untrusted_listener_clients() override
    {
        if (!HasFailure())
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder_, ignored);
        }
    }

    // `padding` is the size of a comment in the document.
    void start(std::size_t padding = 0)
    {
        ASSERT_TRUE(system_.start_with(sample_document() + "# " +
                                       std::string(padding, 'x') + "\n"));
        system_.add_upstream("u", "lookup", "north");
        ASSERT_TRUE(wait_until(
            [&]
            {
                return ordinary_requests();
            }));
        usage_.sample(pid());
        std::printf("%zu bytes resident before\n", usage_.resident_bytes);
        ASSERT_LE(usage_.resident_bytes, memory_bytes / 2);
    }

    static bool attacks_callers() { return GetParam() == listener::callers; }
    std::string address() const
    {
        return attacks_callers() ? system_.callers("a1")
                                 : system_.operators("a1");
    }
    pid_t pid() { return system_.daemon("a1").pid(); }

    static std::string request_line()
    {
        return std::string("POST ") +
               (attacks_callers() ? path : "/v1/config") +
               " HTTP/1.1\r\nHost: h\r\n";
    }

    bool ordinary_requests() const
    {
        return post(system_.callers("a1"), path, "scan").status == 200 &&
               get(system_.operators("a1"), "/health/ready").status == 200;
    }

    void attack(client_crowd& crowd)
    {
        const auto sent = crowd.send(
            [&]
            {
                usage_.sample(pid());
            });
        std::printf("the crowd sent %zu bytes\n", sent);
        usage_.sample_until_steady(pid());
    }

    // The crowd must still be connected.
    void check(std::size_t max_descriptors = 1024)
    {
        const bool answered = wait_until(
            [&]
            {
                usage_.sample(pid());
                return ordinary_requests();
            },
            answer_limit);
        usage_.sample(pid());
        std::printf("at most %zu bytes resident and %zu descriptors\n",
                    usage_.resident_bytes, usage_.descriptors);
        EXPECT_TRUE(system_.daemon("a1").running());
        EXPECT_LE(usage_.resident_bytes, memory_bytes);
        EXPECT_LE(usage_.descriptors, max_descriptors);
        EXPECT_TRUE(answered);
    }

private:
    static std::string make_folder()
    {
        std::string name =
            testing::UnitTest::GetInstance()->current_test_info()->name();
        std::replace(name.begin(), name.end(), '/', '-');
        return test_folder("untrusted-listener-" + name);
    }

    const std::string folder_;
    deployment system_;
    process_usage usage_;
};

// Guards against a request line that is buffered without a bound.
TEST_P(untrusted_listener_clients, endless_request_line)
{
    start();
    client_crowd crowd(address(), 40, {"GET /", "x", 8 * mebibyte});
    attack(crowd);
    check();
}

// Guards against header lines that are kept without a bound on their number.
TEST_P(untrusted_listener_clients, endless_header)
{
    start();
    client_crowd crowd(
        address(), 40,
        {request_line(),
         "Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n",
         8 * mebibyte});
    attack(crowd);
    check();
}

// Guards against a trailer that is buffered without a bound.
TEST_P(untrusted_listener_clients, endless_trailers)
{
    start();
    client_crowd crowd(address(), 40,
                       {request_line() +
                            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
                            "0\r\nFiller: ",
                        "x", 8 * mebibyte});
    attack(crowd);
    check();
}

// Guards against an extension of a chunk size that is buffered without a bound.
TEST_P(untrusted_listener_clients, endless_chunk_extension)
{
    start();
    client_crowd crowd(
        address(), 40,
        {request_line() + "Transfer-Encoding: chunked\r\n\r\n2;name=", "x",
         8 * mebibyte});
    attack(crowd);
    check();
}

// Guards against chunked bodies to which no limit applies.
TEST_P(untrusted_listener_clients, endless_chunked_body)
{
    start();
    client_crowd crowd(address(), 40,
                       {request_line() + "Transfer-Encoding: chunked\r\n\r\n",
                        "400\r\n" + std::string(1024, 'x') + "\r\n",
                        8 * mebibyte});
    attack(crowd);
    check();
}

// Guards against bodies that end with the connection and to which no limit
// applies.
TEST_P(untrusted_listener_clients, endless_body_without_length)
{
    start();
    client_crowd crowd(address(), 40,
                       {request_line() + "\r\n", "x", 8 * mebibyte});
    attack(crowd);
    check();
}

// Guards against bodies that are each allowed and together exceed the memory.
TEST_P(untrusted_listener_clients, many_bodies_just_inside_the_limit)
{
    start();
    const auto begin = request_line() +
                       "Content-Length: " + std::to_string(body_limit) +
                       "\r\n\r\n";
    client_crowd crowd(address(), 60,
                       {begin, "x", begin.size() + body_limit - 1});
    attack(crowd);
    check();
}

// Guards against requests that are read and kept while an earlier one of their
// connection is in progress.
TEST_P(untrusted_listener_clients, pipelined_requests_behind_one_in_progress)
{
    start();
    const auto request = request_line() + "Content-Length: 4\r\n\r\nscan";
    client_crowd crowd(address(), 40, {request, request, 8 * mebibyte});
    attack(crowd);
    check();
}

// Guards against answers that stay in memory because their clients do not read
// them. Callers' answers are small; one for operators holds the document.
TEST_P(untrusted_listener_clients, answers_that_nobody_reads)
{
    constexpr std::size_t document_padding = 900000;
    start(attacks_callers() ? 0 : document_padding);
    const std::string request =
        attacks_callers() ? request_line() + "Content-Length: 4\r\n\r\nscan"
                          : "GET /v1/config HTTP/1.1\r\nHost: h\r\n\r\n";
    client_crowd crowd(address(), 60, {request, request, mebibyte / 2});
    attack(crowd);
    check();
}

// Guards against a process that accepts connections until no descriptor is left
// for its files and its own connections.
TEST_P(untrusted_listener_clients, more_connections_than_descriptors)
{
    constexpr rlim_t limit = 400;
    {
        const descriptor_limit lowered(limit);
        start();
    }
    client_crowd crowd(address(), 600, {"GET ", "", 0});
    attack(crowd);
    check(limit - 1);
}

INSTANTIATE_TEST_SUITE_P(listeners, untrusted_listener_clients,
                         testing::Values(listener::callers,
                                         listener::operators));

} // namespace
} // namespace limpetstack::test
