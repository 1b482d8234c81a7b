#include "transport/upstream_client.hpp"

#include "base/clock.hpp"
#include "base/hash.hpp"
#include "base/metrics.hpp"

#include <gtest/gtest.h>

#include <httplib.h>

#include <atomic>
#include <functional>
#include <set>
#include <thread>

namespace limpetstack
{
namespace
{

constexpr std::uint64_t answer_limit = 4096;

/// HTTP server on a free loopback port that answers POST /run.
class run_server
{
public:
    using handler =
        std::function<void(const httplib::Request&, httplib::Response&)>;

    explicit run_server(handler run)
    {
        server_.set_keep_alive_timeout(1);
        server_.Post("/run", std::move(run));
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread(
            [this]
            {
                server_.listen_after_bind();
            });
        while (!server_.is_running())
        {
            std::this_thread::yield();
        }
    }

    ~run_server()
    {
        server_.stop();
        thread_.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    httplib::Server server_;
    int port_ = 0;
    std::thread thread_;
};

/// Listener that answers each connection's first request with fixed bytes and
/// closes it, or keeps it open.
class raw_server
{
public:
    raw_server(std::string bytes, bool close_after)
        : bytes_(std::move(bytes))
        , close_after_(close_after)
        , socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        [[maybe_unused]] const int bound =
            ::bind(socket_, reinterpret_cast<sockaddr*>(&name), sizeof name);
        ::listen(socket_, 8);
        socklen_t size = sizeof name;
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&name), &size);
        port_ = ntohs(name.sin_port);
        thread_ = std::thread(
            [this]
            {
                serve();
            });
    }

    ~raw_server()
    {
        ::shutdown(socket_, SHUT_RDWR);
        thread_.join();
        for (const int open : open_)
        {
            ::close(open);
        }
        ::close(socket_);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void serve()
    {
        while (true)
        {
            const int peer = ::accept(socket_, nullptr, nullptr);
            if (peer < 0)
            {
                return;
            }
            char buffer[4096];
            [[maybe_unused]] const auto got =
                ::recv(peer, buffer, sizeof buffer, 0);
            [[maybe_unused]] const auto sent =
                ::send(peer, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
            if (close_after_)
            {
                ::close(peer);
            }
            else
            {
                open_.push_back(peer);
            }
        }
    }

    const std::string bytes_;
    const bool close_after_;
    const int socket_;
    int port_ = 0;
    std::vector<int> open_;
    std::thread thread_;
};

upstream_attempt attempt_on(const std::string& address)
{
    upstream_attempt out;
    out.address = address;
    out.connections = 2;
    out.id = "dc1-1-1-ab";
    out.attempt = 3;
    out.account = "addis";
    out.service = "appraisal";
    out.content_type = "text/plain";
    out.body = "scan";
    out.timeout = milliseconds(10000);
    return out;
}

class upstream_client_test : public testing::Test
{
protected:
    upstream_answer call_once(run_server::handler run)
    {
        const run_server server(std::move(run));
        return client.call(attempt_on(server.address()));
    }

    static void echo(const httplib::Request& request,
                     httplib::Response& response)
    {
        for (const char* name :
             {"Limpetstack-Request-Id", "Limpetstack-Attempt"})
        {
            response.set_header(name, request.get_header_value(name));
        }
    }

    metrics counters;
    upstream_client client{answer_limit, counters};
};

// Guards against answers that are changed on their way, and requests without
// the headers that upstreams rely on.
TEST_F(upstream_client_test, passes_request_and_answer)
{
    const auto answer = call_once(
        [](const httplib::Request& request, httplib::Response& response)
        {
            echo(request, response);
            response.status = 404;
            response.set_header("Limpetstack-Digest",
                                "sha-256=" + sha256_hex("no scan"));
            response.set_content(
                request.body == "scan" &&
                        request.get_header_value("Content-Type") == "text/plain"
                    ? "no scan"
                    : "wrong request",
                "text/x-answer");
        });
    EXPECT_EQ(answer.result, attempt_result::whole_answer) << answer.reason;
    EXPECT_EQ(answer.status, 404U);
    EXPECT_EQ(answer.body, "no scan");
    EXPECT_EQ(answer.content_type, "text/x-answer");
}

// Guards against answers to other requests or attempts, damaged ones and ones
// that are too large.
TEST_F(upstream_client_test, answers_that_do_not_match_are_broken)
{
    using fault = std::function<void(httplib::Response&)>;
    const std::vector<fault> faults = {
        [](httplib::Response& r)
        {
            r.headers.erase("Limpetstack-Attempt");
        },
        [](httplib::Response& r)
        {
            r.headers.erase("Limpetstack-Request-Id");
            r.set_header("Limpetstack-Request-Id", "dc1-1-1-ac");
        },
        [](httplib::Response& r)
        {
            r.headers.erase("Limpetstack-Attempt");
            r.set_header("Limpetstack-Attempt", "2");
        },
        [](httplib::Response& r)
        {
            r.set_header("Limpetstack-Digest", "sha-256=" + sha256_hex("x"));
        },
        [](httplib::Response& r)
        {
            r.set_content(std::string(answer_limit + 1, 'x'), "text/plain");
        },
        [](httplib::Response& r)
        {
            r.status = 503;
            r.set_header("Limpetstack-Refused", "1");
            r.headers.erase("Limpetstack-Attempt");
        },
    };
    for (std::size_t i = 0; i < faults.size(); ++i)
    {
        const auto answer = call_once(
            [&](const httplib::Request& request, httplib::Response& response)
            {
                echo(request, response);
                response.set_content("fine", "text/plain");
                faults[i](response);
            });
        EXPECT_EQ(answer.result, attempt_result::broken) << "fault " << i;
        EXPECT_TRUE(answer.body.empty());
    }
}

// Guards against a second attempt elsewhere when the first may have run, and
// against "unknown" when it certainly did not.
TEST_F(upstream_client_test, refusal_and_failed_connect_are_told_apart)
{
    const auto refused = call_once(
        [](const httplib::Request& request, httplib::Response& response)
        {
            echo(request, response);
            response.status = 503;
            response.set_header("Limpetstack-Refused", "1");
            response.set_content("busy", "text/plain");
        });
    EXPECT_EQ(refused.result, attempt_result::refused_before_run);
    std::string closed;
    {
        const run_server server([](const auto&, auto&) {});
        closed = server.address();
    }
    EXPECT_EQ(client.call(attempt_on(closed)).result,
              attempt_result::connect_failed);
    EXPECT_EQ(client.call(attempt_on("nowhere")).result,
              attempt_result::connect_failed);
}

std::string raw_answer(const std::string& length, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nLimpetstack-Request-Id: dc1-1-1-ab\r\n"
           "Limpetstack-Attempt: 3\r\n" +
           length + "\r\n" + body;
}

// Guards against cut-off answers that are passed on as whole ones. Each case
// has the right id and attempt.
TEST(invariant, whole_answer_is_not_cut_off)
{
    metrics counters;
    upstream_client client(answer_limit, counters);
    const std::vector<std::string> cut_off = {
        raw_answer("Content-Length: 10\r\n", "12345"),
        raw_answer("Content-Length: 1\r\nContent-Length: 5\r\n", "12345"),
        raw_answer("Content-Length: 5x\r\n", "12345"),
        raw_answer("", "12345"),
        raw_answer("Transfer-Encoding: chunked\r\n", "5\r\n12345\r\n"),
        raw_answer("Content-Length: 5\r\n", "").substr(0, 30),
        "",
    };
    for (const auto& bytes : cut_off)
    {
        const raw_server server(bytes, true);
        const auto answer = client.call(attempt_on(server.address()));
        EXPECT_EQ(answer.result, attempt_result::broken) << bytes;
    }
    const raw_server server(raw_answer("Content-Length: 5\r\n", "12345"), true);
    const auto answer = client.call(attempt_on(server.address()));
    EXPECT_EQ(answer.result, attempt_result::whole_answer) << answer.reason;
}

// Guards against an attempt that outlives its timeout on a frozen upstream.
TEST_F(upstream_client_test, frozen_upstream_times_out)
{
    for (const auto& bytes :
         {std::string(), raw_answer("Content-Length: 10\r\n", "12345")})
    {
        const raw_server server(bytes, false);
        auto attempt = attempt_on(server.address());
        attempt.timeout = milliseconds(200);
        const auto begun = steady_now();
        EXPECT_EQ(client.call(attempt).result, attempt_result::broken);
        EXPECT_GE(steady_now() - begun, milliseconds(199));
    }
}

// Guards against a new connection for each request, and against more
// connections than the upstream has announced.
TEST_F(upstream_client_test, connections_are_kept_and_bounded)
{
    std::mutex mutex;
    std::set<int> ports;
    std::atomic<int> at_once{0};
    std::atomic<bool> exceeded{false};
    const run_server server(
        [&](const httplib::Request& request, httplib::Response& response)
        {
            if (++at_once > 2)
            {
                exceeded = true;
            }
            {
                const std::lock_guard lock(mutex);
                ports.insert(request.remote_port);
            }
            std::this_thread::sleep_for(milliseconds(1));
            echo(request, response);
            response.set_content("fine", "text/plain");
            --at_once;
        });
    std::vector<std::thread> threads;
    threads.reserve(6);
    for (int i = 0; i < 6; ++i)
    {
        threads.emplace_back(
            [&]
            {
                for (int j = 0; j < 5; ++j)
                {
                    EXPECT_EQ(client.call(attempt_on(server.address())).result,
                              attempt_result::whole_answer);
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_FALSE(exceeded);
    EXPECT_LT(ports.size(), 15U);
}

} // namespace
} // namespace limpetstack
