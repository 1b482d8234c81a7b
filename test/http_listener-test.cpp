#include "transport/http_listener.hpp"

#include "base/metrics.hpp"
#include "experiment/http.hpp"
#include "experiment/process.hpp"
#include "support/client_crowd.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>

namespace limpetstack
{
namespace
{

constexpr std::size_t body_limit = 100000;
constexpr char too_large[] = "requests_refused_total{reason=\"too_large\"}";

class http_listener_test : public testing::Test
{
protected:
    http_listener_test()
        : address("127.0.0.1:" + std::to_string(test::free_port()))
    {
        http_listener_options options;
        options.threads = 4;
        options.body_limit_bytes = body_limit;
        options.counters = &counters;
        auto opened = http_listener::open(
            address, options,
            [this](httplib::Server& server)
            {
                server.Post("/echo",
                            [this](const httplib::Request& request,
                                   httplib::Response& response)
                            {
                                ++handled;
                                response.set_content(request.body,
                                                     "text/plain");
                            });
            });
        EXPECT_TRUE(opened.ok());
        listener = *std::move(opened);
    }

    int send(const std::string& header, const std::string& body) const
    {
        return test::call_status(address, "POST /echo HTTP/1.1\r\nHost: h\r\n" +
                                              header + "\r\n" + body);
    }

    int send_chunks(const std::string& chunks) const
    {
        return send("Transfer-Encoding: chunked\r\n", chunks);
    }

    const std::string address;
    metrics counters;
    std::atomic<int> handled{0};
    std::unique_ptr<http_listener> listener;
};

// Guards against limits that refuse ordinary requests.
TEST_F(http_listener_test, requests_at_the_limits_are_served)
{
    const auto answer =
        test::post(address, "/echo", std::string(body_limit, 'x'));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body.size(), body_limit);
    EXPECT_EQ(send_chunks("5;name=value\r\nhello\r\n0\r\n\r\n"), 200);
    std::string single_bytes;
    for (std::size_t i = 0; i < 10000; ++i)
    {
        single_bytes += "1\r\nx\r\n";
    }
    EXPECT_EQ(send_chunks(single_bytes + "0\r\n\r\n"), 200);
    EXPECT_EQ(
        send("Filler: " + std::string(8000, 'x') + "\r\nContent-Length: 2\r\n",
             "ab"),
        200);
    EXPECT_EQ(handled, 4);
    EXPECT_EQ(counters.counter(too_large), 0U);
}

// Guards against lines that the library buffers without a bound.
TEST_F(http_listener_test, long_lines_are_refused_and_not_run)
{
    const std::string filler(200000, 'x');
    EXPECT_EQ(test::call_status(address, "POST /" + filler), 431);
    EXPECT_EQ(send("Filler: " + filler, ""), 431);
    std::string lines;
    for (int i = 0; i < 1000; ++i)
    {
        lines += "Filler-" + std::to_string(i) + ": some text\r\n";
    }
    EXPECT_EQ(send(lines, ""), 431);
    EXPECT_EQ(send_chunks("2;name=" + filler), 431);
    EXPECT_EQ(send_chunks("2\r\nab\r\n0\r\nFiller: " + filler), 431);
    EXPECT_EQ(handled, 0);
    EXPECT_EQ(counters.counter(too_large), 5U);
}

// Guards against bodies to which the library applies no limit: chunked ones,
// ones that end with the connection, and compressed ones.
TEST_F(http_listener_test, bodies_beyond_the_limit_are_refused_and_not_run)
{
    const std::string chunk = "400\r\n" + std::string(1024, 'x') + "\r\n";
    std::string chunks;
    while (chunks.size() <= body_limit + 2 * chunk.size())
    {
        chunks += chunk;
    }
    EXPECT_EQ(send_chunks(chunks), 413);
    EXPECT_EQ(send("", std::string(body_limit + 5000, 'x')), 413);
    EXPECT_EQ(
        send("Content-Length: " + std::to_string(body_limit + 5000) + "\r\n",
             std::string(body_limit + 5000, 'x')),
        413);
    EXPECT_EQ(send("Content-Encoding: gzip\r\nContent-Length: 2\r\n", "ab"),
              415);
    EXPECT_EQ(handled, 0);
}

// Guards against a request that is lost because it arrived together with the
// one before it.
TEST_F(http_listener_test, pipelined_requests_are_served_in_turn)
{
    const std::string request =
        "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
    EXPECT_EQ(test::call_status(address, request + request), 200);
    EXPECT_TRUE(test::call_status(address, request) == 200);
    listener->stop();
    EXPECT_EQ(handled, 3);
}

} // namespace
} // namespace limpetstack
