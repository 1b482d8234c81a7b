// Bad input to a real daemon: each gets a clear error, and nothing else
// suffers.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace limpetstack::test
{
namespace
{

constexpr const char* path = "/v1/accounts/addis/services/lookup/requests";

class raw_connection
{
public:
    explicit raw_connection(const std::string& address)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(
            std::stoi(address.substr(address.rfind(':') + 1))));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(socket_, reinterpret_cast<sockaddr*>(&target),
                            sizeof target),
                  0);
    }
    ~raw_connection() { ::close(socket_); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void send(const std::string& text) const
    {
        ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void finish_sending() const { ::shutdown(socket_, SHUT_WR); }

    // Reads until the daemon closes the connection.
    std::string read_all() const
    {
        std::string result;
        char buffer[4096];
        for (;;)
        {
            const auto count = ::recv(socket_, buffer, sizeof buffer, 0);
            if (count <= 0)
            {
                return result;
            }
            result.append(buffer, static_cast<std::size_t>(count));
        }
    }

private:
    int socket_;
};

class bad_input : public testing::Test
{
protected:
    bad_input()
        : folder(test_folder(
              testing::UnitTest::GetInstance()->current_test_info()->name()))
        , system(folder, {{"a1", "north", true, true}})
    {
    }

    ~bad_input() override
    {
        if (!HasFailure())
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
        }
    }

    void start()
    {
        ASSERT_TRUE(system.start_with(sample_document()));
        system.add_upstream("u", "lookup", "north");
        ASSERT_TRUE(wait_until(
            [&]
            {
                return request_works();
            }));
    }

    bool request_works() const
    {
        return post(system.callers("a1"), path, "scan").status == 200;
    }

    // Runs a daemon that is expected to end by itself.
    std::pair<int, std::string> run_daemon(const std::string& settings) const
    {
        const auto log = folder + "/run.log";
        std::filesystem::remove(log);
        process daemon(program_folder() + "/limpetstackd",
                       {"--settings", settings}, log);
        const int code = daemon.wait();
        std::ifstream file(log);
        std::stringstream text;
        text << file.rdbuf();
        return {code, text.str()};
    }

    // Copies the settings of a1 with one text replaced.
    std::string changed_settings(const std::string& from,
                                 const std::string& to) const
    {
        std::ifstream file(folder + "/a1.yaml");
        std::stringstream text;
        text << file.rdbuf();
        auto content = text.str();
        const auto at = content.find(from);
        EXPECT_NE(at, std::string::npos);
        content.replace(at, from.size(), to);
        auto name = folder + "/changed.yaml";
        std::ofstream(name) << content;
        return name;
    }

    const std::string folder;
    deployment system;
};

// Guards against a daemon that ends or hangs on malformed HTTP.
TEST_F(bad_input, malformed_http)
{
    start();
    for (const std::string& text :
         {std::string("\x16\x03\x01garbage\r\n\r\n"),
          std::string("GET\r\n\r\n"), std::string(100000, 'x') + "\r\n\r\n",
          std::string("POST /v1/upstreams HTTP/1.1\r\nContent-Length: -5"
                      "\r\n\r\n")})
    {
        const raw_connection connection(system.callers("a1"));
        connection.send(text);
        connection.finish_sending();
        const auto answer = connection.read_all();
        EXPECT_EQ(answer.find(" 200 "), std::string::npos);
    }
    EXPECT_TRUE(request_works());
}

// Guards against a body of any size that takes memory, and against a body that
// is cut short and counts as whole.
TEST_F(bad_input, oversized_and_truncated_bodies)
{
    start();
    const auto large =
        post(system.callers("a1"), path, std::string((1U << 20U) + 1, 'x'));
    EXPECT_EQ(large.status, 413);
    {
        const raw_connection connection(system.callers("a1"));
        connection.send(std::string("POST ") + path +
                        " HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
                        "short");
        connection.finish_sending();
        EXPECT_EQ(connection.read_all().find(" 200 "), std::string::npos);
    }
    const auto history = nlohmann::json::parse(
        get(system.stand_in_address("u"), "/history").body);
    for (const auto& run : history["runs"])
    {
        EXPECT_FALSE(run["refused"].get<bool>());
    }
    EXPECT_TRUE(request_works());
}

// Guards against clients that hold threads by sending slowly: the daemon
// closes their connections by itself, and serves others meanwhile.
TEST_F(bad_input, slow_clients)
{
    start();
    std::vector<std::unique_ptr<raw_connection>> slow;
    for (int i = 0; i < 16; ++i)
    {
        slow.push_back(std::make_unique<raw_connection>(system.callers("a1")));
        slow.back()->send(std::string("POST ") + path + " HTTP/1.1\r\nHost:");
    }
    EXPECT_TRUE(request_works());
    for (const auto& connection : slow)
    {
        // Returns only when the daemon has closed the connection.
        EXPECT_EQ(connection->read_all().find(" 200 "), std::string::npos);
    }
}

// Guards against errors that do not say what is wrong.
TEST_F(bad_input, unknown_names_and_wrong_fields)
{
    start();
    const auto account =
        post(system.callers("a1"),
             "/v1/accounts/nobody/services/lookup/requests", "scan");
    EXPECT_EQ(account.status, 404);
    EXPECT_NE(account.body.find("client account"), std::string::npos);
    const auto service =
        post(system.callers("a1"), "/v1/accounts/addis/services/none/requests",
             "scan");
    EXPECT_EQ(service.status, 404);
    EXPECT_NE(service.body.find("service"), std::string::npos);
    const auto no_id =
        post(system.callers("a1"),
             "/v1/accounts/addis/services/appraisal/requests", "scan");
    EXPECT_EQ(no_id.status, 400);
    const auto upstream = post(system.callers("a1"), "/v1/upstreams",
                               R"({"id":"u","incarnation":1,"sequence":1,)"
                               R"("service":"lookup","data_centre":"north",)"
                               R"("address":"127.0.0.1:1","slots":0})");
    EXPECT_EQ(upstream.status, 400);
    EXPECT_NE(upstream.body.find("slots"), std::string::npos);
    const auto job = post(system.callers("a1"), "/v1/accounts/addis/jobs",
                          R"({"service":"lookup","members":0})");
    EXPECT_EQ(job.status, 400);
    EXPECT_NE(job.body.find("members"), std::string::npos);
}

// Guards against a document of which a part is in force.
TEST_F(bad_input, document_is_refused_whole)
{
    start();
    auto document = sample_document();
    document += "  - name: other\n    weight: 0\n    serivces: []\n";
    const auto refused = system.apply("a1", 1, document, "second");
    EXPECT_EQ(refused.value("status", 0), 422);
    ASSERT_GE(refused["errors"].size(), 2U) << refused.dump();
    EXPECT_GT(refused["errors"][0].value("line", 0), 0);
    EXPECT_EQ(system.version_at("a1"), 1U);
    const auto accounts = system.ask("a1", "/v1/accounts");
    EXPECT_EQ(accounts["accounts"].size(), 1U);
    // Guarantees of two accounts that do not fit the fleet together.
    auto large = sample_document();
    const auto at = large.find("count: 1");
    large.replace(at, 8, "count: 7");
    const auto clash = system.apply("a1", 1, large, "third");
    EXPECT_EQ(clash.value("status", 0), 422);
    EXPECT_NE(clash["errors"].dump().find("addis"), std::string::npos);
}

// Guards against a daemon that starts with settings it does not understand.
TEST_F(bad_input, settings_errors_name_the_place)
{
    const auto unknown = run_daemon(changed_settings("votes:", "voted:"));
    EXPECT_EQ(unknown.first, 2);
    EXPECT_NE(unknown.second.find("voted"), std::string::npos);
    EXPECT_NE(unknown.second.find("votes"), std::string::npos);
    EXPECT_NE(unknown.second.find(".yaml:"), std::string::npos);
    const auto type = run_daemon(changed_settings("votes: true", "votes: 3"));
    EXPECT_EQ(type.first, 2);
    EXPECT_NE(type.second.find("votes"), std::string::npos);
    const auto unit = run_daemon(changed_settings(
        "votes: true", "votes: true\ntiming:\n  heartbeat: 100parsec"));
    EXPECT_EQ(unit.first, 2);
    EXPECT_NE(unit.second.find("heartbeat"), std::string::npos);
}

// Guards against two daemons that write to one folder, and against an unusable
// folder that is noticed only later.
TEST_F(bad_input, data_folder_errors_name_the_folder)
{
    start();
    const auto own = system.callers("a1");
    // Another address, so that only the folder is in the way.
    const auto second = run_daemon(
        changed_settings("callers: " + own,
                         "callers: 127.0.0.1:" + std::to_string(free_port())));
    EXPECT_EQ(second.first, 1);
    EXPECT_NE(second.second.find(system.data_folder("a1")), std::string::npos);
    std::ofstream(folder + "/file") << "not a folder";
    const auto unusable = run_daemon(
        changed_settings(system.data_folder("a1"), folder + "/file/data"));
    EXPECT_EQ(unusable.first, 1);
    EXPECT_NE(unusable.second.find(folder + "/file"), std::string::npos);
    EXPECT_TRUE(request_works());
}

// Guards against a second daemon that silently shares a listener.
TEST_F(bad_input, address_in_use)
{
    start();
    const auto used = run_daemon(
        changed_settings(system.data_folder("a1"), folder + "/other-data"));
    EXPECT_EQ(used.first, 1);
    EXPECT_NE(used.second.find("listen"), std::string::npos);
}

} // namespace
} // namespace limpetstack::test
