#include "transport/operator_api.hpp"

#include "experiment/process.hpp"
#include "transport/operator_answer.hpp"

#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace limpetstack
{
namespace
{

// Serves operators and records the evacuation calls.
class operator_api_test : public ::testing::Test
{
protected:
    operator_api_test()
        : port(test::free_port())
        , client("127.0.0.1", port)
    {
        operator_handlers handlers;
        handlers.evacuations = []
        {
            return nlohmann::json::array({{{"data_centre", "dc2"}}});
        };
        handlers.change_evacuation = [this](const evacuation_change& change)
        {
            changes.push_back(change);
            return operator_answer{200, {{"changed", true}}};
        };
        auto opened = open_operator_api("127.0.0.1:" + std::to_string(port), {},
                                        handlers);
        EXPECT_TRUE(opened.ok()) << opened.status();
        listener = *std::move(opened);
    }

    ~operator_api_test() override { listener->stop(); }

    // Sends bytes and returns the first part of the answer, empty when none
    // came within a second.
    std::string exchange(const std::string& bytes) const
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval limit{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::string answer(1000, ' ');
        ssize_t received = 0;
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&to),
                      sizeof to) == 0 &&
            ::send(socket, bytes.data(), bytes.size(), 0) > 0)
        {
            received = ::recv(socket, answer.data(), answer.size(), 0);
        }
        ::close(socket);
        answer.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
        return answer;
    }

    int port;
    std::vector<evacuation_change> changes;
    std::unique_ptr<http_listener> listener;
    httplib::Client client;
};

// Guards against a method or parameter that has another effect than asked for.
TEST_F(operator_api_test, evacuation_calls_carry_name_operator_and_id)
{
    const auto list = client.Get("/v1/evacuations");
    ASSERT_TRUE(list);
    EXPECT_EQ(
        nlohmann::json::parse(list->body)["evacuations"][0]["data_centre"],
        "dc2");
    const auto start =
        client.Put("/v1/evacuations/dc1?operator=ana&request_id=r%261");
    ASSERT_TRUE(start);
    EXPECT_EQ(start->status, 200);
    const auto end = client.Delete("/v1/evacuations/dc.2");
    ASSERT_TRUE(end);
    EXPECT_EQ(end->status, 200);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].data_centre, "dc1");
    EXPECT_TRUE(changes[0].active);
    EXPECT_EQ(changes[0].operator_name, "ana");
    EXPECT_EQ(changes[0].request_id, "r&1");
    EXPECT_EQ(changes[1].data_centre, "dc.2");
    EXPECT_FALSE(changes[1].active);
    EXPECT_EQ(changes[1].request_id, "");
    const auto wide =
        client.Put("/v1/evacuations/dc1?operator=" + std::string(129, 'a'));
    ASSERT_TRUE(wide);
    EXPECT_EQ(wide->status, 400);
    EXPECT_EQ(changes.size(), 2U);
}

// Guards against a name that the path changes on its way to the check.
TEST_F(operator_api_test, malformed_names_reach_the_check_unchanged)
{
    for (const auto* path : {"/v1/evacuations/", "/v1/evacuations/a%2Fb",
                             "/v1/evacuations/a/b", "/v1/evacuations/a%0Ab"})
    {
        ASSERT_TRUE(client.Put(path)) << path;
    }
    ASSERT_EQ(changes.size(), 4U);
    EXPECT_EQ(changes[0].data_centre, "");
    EXPECT_EQ(changes[1].data_centre, "a/b");
    EXPECT_EQ(changes[2].data_centre, "a/b");
    EXPECT_EQ(changes[3].data_centre, "a\nb");
}

// Guards against a call without a body and its length, as some clients send
// it, that is answered only after the time-out for bodies.
TEST_F(operator_api_test, call_without_a_length_is_answered_at_once)
{
    for (const std::string method : {"PUT", "DELETE"})
    {
        const auto answer = exchange(
            method + " /v1/evacuations/dc1 HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << method;
    }
    EXPECT_EQ(changes.size(), 2U);
}

// Guards against compressed bodies on the operators' listener, which the
// library would decompress without a limit.
TEST_F(operator_api_test, compressed_bodies_are_refused)
{
    const auto answer =
        exchange("POST /v1/config HTTP/1.1\r\nHost: a\r\n"
                 "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 415");
}

} // namespace
} // namespace limpetstack
