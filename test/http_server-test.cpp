#include "transport/http_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack
{
namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr char chunked_header[] = "POST /a HTTP/1.1\r\nHost: h\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";

// A client that sends and reads without blocking.
class raw_client
{
public:
    raw_client(boost::asio::io_context& io, const tcp::endpoint& server)
        : io_(io)
        , socket_(io)
    {
        socket_.connect(server);
        socket_.non_blocking(true);
    }

    // Sends as much of the text as the server takes; returns false when the
    // connection is closed.
    bool send(const std::string& text)
    {
        std::size_t sent = 0;
        for (int tries = 0; sent < text.size() && tries < 50; ++tries)
        {
            error_code error;
            sent += socket_.write_some(
                boost::asio::buffer(text.data() + sent, text.size() - sent),
                error);
            if (error && error != boost::asio::error::would_block)
            {
                return false;
            }
            run();
        }
        return true;
    }

    // Returns what the server has sent so far.
    const std::string& received()
    {
        run();
        char piece[4096];
        error_code error;
        while (!error)
        {
            const auto bytes =
                socket_.read_some(boost::asio::buffer(piece), error);
            received_.append(piece, bytes);
        }
        closed_ = closed_ || error != boost::asio::error::would_block;
        return received_;
    }

    bool is_closed()
    {
        received();
        return closed_;
    }

private:
    void run()
    {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(2));
    }

    boost::asio::io_context& io_;
    tcp::socket socket_;
    std::string received_;
    bool closed_ = false;
};

class http_server_test : public ::testing::Test
{
protected:
    http_server_test()
    {
        tcp::acceptor probe(io,
                            {boost::asio::ip::make_address("127.0.0.1"), 0});
        endpoint = probe.local_endpoint();
        probe.close();
        http_server_limits limits;
        limits.max_header_bytes = 8192;
        limits.max_body_bytes = 65536;
        server.set_limits(limits);
    }

    void listen(const http_server_capacity& capacity)
    {
        server.set_capacity(capacity, nullptr);
        ASSERT_TRUE(
            server.listen("127.0.0.1:" + std::to_string(endpoint.port())));
    }

    std::unique_ptr<raw_client> connect()
    {
        return std::make_unique<raw_client>(io, endpoint);
    }

    // Returns the status line of one ordinary request.
    std::string ordinary_request()
    {
        const auto client = connect();
        client->send("POST /ordinary HTTP/1.1\r\nHost: h\r\n"
                     "Content-Length: 2\r\n\r\n{}");
        const auto text = client->received();
        return text.substr(0, text.find('\r'));
    }

    boost::asio::io_context io;
    tcp::endpoint endpoint;
    std::vector<std::string> bodies;
    std::vector<http_responder> waiting;
    http_server server{
        io, "",
        [this](const http_server_request& request, http_responder respond)
        {
            bodies.push_back(request.body);
            if (request.target == "/wait")
            {
                waiting.push_back(std::move(respond));
                return;
            }
            respond({200,
                     request.target == "/large" ? std::string(400000, 'x')
                                                : std::string("{}"),
                     0});
        }};
};

// Guards against input behind a body that is kept without a bound.
TEST_F(http_server_test, trailers_without_end_are_refused)
{
    listen({1U << 20U, 10});
    const auto client = connect();
    client->send(std::string(chunked_header) + "0\r\n");
    for (int i = 0;
         i < 200 && client->send("X-T: " + std::string(990, 'a') + "\r\n"); ++i)
    {
        EXPECT_LT(server.kept_bytes(), 40000U);
    }
    EXPECT_TRUE(client->is_closed());
    EXPECT_TRUE(bodies.empty());
    EXPECT_EQ(ordinary_request(), "HTTP/1.1 200 OK");
}

TEST_F(http_server_test, chunk_extensions_without_end_are_refused)
{
    listen({1U << 20U, 10});
    const auto client = connect();
    client->send(std::string(chunked_header) + "5;");
    for (int i = 0; i < 200 && client->send(std::string(1000, 'a')); ++i)
    {
        EXPECT_LT(server.kept_bytes(), 40000U);
    }
    EXPECT_TRUE(client->is_closed());
    EXPECT_TRUE(bodies.empty());
    EXPECT_EQ(ordinary_request(), "HTTP/1.1 200 OK");
}

// Guards against the refusal of trailers and extensions of ordinary size.
TEST_F(http_server_test, chunked_requests_inside_the_limits_are_served)
{
    listen({1U << 20U, 10});
    const auto client = connect();
    client->send(std::string(chunked_header) + "5;a=" + std::string(2000, 'b') +
                 "\r\nhello\r\n0\r\nX-T: " + std::string(2000, 'c') +
                 "\r\n\r\n");
    EXPECT_NE(client->received().find("200 OK"), std::string::npos);
    EXPECT_EQ(bodies, std::vector<std::string>{"hello"});
}

// Guards against many bodies inside the limit that exceed the memory together,
// and against small requests that are refused because of them.
TEST_F(http_server_test, incomplete_bodies_together_are_bounded)
{
    constexpr std::size_t limit = 300000;
    listen({limit, 100});
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 20; ++i)
    {
        clients.push_back(connect());
        clients.back()->send("POST /a HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 65000\r\n\r\n" +
                             std::string(60000, 'x'));
        EXPECT_LE(server.kept_bytes(), limit);
    }
    EXPECT_TRUE(bodies.empty());
    EXPECT_EQ(ordinary_request(), "HTTP/1.1 200 OK");
    int refused = 0;
    for (const auto& client : clients)
    {
        const auto& text = client->received();
        refused += text.find("503") != std::string::npos &&
                           text.find("Retry-After") != std::string::npos
                       ? 1
                       : 0;
    }
    EXPECT_GT(refused, 0);
    EXPECT_EQ(bodies.size(), 1U);
}

// Guards against requests behind one in progress that are kept without a bound.
TEST_F(http_server_test, pipelined_requests_wait_unread)
{
    listen({1U << 20U, 10});
    const auto client = connect();
    const std::string request = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";
    client->send(request);
    for (int i = 0; i < 100; ++i)
    {
        client->send(request);
        EXPECT_LT(server.kept_bytes(), 40000U);
    }
    ASSERT_EQ(waiting.size(), 1U);
    for (std::size_t i = 0; i < 101; ++i)
    {
        ASSERT_GT(waiting.size(), i);
        const auto respond = waiting[i];
        respond({200, "{}", 0});
        client->received();
    }
    EXPECT_EQ(bodies.size(), 101U);
}

// Guards against large answers that nobody reads.
TEST_F(http_server_test, unread_answers_together_are_bounded)
{
    constexpr std::size_t limit = 2000000;
    listen({limit, 100});
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 30; ++i)
    {
        clients.push_back(connect());
        for (int k = 0; k < 20; ++k)
        {
            clients.back()->send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        EXPECT_LE(server.kept_bytes(), limit);
    }
    EXPECT_EQ(ordinary_request(), "HTTP/1.1 200 OK");
}

// Guards against idle connections that keep ordinary clients out.
TEST_F(http_server_test, the_longest_waiting_connection_makes_room)
{
    listen({1U << 20U, 5});
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 12; ++i)
    {
        clients.push_back(connect());
        clients.back()->send("POST /a HT");
        EXPECT_LE(server.connections(), 5U);
    }
    EXPECT_TRUE(clients.front()->is_closed());
    EXPECT_FALSE(clients.back()->is_closed());
    EXPECT_EQ(ordinary_request(), "HTTP/1.1 200 OK");
}

} // namespace
} // namespace limpetstack
