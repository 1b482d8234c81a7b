// Stand-in for an upstream: runs requests in a limited number of slots,
// announces itself, and fails on demand. Its history is at GET /history.

#include "experiment/announcer.hpp"

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>

namespace
{

using nlohmann::json;

struct options
{
    std::string id;
    std::string service = "appraisal";
    std::string data_centre = "dc1";
    std::string address;
    std::vector<std::string> daemons;
    int slots = 8;
    int connections = 64;
};

/// How requests are answered: normal, fail, refuse, truncate, wrong_id or
/// close; `delay` applies to all of them.
struct behaviour
{
    std::string mode = "normal";
    std::chrono::milliseconds delay{0};
};

class upstream
{
public:
    explicit upstream(const options& given)
        : options_(given)
    {
    }

    json announcement();
    void run(const httplib::Request& request, httplib::Response& response);
    void control(const httplib::Request& request, httplib::Response& response);
    json history();
    bool idle() const { return running_ == 0; }

private:
    void answer(const httplib::Request& request, httplib::Response& response,
                const std::string& mode) const;

    const options options_;
    const std::int64_t incarnation_ =
        std::chrono::system_clock::now().time_since_epoch().count() / 1000;
    std::mutex mutex_;
    behaviour behaviour_;
    bool leaving_ = false;
    std::atomic<int> running_{0};
    int most_running_ = 0;
    json runs_ = json::array();
};

json upstream::announcement()
{
    const std::lock_guard lock(mutex_);
    return {{"id", options_.id},
            {"incarnation", incarnation_},
            {"service", options_.service},
            {"data_centre", options_.data_centre},
            {"address", options_.address},
            {"slots", options_.slots},
            {"connections", options_.connections},
            {"state", leaving_ ? "leaving" : "ready"}};
}

void upstream::run(const httplib::Request& request, httplib::Response& response)
{
    behaviour current;
    {
        const std::lock_guard lock(mutex_);
        current = behaviour_;
        const int now_running = ++running_;
        most_running_ = std::max(most_running_, now_running);
        const bool refused =
            now_running > options_.slots || current.mode == "refuse";
        runs_.push_back(
            {{"id", request.get_header_value("Limpetstack-Request-Id")},
             {"attempt", request.get_header_value("Limpetstack-Attempt")},
             {"refused", refused},
             {"leaving", leaving_}});
        if (refused)
        {
            --running_;
            response.status = 503;
            response.set_header("Limpetstack-Refused", "1");
            return;
        }
    }
    std::this_thread::sleep_for(current.delay);
    answer(request, response, current.mode);
    --running_;
}

void upstream::answer(const httplib::Request& request,
                      httplib::Response& response,
                      const std::string& mode) const
{
    const auto id = request.get_header_value("Limpetstack-Request-Id");
    response.set_header("Limpetstack-Request-Id",
                        mode == "wrong_id" ? "other-" + id : id);
    response.set_header("Limpetstack-Attempt",
                        request.get_header_value("Limpetstack-Attempt"));
    if (mode == "fail")
    {
        response.status = 500;
        return;
    }
    // With wrong_id, the whole answer is that of another request.
    const bool foreign = mode == "wrong_id";
    const std::string body = json{{"id", foreign ? "other-" + id : id},
                                  {"upstream", options_.id},
                                  {"echo", foreign ? "other" : request.body}}
                                 .dump();
    if (mode != "truncate" && mode != "close")
    {
        response.set_content(body, "application/json");
        return;
    }
    const std::size_t sent = mode == "close" ? 0 : body.size() / 2;
    response.set_content_provider(
        body.size(), "application/json",
        [body, sent](std::size_t offset, std::size_t, httplib::DataSink& sink)
        {
            if (offset < sent)
            {
                sink.write(body.data() + offset, sent - offset);
                return true;
            }
            return false;
        });
}

void upstream::control(const httplib::Request& request,
                       httplib::Response& response)
{
    const auto change = json::parse(request.body, nullptr, false);
    if (!change.is_object())
    {
        response.status = 400;
        return;
    }
    const std::lock_guard lock(mutex_);
    behaviour_.mode = change.value("mode", behaviour_.mode);
    behaviour_.delay = std::chrono::milliseconds(
        change.value("delay_ms", behaviour_.delay.count()));
    leaving_ = change.value("leaving", leaving_);
}

json upstream::history()
{
    const std::lock_guard lock(mutex_);
    return {{"runs", runs_},
            {"running", running_.load()},
            {"most_running", most_running_}};
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app("Stand-in for an upstream, for tests and the demo");
    app.add_option("--id", given.id)->required();
    app.add_option("--service", given.service);
    app.add_option("--data-centre", given.data_centre);
    app.add_option("--listen", given.address, "IP:port")->required();
    app.add_option("--daemon", given.daemons, "callers' listener, IP:port")
        ->required();
    app.add_option("--slots", given.slots);
    app.add_option("--connections", given.connections);
    CLI11_PARSE(app, argc, argv);

    upstream self(given);
    httplib::Server server;
    server.set_tcp_nodelay(true);
    server.new_task_queue = [&]
    {
        return new httplib::ThreadPool(
            static_cast<std::size_t>(given.connections) + 8);
    };
    server.Post(
        "/run",
        [&](const httplib::Request& request, httplib::Response& response)
        {
            self.run(request, response);
        });
    std::unique_ptr<limpetstack::test::announcer> announcements;
    server.Post(
        "/control",
        [&](const httplib::Request& request, httplib::Response& response)
        {
            self.control(request, response);
            announcements->announce_now();
        });
    server.Get("/history",
               [&](const httplib::Request&, httplib::Response& response)
               {
                   response.set_content(self.history().dump(),
                                        "application/json");
               });
    const auto colon = given.address.rfind(':');
    const auto ip = given.address.substr(0, colon);
    if (!server.bind_to_port(ip.c_str(),
                             std::stoi(given.address.substr(colon + 1))))
    {
        return 1;
    }
    announcements = std::make_unique<limpetstack::test::announcer>(
        given.daemons, "/v1/upstreams",
        [&]
        {
            return self.announcement();
        });
    return server.listen_after_bind() ? 0 : 1;
}
