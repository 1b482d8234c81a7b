#include "transport/http_worker_port.hpp"

#include "platform_protocol.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t max_connections = 8;
constexpr int worker_count = 40;

std::string free_address(boost::asio::io_context& io)
{
    boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

class http_worker_port_test : public ::testing::Test
{
protected:
    http_worker_port_test()
        : address(free_address(io))
        , server(io, "",
                 [this](const http_server_request& request,
                        const http_responder& respond)
                 {
                     ++calls;
                     targets.push_back(request.target);
                     if (silent)
                     {
                         unanswered.push_back(respond);
                         return;
                     }
                     respond({status,
                              R"({"clock_ms":1,"running":[],"ended":[]})", 0});
                 })
        , port(io, protocol, max_connections)
    {
        EXPECT_TRUE(server.listen(address));
    }

    worker_record worker(int number) const
    {
        worker_record record;
        record.set_id("w" + std::to_string(number));
        record.set_address(address);
        return record;
    }

    void request_lists(int number)
    {
        port.request_lists(
            worker(number), {},
            [this](const hold_answer& answer)
            {
                accepted += answer.result == order_result::accepted ? 1 : 0;
            });
        io.run_for(std::chrono::milliseconds(20));
    }

    // Sends a start and returns its answer.
    order_answer send_start(const worker_record& to)
    {
        order_answer seen;
        port.start(to, {}, milliseconds(50),
                   [&seen](const order_answer& answer)
                   {
                       seen = answer;
                   });
        io.run_for(std::chrono::milliseconds(100));
        return seen;
    }

    boost::asio::io_context io;
    std::string address;
    int calls = 0;
    unsigned status = 200;
    std::vector<std::string> targets;
    int accepted = 0;
    bool silent = false; // Orders get no answer.
    std::vector<http_responder> unanswered;
    http_server server;
    platform::platform_protocol protocol;
    http_worker_port port;
};

// Guards against a leader of a large fleet that runs out of descriptors: calls
// to further workers then fail at once, for ever, and take all its time.
TEST_F(http_worker_port_test, idle_connections_are_closed_at_the_limit)
{
    for (int i = 0; i < worker_count; ++i)
    {
        request_lists(i);
        EXPECT_LE(port.open_connections(), max_connections);
    }
    EXPECT_EQ(accepted, worker_count);
}

// Guards against connections that are closed and opened again for each call
// although there is room for them.
TEST_F(http_worker_port_test, connections_stay_open_below_the_limit)
{
    for (int round = 0; round < 3; ++round)
    {
        for (int i = 0; i < 4; ++i)
        {
            request_lists(i);
        }
    }
    EXPECT_EQ(port.open_connections(), 4U);
    EXPECT_EQ(accepted, 12);
}

// Guards against an unanswered start that counts as sent to the known process
// although its connection was opened for it.
TEST_F(http_worker_port_test, start_tells_whether_it_was_on_a_new_connection)
{
    EXPECT_TRUE(send_start(worker(0)).on_new_connection);
    EXPECT_FALSE(send_start(worker(0)).on_new_connection);
    silent = true;
    EXPECT_FALSE(send_start(worker(0)).on_new_connection);
    const auto missing = send_start(worker(0));
    EXPECT_EQ(missing.result, order_result::unknown);
    EXPECT_TRUE(missing.on_new_connection);
}

// Guards against fillers that are never paced because the order does not reach
// the worker, or that wait for an answer from a worker without that order.
TEST_F(http_worker_port_test, pace_is_sent_and_its_answer_is_read)
{
    std::vector<order_answer> answers;
    const auto send = [&]
    {
        port.pace(worker(0), {{}, "w0", 20, 1}, milliseconds(50),
                  [&answers](const order_answer& answer)
                  {
                      answers.push_back(answer);
                  });
        io.run_for(std::chrono::milliseconds(100));
    };
    send();
    status = 404;
    send();
    EXPECT_EQ(targets, (std::vector<std::string>{"/-/pace", "/-/pace"}));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].result, order_result::accepted);
    EXPECT_FALSE(answers[0].not_supported);
    EXPECT_TRUE(answers[1].not_supported);
}

// Guards against a start that counts as sent when its worker refused the
// connection.
TEST_F(http_worker_port_test, refused_start_was_on_no_connection)
{
    auto absent = worker(0);
    absent.set_address(free_address(io));
    const auto missing = send_start(absent);
    EXPECT_EQ(missing.result, order_result::unknown);
    EXPECT_FALSE(missing.on_new_connection);
}

// Guards against a call that loses its answer because its connection is closed
// to make room.
TEST_F(http_worker_port_test, connection_with_a_call_is_not_closed)
{
    for (int i = 0; i < worker_count; ++i)
    {
        port.request_lists(
            worker(i), {},
            [this](const hold_answer& answer)
            {
                accepted += answer.result == order_result::accepted ? 1 : 0;
            });
    }
    io.run_for(std::chrono::milliseconds(250));
    EXPECT_EQ(accepted, worker_count);
}

} // namespace
} // namespace limpetstack::fleet
