#include "ctl/http_transport.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <thread>

namespace limpetstack
{
namespace
{

// Guards against a lost response that counts as "not sent", which would turn
// an unknown outcome into "nothing was changed".
TEST(http_transport, tells_lost_responses_from_unreachable_servers)
{
    httplib::Server server;
    server.Post("/echo",
                [](const httplib::Request& request, httplib::Response& response)
                {
                    response.status = 409;
                    response.set_content(request.body, "application/json");
                });
    server.Post("/broken",
                [](const httplib::Request&, httplib::Response& response)
                {
                    // Fewer bytes than declared, then the connection closes.
                    response.set_content_provider(
                        100, "application/json",
                        [](std::size_t, std::size_t, httplib::DataSink&)
                        {
                            return false;
                        });
                });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread thread(
        [&]
        {
            server.listen_after_bind();
        });
    const auto address = "127.0.0.1:" + std::to_string(port);
    http_transport transport;
    const auto answered = transport.post(address, "/echo", "{}");
    EXPECT_EQ(answered.status, 409);
    EXPECT_EQ(answered.body, "{}");
    const auto broken = transport.post(address, "/broken", "{}");
    EXPECT_EQ(broken.status, 0);
    EXPECT_FALSE(broken.not_sent);
    server.stop();
    thread.join();
    const auto unreachable = transport.get(address, "/echo");
    EXPECT_EQ(unreachable.status, 0);
    EXPECT_TRUE(unreachable.not_sent);
}

} // namespace
} // namespace limpetstack
