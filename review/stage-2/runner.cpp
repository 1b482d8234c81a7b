// A runner of the platform as a process of its own: it reports itself, starts,
// stops and lists subtasks under leases, and records what it does. Arguments
// have the form NAME=VALUE.
#include "stage.hpp"

#include <httplib.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <sstream>
#include <thread>

namespace
{

using nlohmann::json;
using review::milliseconds;
using review::unix_ms;
using steady = std::chrono::steady_clock;

constexpr std::int64_t first_clock_ms = 1000;
constexpr std::int64_t max_lease_ms = 6000;
constexpr std::int64_t stop_ms = 200;
constexpr milliseconds report_interval{1500};
constexpr milliseconds report_timeout{1000};
constexpr std::size_t thread_count = 48;

using options = std::map<std::string, std::string>;

options read_options(const std::vector<std::string>& arguments)
{
    options values{{"id", ""},
                   {"ip", ""},
                   {"port", "0"},
                   {"record", ""},
                   {"control", ""},
                   {"service", "desk"},
                   {"kind", "a"},
                   {"rack", "r1"},
                   {"work_ms", "2000"},
                   {"ticket_job", "-"},
                   {"lasting_job", "-"},
                   {"crash_job", "-"},
                   {"crash_ms", "100"},
                   // When the process ends by itself after its start; 0: never.
                   {"life_ms", "0"},
                   // How far the time of day is ahead at the start.
                   {"ahead_ms", "0"}};
    for (const auto& argument : arguments)
    {
        const auto equals = argument.find('=');
        values[argument.substr(0, equals)] = argument.substr(equals + 1);
    }
    return values;
}

struct active_run
{
    std::string task;
    std::uint64_t number = 0;
    std::int64_t started_ms = 0;
    std::int64_t stops_ms = 0; // When it ends after an order to stop, or 0.
};

class runner
{
public:
    explicit runner(options values)
        : options_(std::move(values))
        , record_(options_.at("record"), options_.at("id"))
        , work_ms_(std::atoll(options_.at("work_ms").c_str()))
        , born_ms_(unix_ms() + std::atoll(options_.at("ahead_ms").c_str()))
        , started_(steady::now())
    {
    }

    void serve()
    {
        httplib::Server server;
        server.new_task_queue = []
        {
            return new httplib::ThreadPool(thread_count);
        };
        server.set_keep_alive_max_count(1000000);
        server.set_keep_alive_timeout(60);
        server.set_tcp_nodelay(true);
        const auto handler =
            [this](const httplib::Request& request, httplib::Response& response)
        {
            handle(request, response);
        };
        server.Post("/-/run-start", handler);
        server.Post("/-/run-stop", handler);
        server.Post("/-/hold", handler);
        std::thread(
            [this]
            {
                report_forever();
            })
            .detach();
        std::thread(
            [this]
            {
                advance_forever();
            })
            .detach();
        server.listen(options_.at("ip").c_str(),
                      std::atoi(options_.at("port").c_str()));
    }

private:
    std::int64_t clock_ms() const
    {
        return first_clock_ms + std::chrono::duration_cast<milliseconds>(
                                    steady::now() - started_)
                                    .count();
    }

    std::string report_body()
    {
        return json{
            {"service", options_.at("service")},
            {"addr", options_.at("ip") + ":" + options_.at("port")},
            {"zone", "z0"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity", {{"cpu", 32000}, {"mem_mb", 131072}, {"gpu", 8}}},
            {"labels", {options_.at("kind"), options_.at("rack")}},
            {"machine", "m-" + options_.at("id")},
            {"born", born_ms_},
            {"clock_ms", clock_ms()},
            {"seq", ++sequence_}}
            .dump();
    }

    void report_forever()
    {
        std::vector<std::string> addresses;
        std::stringstream list(options_.at("control"));
        for (std::string item; std::getline(list, item, ',');)
        {
            addresses.push_back(item);
        }
        for (std::size_t next = 0;;)
        {
            const auto got =
                review::call(addresses[next % addresses.size()], "PUT",
                             "/-/instances/" + options_.at("id"), report_body(),
                             {}, report_timeout);
            if (got.status / 100 == 2)
            {
                if (!std::exchange(reported_, true))
                {
                    record_.write("report acknowledged, born " +
                                  std::to_string(born_ms_));
                }
                review::sleep_for(report_interval);
            }
            else
            {
                ++next;
                review::sleep_for(milliseconds(100));
            }
        }
    }

    void advance_forever()
    {
        for (;;)
        {
            review::sleep_for(milliseconds(5));
            const std::lock_guard lock(mutex_);
            advance();
        }
    }

    void advance()
    {
        const auto now = clock_ms();
        const auto life = std::atoll(options_.at("life_ms").c_str());
        if (life > 0 && now - first_clock_ms >= life)
        {
            record_.write("crashes");
            ::_exit(1);
        }
        for (std::size_t i = runs_.size(); i-- > 0;)
        {
            const auto& item = runs_[i];
            if (now > lease_end_ms_)
            {
                finish(i, "lapsed");
            }
            else if (item.stops_ms > 0 && now >= item.stops_ms)
            {
                finish(i, "stopped");
            }
            else if (item.stops_ms == 0 && !is_lasting(item.task) &&
                     now - item.started_ms >= work_ms_)
            {
                finish(i, "done");
            }
        }
    }

    bool is_lasting(const std::string& task) const
    {
        return task.substr(0, task.find('.')) == options_.at("lasting_job");
    }

    void finish(std::size_t index, const std::string& how)
    {
        const auto item = runs_[index];
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
        auto& highest = highest_ended_[item.task];
        highest = std::max(highest, item.number);
        ended_.push_back({next_end_++, item.task, item.number, how, ""});
        record_.write("end " + item.task + " run " +
                      std::to_string(item.number) + " " + how);
        changed_.notify_all();
    }

    void handle(const httplib::Request& request, httplib::Response& response)
    {
        const auto order = json::parse(request.body, nullptr, false);
        if (!order.is_object())
        {
            response.status = 400;
            return;
        }
        std::unique_lock lock(mutex_);
        json body{{"clock_ms", clock_ms()}};
        const auto instance =
            request.get_header_value("X-Limpetstack-Expect-Instance");
        const auto fence = order.value("fence", std::uint64_t{0});
        if (!instance.empty() && instance != options_.at("id"))
        {
            response.status = 421;
        }
        else if (fence < fence_)
        {
            response.status = 409;
            body["reason"] = "fence";
        }
        else
        {
            fence_ = fence;
            response.status = 200;
            if (request.path == "/-/run-start")
            {
                start(order, response, body);
            }
            else if (request.path == "/-/run-stop")
            {
                stop(order);
            }
            else
            {
                hold(order, lock);
                body = lists();
            }
        }
        response.set_content(body.dump(), "application/json");
    }

    void extend_lease(const json& order)
    {
        if (order.contains("until_ms"))
        {
            lease_end_ms_ = std::max(
                lease_end_ms_, std::min(order["until_ms"].get<std::int64_t>(),
                                        clock_ms() + max_lease_ms));
        }
    }

    void start(const json& order, httplib::Response& response, json& body)
    {
        const auto task = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint64_t>();
        const auto ticket = order.value("ticket", "");
        const auto reason = refusal(order, task, number, ticket);
        record_.write("start " + task + " run " + std::to_string(number) +
                      (ticket.empty() ? " without ticket" : " with ticket") +
                      ": " + (reason.empty() ? "accepted" : reason));
        if (!reason.empty())
        {
            response.status = 409;
            body["reason"] = reason;
            return;
        }
        extend_lease(order);
        const auto present =
            std::any_of(runs_.begin(), runs_.end(),
                        [&](const active_run& item)
                        {
                            return item.task == task && item.number == number;
                        });
        if (!present)
        {
            runs_.push_back({task, number, clock_ms(), 0});
            crash_if_due(task);
        }
    }

    std::string refusal(const json& order, const std::string& task,
                        std::uint64_t number, const std::string& ticket)
    {
        if (order.at("until_ms").get<std::int64_t>() <= clock_ms())
        {
            return "late";
        }
        const auto highest = highest_ended_.find(task);
        if (highest != highest_ended_.end() && number <= highest->second)
        {
            return "old";
        }
        const auto step = task.substr(0, task.rfind('.'));
        if (task.substr(0, task.find('.')) == options_.at("ticket_job") &&
            ticket != review::ticket_of(step, options_.at("id")))
        {
            return "ticket";
        }
        return "";
    }

    // Ends the process a short time after the start of a subtask that does so.
    void crash_if_due(const std::string& task)
    {
        if (task.substr(0, task.find('.')) != options_.at("crash_job"))
        {
            return;
        }
        std::thread(
            [this]
            {
                review::sleep_for(
                    milliseconds(std::atoll(options_.at("crash_ms").c_str())));
                record_.write("crashes");
                ::_exit(1);
            })
            .detach();
    }

    void stop(const json& order)
    {
        const auto task = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint64_t>();
        record_.write("stop " + task + " run " + std::to_string(number));
        auto& highest = highest_ended_[task];
        highest = std::max(highest, number);
        for (auto& item : runs_)
        {
            if (item.task == task && item.number == number &&
                item.stops_ms == 0)
            {
                item.stops_ms = clock_ms() + stop_ms;
            }
        }
    }

    void hold(const json& order, std::unique_lock<std::mutex>& lock)
    {
        extend_lease(order);
        const auto seen = order.value("last_seen", std::uint64_t{0});
        ended_.erase(std::remove_if(ended_.begin(), ended_.end(),
                                    [seen](const json& item)
                                    {
                                        return item[0].get<std::uint64_t>() <=
                                               seen;
                                    }),
                     ended_.end());
        const auto wait = order.value("wait_ms", std::int64_t{0});
        changed_.wait_for(lock, milliseconds(wait),
                          [this]
                          {
                              return !ended_.empty();
                          });
    }

    json lists() const
    {
        auto running = json::array();
        for (const auto& item : runs_)
        {
            const bool lasting = is_lasting(item.task);
            const auto percent =
                lasting
                    ? 100
                    : std::min<std::int64_t>(
                          99, 100 * (clock_ms() - item.started_ms) / work_ms_);
            // The tail in milliseconds, or the processor time in use.
            const int figure = lasting ? 50 : 1000;
            running.push_back({item.task, item.number, "", percent, figure});
        }
        return {{"clock_ms", clock_ms()},
                {"born", born_ms_},
                {"running", running},
                {"ended", ended_}};
    }

    const options options_;
    const review::recorder record_;
    const std::int64_t work_ms_;
    const std::int64_t born_ms_;
    const steady::time_point started_;
    std::atomic<std::uint64_t> sequence_{0};
    bool reported_ = false; // Used by the thread of the reports only.
    std::mutex mutex_;      // Guards what follows.
    std::condition_variable changed_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_end_ms_ = 0;
    std::vector<active_run> runs_;
    std::map<std::string, std::uint64_t> highest_ended_;
    std::vector<json> ended_;
    std::uint64_t next_end_ = 1;
};

} // namespace

int main(int argc, char** argv)
{
    runner(read_options({argv + 1, argv + argc})).serve();
    return 0;
}
