#include "transport/worker_client.hpp"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <set>
#include <string>
#include <thread>

namespace limpetstack
{
namespace
{

/// A worker's listener on a free port of the loopback interface.
class listener
{
public:
    listener()
    {
        server.set_keep_alive_max_count(100);
        server.set_pre_routing_handler(
            [this](const httplib::Request& request, httplib::Response&)
            {
                ports.insert(request.remote_port);
                return httplib::Server::HandlerResponse::Unhandled;
            });
        port = server.bind_to_any_port("127.0.0.1");
    }
    ~listener()
    {
        server.stop();
        thread.join();
    }
    void listen()
    {
        thread = std::thread(
            [this]
            {
                server.listen_after_bind();
            });
        while (!server.is_running())
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    httplib::Server server;
    int port = 0;
    std::set<int> ports; // Of the client, one for each connection.
    std::thread thread;
};

worker_request request()
{
    return {7, milliseconds(3000), {{"j", 2, 1, 8, 4, 1024, "run", 0.5}}};
}

// Guards against a message that differs from the interface in the design.
TEST(worker_client, sends_and_reads_the_documented_messages)
{
    listener worker;
    std::string body;
    worker.server.Post("/tasks/commit",
                       [&](const httplib::Request& r, httplib::Response& a)
                       {
                           body = r.body;
                           a.set_content(
                               R"({"tasks":[{"job":"j","attempt":2,"member":1,)"
                               R"("state":"running","progress":0.5}]})",
                               "application/json");
                       });
    worker.listen();
    worker_client client;
    const auto answer = client.call(worker_action::commit, worker.address(),
                                    request(), milliseconds(2000));
    ASSERT_TRUE(answer.ok()) << answer.status();
    ASSERT_EQ(answer->size(), 1U);
    EXPECT_EQ(answer->at(0).state, task_state::running);
    EXPECT_EQ(answer->at(0).attempt, 2U);
    EXPECT_EQ(answer->at(0).progress, 0.5);
    EXPECT_EQ(nlohmann::json::parse(body),
              nlohmann::json::parse(
                  R"({"epoch":7,"lease_ms":3000,"tasks":[{"job":"j",)"
                  R"("attempt":2,"member":1,"accelerators":8,"cores":4,)"
                  R"("memory_mib":1024,"command":"run","progress":0.5}]})"));
}

// Guards against a refusal that is taken for a lost call, against answers
// that end the process, and against a new connection for each call.
TEST(worker_client, tells_refusals_from_errors_and_keeps_the_connection)
{
    listener worker;
    worker.server.Post("/tasks/reserve",
                       [](const httplib::Request&, httplib::Response& a)
                       {
                           a.status = 409;
                           a.set_content(R"({"error":"short"})",
                                         "application/json");
                       });
    worker.server.Post("/tasks/renew",
                       [](const httplib::Request&, httplib::Response& a)
                       {
                           a.set_content(R"({"tasks":[{"job":1}]})",
                                         "application/json");
                       });
    worker.listen();
    worker_client client;
    const auto call = [&](worker_action action)
    {
        return client
            .call(action, worker.address(), request(), milliseconds(2000))
            .status()
            .code();
    };
    EXPECT_EQ(call(worker_action::reserve),
              absl::StatusCode::kFailedPrecondition);
    EXPECT_EQ(call(worker_action::renew), absl::StatusCode::kInternal);
    EXPECT_EQ(call(worker_action::stop), absl::StatusCode::kInternal);
    EXPECT_EQ(worker.ports.size(), 1U);
}

// Guards against a frozen worker that holds a caller, and against its late
// answer being taken for that of the next call.
TEST(worker_client, gives_up_on_a_frozen_worker)
{
    listener worker;
    std::atomic<bool> frozen{true};
    worker.server.Post("/tasks/renew",
                       [&](const httplib::Request&, httplib::Response& a)
                       {
                           for (int i = 0; i < 200 && frozen; ++i)
                           {
                               std::this_thread::sleep_for(milliseconds(10));
                           }
                           a.set_content(R"({"tasks":[]})", "application/json");
                       });
    worker.listen();
    worker_client client;
    const auto late = client.call(worker_action::renew, worker.address(),
                                  request(), milliseconds(200));
    EXPECT_EQ(late.status().code(), absl::StatusCode::kUnavailable);
    frozen = false;
    const auto next = client.call(worker_action::renew, worker.address(),
                                  request(), milliseconds(2000));
    EXPECT_TRUE(next.ok()) << next.status();
    EXPECT_EQ(client
                  .call(worker_action::renew, "127.0.0.1:1", request(),
                        milliseconds(200))
                  .status()
                  .code(),
              absl::StatusCode::kUnavailable);
}

} // namespace
} // namespace limpetstack
