#include "transport/http_channel.hpp"

#include "base/clock.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace limpetstack
{
namespace
{

std::string free_address(boost::asio::io_context& io)
{
    boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

class http_channel_test : public ::testing::Test
{
protected:
    http_channel_test()
        : address(free_address(io))
        , server(
              io, "X-Deadline-Ms",
              [this](const http_server_request& request, http_responder respond)
              {
                  targets.push_back(request.target);
                  if (request.target == "/throws")
                  {
                      throw std::length_error("unexpected");
                  }
                  if (request.target == "/silent")
                  {
                      delayed.push_back(std::move(respond));
                      return;
                  }
                  respond({200, request.target, 0});
              })
    {
        EXPECT_TRUE(server.listen(address));
    }
    void run() { io.run_for(std::chrono::milliseconds(400)); }

    boost::asio::io_context io;
    std::string address;
    std::vector<std::string> targets;
    std::vector<http_responder> delayed;
    http_server server;
};

// Guards against a request with an unexpected error that ends the process and
// with it the service for everybody else.
TEST_F(http_channel_test, exception_of_a_handler_ends_only_its_request)
{
    http_channel channel(io, address);
    std::vector<unsigned> statuses;
    for (const char* const target : {"/throws", "/next"})
    {
        channel.send("GET", target, {}, "", std::chrono::milliseconds(200),
                     [&statuses](const http_channel_answer& answer)
                     {
                         statuses.push_back(answer.status);
                     });
    }
    run();
    EXPECT_EQ(statuses, (std::vector<unsigned>{504, 200}));
}

// Guards against a call that is sent twice when a callback queues the next
// call. The second answer would then be taken for that of a later call.
TEST_F(http_channel_test, call_from_a_callback_is_sent_once)
{
    http_channel channel(io, address);
    std::vector<std::string> answers;
    const auto record = [&](const http_channel_answer& answer)
    {
        answers.push_back(answer.body);
    };
    channel.send(
        "GET", "/a", {}, "", milliseconds(200),
        [&](const http_channel_answer& answer)
        {
            record(answer);
            channel.send("GET", "/b", {}, "", milliseconds(200), record);
            channel.send("GET", "/c", {}, "", milliseconds(200), record);
        });
    run();
    EXPECT_EQ(targets, (std::vector<std::string>{"/a", "/b", "/c"}));
    EXPECT_EQ(answers, (std::vector<std::string>{"/a", "/b", "/c"}));
}

// Guards against a late answer, of a call that timed out, that is taken for the
// answer to the next call.
TEST_F(http_channel_test, next_call_after_a_timeout_gets_its_own_answer)
{
    http_channel channel(io, address);
    std::vector<unsigned> statuses;
    std::string last_body;
    channel.send("GET", "/silent", {}, "", milliseconds(50),
                 [&](const http_channel_answer& answer)
                 {
                     statuses.push_back(answer.status);
                     channel.send("GET", "/b", {}, "", milliseconds(200),
                                  [&](const http_channel_answer& next)
                                  {
                                      statuses.push_back(next.status);
                                      last_body = next.body;
                                  });
                     for (const auto& respond : delayed)
                     {
                         respond({200, "late", 0});
                     }
                 });
    run();
    EXPECT_EQ(statuses, (std::vector<unsigned>{0, 200}));
    EXPECT_EQ(last_body, "/b");
}

// Guards against a crash when a channel is destroyed during a call, as happens
// when a host stops leading: the request that is being written must outlive the
// channel. http_channel-sanitized-test (see CMakeLists.txt) runs this test
// with the address sanitizer, which detects the read of freed memory.
TEST_F(http_channel_test, destruction_during_a_call_is_safe)
{
    // Larger than the socket's send buffer, so that the write takes several
    // steps.
    const std::string body(4U << 20U, 'x');
    for (int steps = 0; steps < 12; ++steps)
    {
        for (const auto& content : {std::string("small"), body})
        {
            auto channel = std::make_unique<http_channel>(io, address);
            bool answered = false;
            channel->send("POST", "/silent", {{"X-Name", "value"}}, content,
                          milliseconds(200),
                          [&](const http_channel_answer&)
                          {
                              answered = true;
                          });
            for (int i = 0; i < steps; ++i)
            {
                io.run_one_for(milliseconds(5));
            }
            channel.reset();
            io.run_for(milliseconds(5));
            EXPECT_FALSE(answered);
        }
    }
}

// Guards against a call that counts as sent to the process of the calls before
// although its connection was opened later.
TEST_F(http_channel_test, call_tells_whether_its_connection_was_opened_for_it)
{
    http_channel channel(io, address);
    std::vector<bool> opened;
    for (const char* const target : {"/a", "/b", "/silent", "/silent", "/c"})
    {
        channel.send("GET", target, {}, "", std::chrono::milliseconds(50),
                     [&opened](const http_channel_answer& answer)
                     {
                         opened.push_back(answer.on_new_connection);
                     });
    }
    run();
    // A call without an answer closes its connection.
    EXPECT_EQ(opened, (std::vector<bool>{true, false, false, true, true}));
}

// Guards against reporting a call as sent when the connection was refused: the
// caller could then not repeat it safely.
TEST_F(http_channel_test, refused_connection_is_reported_as_not_sent)
{
    http_channel channel(io, free_address(io));
    http_channel_answer seen{200, "", true};
    channel.send("GET", "/a", {}, "", milliseconds(100),
                 [&](const http_channel_answer& answer)
                 {
                     seen = answer;
                 });
    run();
    EXPECT_EQ(seen.status, 0U);
    EXPECT_FALSE(seen.sent);
}

} // namespace
} // namespace limpetstack
