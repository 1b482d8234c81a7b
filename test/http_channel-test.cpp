#include "transport/http_channel.hpp"

#include "base/clock.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <memory>
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
                  if (request.target == "/silent")
                  {
                      kept.push_back(std::move(respond));
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
    std::vector<http_responder> kept;
    http_server server;
};

// Guards against a call that is sent twice, and then against answers that are
// taken for those of later calls, when a callback sends the next call.
TEST_F(http_channel_test, call_from_a_callback_is_sent_once)
{
    http_channel channel(io, address);
    std::vector<std::string> answers;
    const auto note = [&](const http_channel_answer& answer)
    {
        answers.push_back(answer.body);
    };
    channel.send("GET", "/a", {}, "", milliseconds(200),
                 [&](const http_channel_answer& answer)
                 {
                     note(answer);
                     channel.send("GET", "/b", {}, "", milliseconds(200), note);
                     channel.send("GET", "/c", {}, "", milliseconds(200), note);
                 });
    run();
    EXPECT_EQ(targets, (std::vector<std::string>{"/a", "/b", "/c"}));
    EXPECT_EQ(answers, (std::vector<std::string>{"/a", "/b", "/c"}));
}

// Guards against a late answer that is taken for the next call's.
TEST_F(http_channel_test, next_call_after_a_timeout_gets_its_own_answer)
{
    http_channel channel(io, address);
    std::vector<unsigned> statuses;
    std::string last;
    channel.send("GET", "/silent", {}, "", milliseconds(50),
                 [&](const http_channel_answer& answer)
                 {
                     statuses.push_back(answer.status);
                     channel.send("GET", "/b", {}, "", milliseconds(200),
                                  [&](const http_channel_answer& next)
                                  {
                                      statuses.push_back(next.status);
                                      last = next.body;
                                  });
                     for (const auto& respond : kept)
                     {
                         respond({200, "late", 0});
                     }
                 });
    run();
    EXPECT_EQ(statuses, (std::vector<unsigned>{0, 200}));
    EXPECT_EQ(last, "/b");
}

// Guards against a crash when a channel is destroyed in the middle of a call,
// as at the end of a leadership: what is being written must outlive it. The
// address sanitizer sees a read of freed memory; see CMakeLists.txt.
TEST_F(http_channel_test, destruction_during_a_call_is_safe)
{
    // Larger than what the connection takes at once.
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

// Guards against a call that is said to have been sent when nothing was.
TEST_F(http_channel_test, refused_connection_sends_nothing)
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
