// A stand-in for a sound runner of the platform, as PROTOCOL.md describes it:
// it reports itself, starts and stops runs, holds its lease and lists ends.
//   worker RECORD ID ADDRESS CONTROL[,CONTROL] SETTINGS
// SETTINGS is a JSON object: capacity, labels, heartbeat_ms, stop_ms,
// max_hold_ms, run_ms (a run's duration, unless its spec is a number of
// milliseconds), and `hangs`: task and for_ms. Starts of this task
// are neither answered nor carried out for so long after the first of them.
// SIGUSR1 makes the worker report that it is draining.
#include "record.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <limits>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

std::atomic<bool> draining{false};

constexpr milliseconds hang_time{5000};

void begin_draining(int)
{
    draining = true;
}

struct run
{
    std::string task;
    std::uint64_t number = 0;
    std::int64_t ends_ms = 0;
    bool stopping = false;
};

class worker
{
public:
    worker(record& record, std::string id, std::string address,
           std::vector<std::string> controls, json settings);

    void serve();

private:
    void report_for_ever();
    bool report();
    void advance_for_ever();
    void advance();
    void finish(std::size_t index, const char* how);
    void extend_lease(const json& order);
    json answer(const json& order, const std::string& path, int& status);
    json start(const json& order, int& status);
    void stop(const json& order);
    bool hangs(const json& order);
    bool is_valid_ticket(const std::string& ticket) const;
    json hold(std::unique_lock<std::mutex>& lock, const json& order);
    std::int64_t clock_ms() const { return steady_ms() - started_ms_ + 1000; }
    std::int64_t setting(const char* name, std::int64_t value) const
    {
        return settings_.value(name, value);
    }

    record& record_;
    const std::string id_;
    const std::string address_;
    const std::vector<std::string> controls_;
    const json settings_;
    const std::int64_t started_ms_ = steady_ms();
    const std::int64_t born_ms_;
    std::string report_to_;
    std::size_t next_control_ = 0;
    std::uint64_t sequence_ = 0;

    std::mutex mutex_;
    std::condition_variable ends_changed_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_end_ms_ = 0;
    std::vector<run> runs_;
    std::map<std::string, std::uint64_t> highest_ended_;
    std::vector<json> ended_;
    std::uint64_t last_end_ = 0;
    std::uint64_t noted_ = 0;
    std::int64_t hangs_since_ms_ = 0;
};

worker::worker(record& record, std::string id, std::string address,
               std::vector<std::string> controls, json settings)
    : record_(record)
    , id_(std::move(id))
    , address_(std::move(address))
    , controls_(std::move(controls))
    , settings_(std::move(settings))
    , born_ms_(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count() +
               settings_.value("born_offset_ms", std::int64_t{0}))
{
}

void worker::serve()
{
    httplib::Server server;
    server.new_task_queue = []
    {
        return new httplib::ThreadPool(32);
    };
    server.set_keep_alive_max_count(std::numeric_limits<int>::max());
    server.set_keep_alive_timeout(3600);
    server.set_tcp_nodelay(true);
    server.Post(
        R"(/-/(run-start|run-stop|hold))",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            int status = 200;
            const auto expected =
                request.get_header_value("X-Limpetstack-Expect-Instance");
            const auto order = json::parse(request.body, nullptr, false);
            json text;
            if (request.path == "/-/run-start" && hangs(order))
            {
                std::this_thread::sleep_for(hang_time);
                response.status = 503; // The caller has given up.
                return;
            }
            if (!expected.empty() && expected != id_)
            {
                status = 421;
                text = json::object();
            }
            else if (!order.is_object())
            {
                status = 400;
                text = json::object();
            }
            else
            {
                text = answer(order, request.path, status);
            }
            response.status = status;
            response.set_content(text.dump(), "application/json");
        });
    std::thread(
        [this]
        {
            report_for_ever();
        })
        .detach();
    std::thread(
        [this]
        {
            advance_for_ever();
        })
        .detach();
    const auto colon = address_.find(':');
    record_.write("up", {{"born", born_ms_}, {"addr", address_}});
    if (!server.listen(address_.substr(0, colon).c_str(),
                       std::stoi(address_.substr(colon + 1))))
    {
        record_.write("cannot listen");
    }
}

json worker::answer(const json& order, const std::string& path, int& status)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const auto fence = order.value("fence", std::uint64_t{0});
    json text;
    if (fence < fence_)
    {
        status = 409;
        text = {{"reason", "fence"}};
    }
    else if (path == "/-/hold")
    {
        fence_ = fence;
        text = hold(lock, order);
    }
    else if (path == "/-/run-start")
    {
        fence_ = fence;
        text = start(order, status);
    }
    else
    {
        fence_ = fence;
        stop(order);
        text = json::object();
    }
    text["clock_ms"] = clock_ms();
    text["born"] = born_ms_;
    if (path != "/-/hold")
    {
        record_.write(path.substr(3), {{"task", order.value("task", "")},
                                       {"run", order.value("run", 0)},
                                       {"fence", fence},
                                       {"status", status},
                                       {"reason", text.value("reason", "")}});
    }
    return text;
}

// A ticket is the time at which it expires, a hyphen and the worker's id.
bool worker::is_valid_ticket(const std::string& ticket) const
{
    const auto hyphen = ticket.find('-');
    return hyphen != std::string::npos && ticket.substr(hyphen + 1) == id_ &&
           steady_ms() < std::stoll(ticket.substr(0, hyphen));
}

bool worker::hangs(const json& order)
{
    if (!settings_.contains("hangs") || !order.is_object() ||
        order.value("task", "") != settings_["hangs"]["task"])
    {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (hangs_since_ms_ == 0)
    {
        hangs_since_ms_ = steady_ms();
    }
    const bool hang = steady_ms() - hangs_since_ms_ <
                      settings_["hangs"]["for_ms"].get<std::int64_t>();
    record_.write(hang ? "start hangs" : "start passes",
                  {{"task", order["task"]}, {"run", order.value("run", 0)}});
    return hang;
}

void worker::extend_lease(const json& order)
{
    if (order.contains("until_ms"))
    {
        lease_end_ms_ = std::max(
            lease_end_ms_, std::min(order["until_ms"].get<std::int64_t>(),
                                    clock_ms() + setting("max_hold_ms", 6000)));
    }
}

json worker::start(const json& order, int& status)
{
    const auto task = order.at("task").get<std::string>();
    const auto number = order.at("run").get<std::uint64_t>();
    if (order.at("until_ms").get<std::int64_t>() <= clock_ms())
    {
        status = 409;
        return {{"reason", "late"}};
    }
    extend_lease(order);
    for (const auto& item : runs_)
    {
        if (item.task == task && item.number == number)
        {
            return json::object();
        }
    }
    if (number <= highest_ended_[task])
    {
        status = 409;
        return {{"reason", "old"}};
    }
    if (settings_.value("tickets", false) &&
        !is_valid_ticket(order.value("ticket", "")))
    {
        status = 409;
        return {{"reason", "ticket"}};
    }
    const auto spec = order.value("spec", "");
    const bool timed =
        !spec.empty() && spec.find_first_not_of("0123456789") == spec.npos;
    runs_.push_back(
        {task, number,
         steady_ms() + (timed ? std::stoll(spec) : setting("run_ms", 1000))});
    record_.write("begins", {{"task", task},
                             {"run", number},
                             {"spec", spec},
                             {"ticket", order.value("ticket", "")}});
    return json::object();
}

void worker::stop(const json& order)
{
    const auto task = order.at("task").get<std::string>();
    const auto number = order.at("run").get<std::uint64_t>();
    auto& highest = highest_ended_[task];
    highest = std::max(highest, number);
    for (auto& item : runs_)
    {
        if (item.task == task && item.number == number && !item.stopping)
        {
            item.stopping = true;
            item.ends_ms = steady_ms() + setting("stop_ms", 400) / 2;
        }
    }
}

json worker::hold(std::unique_lock<std::mutex>& lock, const json& order)
{
    extend_lease(order);
    const auto seen = order.value("last_seen", std::uint64_t{0});
    if (seen > noted_)
    {
        noted_ = seen;
        record_.write("noted", {{"last_seen", seen}});
    }
    const auto is_seen = [seen](const json& row)
    {
        return row[0].get<std::uint64_t>() <= seen;
    };
    ended_.erase(std::remove_if(ended_.begin(), ended_.end(), is_seen),
                 ended_.end());
    const milliseconds wait{
        std::min<std::int64_t>(order.value("wait_ms", 0), 2000)};
    ends_changed_.wait_for(lock, wait,
                           [this]
                           {
                               return !ended_.empty();
                           });
    json running = json::array();
    for (const auto& item : runs_)
    {
        running.push_back({item.task, item.number, "", 50, 1000});
    }
    const auto count = std::min<std::size_t>(ended_.size(), 500);
    return {{"running", running},
            {"ended",
             std::vector<json>(ended_.begin(),
                               ended_.begin() + static_cast<long>(count))}};
}

void worker::finish(std::size_t index, const char* how)
{
    const auto item = runs_[index];
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
    auto& highest = highest_ended_[item.task];
    highest = std::max(highest, item.number);
    ended_.push_back({++last_end_, item.task, item.number, how, ""});
    record_.write("ends", {{"n", last_end_},
                           {"task", item.task},
                           {"run", item.number},
                           {"how", how}});
    ends_changed_.notify_all();
}

void worker::advance()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool lapsed = clock_ms() > lease_end_ms_;
    for (std::size_t i = runs_.size(); i-- > 0;)
    {
        if (lapsed)
        {
            finish(i, "lapsed");
        }
        else if (steady_ms() >= runs_[i].ends_ms)
        {
            finish(i, runs_[i].stopping ? "stopped" : "done");
        }
    }
}

void worker::advance_for_ever()
{
    for (;;)
    {
        advance();
        std::this_thread::sleep_for(milliseconds(5));
    }
}

bool worker::report()
{
    const auto& target = report_to_.empty()
                             ? controls_[next_control_++ % controls_.size()]
                             : report_to_;
    httplib::Client client("http://" + target);
    client.set_connection_timeout(milliseconds(1000));
    client.set_read_timeout(milliseconds(1000));
    const bool leaves = draining;
    json text{{"service", "desk"},
              {"addr", address_},
              {"zone", settings_.value("zone", "z")},
              {"version", "v1"},
              {"slots", 8},
              {"state", leaves ? "draining" : "ready"},
              {"cold_left_ms", 0},
              {"capacity", settings_.at("capacity")},
              {"labels", settings_.at("labels")},
              {"clock_ms", clock_ms()},
              {"born", born_ms_},
              {"seq", ++sequence_}};
    if (leaves)
    {
        text["remaining_ms"] = 10000;
    }
    const auto result = client.Put(("/-/instances/" + id_).c_str(), text.dump(),
                                   "application/json");
    const bool acknowledged =
        result && result->status >= 200 && result->status < 300;
    if (leaves || sequence_ == 1)
    {
        record_.write("report", {{"state", leaves ? "draining" : "ready"},
                                 {"to", target},
                                 {"status", result ? result->status : 0}});
    }
    if (!acknowledged)
    {
        report_to_.clear();
        return false;
    }
    const auto body = json::parse(result->body, nullptr, false);
    if (body.is_object() && body.contains("beat_addr") &&
        body["beat_addr"].is_string())
    {
        report_to_ = body["beat_addr"].get<std::string>();
    }
    return true;
}

void worker::report_for_ever()
{
    for (;;)
    {
        const bool was_draining = draining;
        const bool acknowledged = report();
        const auto next =
            steady_ms() + (acknowledged ? setting("heartbeat_ms", 1500) : 100);
        while (steady_ms() < next && draining == was_draining)
        {
            std::this_thread::sleep_for(milliseconds(2));
        }
    }
}

} // namespace
} // namespace review

int main(int count, char** arguments)
{
    if (count != 6)
    {
        return 2;
    }
    std::signal(SIGUSR1, review::begin_draining);
    std::vector<std::string> controls;
    std::stringstream list(arguments[4]);
    for (std::string item; std::getline(list, item, ',');)
    {
        controls.push_back(item);
    }
    review::record record(arguments[1], arguments[2]);
    review::worker(record, arguments[2], arguments[3], controls,
                   nlohmann::json::parse(arguments[5]))
        .serve();
    return 2;
}
