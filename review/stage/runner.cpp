// A runner for the cases in review/: one process, one life. It follows the
// users' pages: leases on its own steady clock, epochs, lists of runs and ends,
// liveness reports. It starts whatever it is told to start
// (`rejects_overload` false).
//
// The text of a job says how long its subtasks work: `work_ms=N`; with N = 0
// they last until they are stopped.
#include "base/clock.hpp"
#include "transport/http_channel.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace limpetstack;
using nlohmann::json;

constexpr std::int64_t max_lease_ms = 6000;
constexpr milliseconds stop_duration{200};
constexpr milliseconds report_interval{1500};
constexpr milliseconds report_timeout{1000};
constexpr milliseconds step_time{5};
constexpr std::size_t ends_per_page = 500;

struct run
{
    std::string subtask;
    std::uint64_t number = 0;
    std::int64_t work_ms = 0;
    time_point began;
    time_point stops_at; // When it ends after an order to stop.
    bool stopping = false;
};

// A hold whose answer waits for an end.
struct pending_hold
{
    http_responder respond;
    time_point deadline;
};

struct options
{
    std::string id;
    std::string address;
    std::string rack;
    std::string zone;
    std::int64_t accelerators = 0;
    std::vector<std::string> controls;
    std::string record;
};

class runner
{
public:
    explicit runner(options settings)
        : options_(std::move(settings))
        , record_(options_.record, std::ios::app)
        , server_(
              io_, "",
              [this](const http_server_request& request, http_responder respond)
              {
                  serve(request, std::move(respond));
              })
    {
    }

    int work()
    {
        if (!server_.listen(options_.address))
        {
            return EXIT_FAILURE;
        }
        note("up", "born " + std::to_string(born_ms_));
        for (;;)
        {
            io_.restart();
            io_.run_for(step_time);
            advance();
        }
    }

private:
    void note(const std::string& event, const std::string& text)
    {
        const auto line = std::to_string(wall_clock_ms()) + " " + options_.id +
                          " " + event + " " + text + "\n";
        record_ << line << std::flush;
    }

    std::int64_t clock_ms() const
    {
        return 1000 + (steady_now() - started_).count();
    }

    void report()
    {
        last_report_ = steady_now();
        const json body{{"service", "desk"},
                        {"addr", options_.address},
                        {"zone", options_.zone},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"machine", "m-" + options_.id},
                        {"capacity",
                         {{"cpu", 32000},
                          {"mem_mb", 131072},
                          {"gpu", options_.accelerators}}},
                        {"labels", {"a", options_.rack}},
                        {"clock_ms", clock_ms()},
                        {"born", born_ms_},
                        {"seq", ++sequence_}};
        if (beat_address_.empty())
        {
            beat_address_ =
                options_.controls[next_control_++ % options_.controls.size()];
        }
        auto& channel = channels_[beat_address_];
        if (!channel)
        {
            channel = std::make_unique<http_channel>(io_, beat_address_);
        }
        channel->send("PUT", "/-/instances/" + options_.id, {}, body.dump(),
                      report_timeout,
                      [this](const http_channel_answer& answer)
                      {
                          on_report_answer(answer);
                      });
    }

    void on_report_answer(const http_channel_answer& answer)
    {
        constexpr unsigned first_redirect = 300;
        if (answer.status < 200 || answer.status >= first_redirect)
        {
            beat_address_.clear(); // The next report goes to another node.
            last_report_ = steady_now() - report_interval + milliseconds(200);
            return;
        }
        const auto root = json::parse(answer.body, nullptr, false);
        if (root.is_object())
        {
            beat_address_ = root.value("beat_addr", beat_address_);
        }
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

    // The expected instance is always this one: its address is not used again
    // under another id.
    void serve(const http_server_request& request, http_responder respond)
    {
        const auto order = json::parse(request.body, nullptr, false);
        if (!order.is_object())
        {
            respond({400, "{}", 0});
            return;
        }
        const auto fence = order.value("fence", std::uint64_t{0});
        if (fence < fence_)
        {
            respond({409, refusal("fence").dump(), 0});
            return;
        }
        fence_ = fence;
        if (request.target == "/-/hold")
        {
            hold(order, std::move(respond));
            return;
        }
        json answer{{"clock_ms", clock_ms()}, {"born", born_ms_}};
        unsigned status = 200;
        if (request.target == "/-/run-start")
        {
            answer = start(order, status);
        }
        else if (request.target == "/-/run-stop")
        {
            stop(order);
        }
        else
        {
            status = 404;
        }
        respond({status, answer.dump(), 0});
    }

    json refusal(const char* reason) const
    {
        return {
            {"clock_ms", clock_ms()}, {"born", born_ms_}, {"reason", reason}};
    }

    json start(const json& order, unsigned& status)
    {
        const auto subtask = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint64_t>();
        json answer{{"clock_ms", clock_ms()}, {"born", born_ms_}};
        if (order.at("until_ms").get<std::int64_t>() <= clock_ms())
        {
            status = 409;
            return refusal("late");
        }
        extend_lease(order);
        for (const auto& item : runs_)
        {
            if (item.subtask == subtask && item.number == number)
            {
                return answer;
            }
        }
        if (number <= highest_ended_[subtask])
        {
            status = 409;
            return refusal("old");
        }
        const auto text = order.value("spec", std::string());
        const auto at = text.find("work_ms=");
        runs_.push_back(
            {subtask,
             number,
             at == std::string::npos ? 0 : std::atoll(text.c_str() + at + 8),
             steady_now(),
             {},
             false});
        note("start", subtask + " " + std::to_string(number));
        return answer;
    }

    void stop(const json& order)
    {
        const auto subtask = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint64_t>();
        auto& highest = highest_ended_[subtask];
        highest = std::max(highest, number);
        for (auto& item : runs_)
        {
            if (item.subtask == subtask && item.number == number &&
                !item.stopping)
            {
                item.stopping = true;
                item.stops_at = steady_now() + stop_duration;
                note("stop", subtask + " " + std::to_string(number));
            }
        }
    }

    json lists() const
    {
        json running = json::array();
        for (const auto& item : runs_)
        {
            const auto ran = (steady_now() - item.began).count();
            const auto percent =
                item.work_ms == 0
                    ? (ran > 500 ? 100 : 0)
                    : std::min<std::int64_t>(100, ran * 100 / item.work_ms);
            if (!item.stopping)
            {
                running.push_back({item.subtask, item.number, "", percent, 0});
            }
        }
        json ended = json::array();
        for (std::size_t i = 0; i < std::min(ended_.size(), ends_per_page); ++i)
        {
            ended.push_back(ended_[i]);
        }
        return {{"clock_ms", clock_ms()},
                {"born", born_ms_},
                {"running", running},
                {"ended", ended}};
    }

    void hold(const json& order, http_responder respond)
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
        if (wait == 0 || !ended_.empty())
        {
            respond({200, lists().dump(), 0});
            return;
        }
        holds_.push_back(
            {std::move(respond), steady_now() + milliseconds(wait)});
    }

    void finish(std::size_t index, const char* how)
    {
        const auto item = runs_[index];
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
        auto& highest = highest_ended_[item.subtask];
        highest = std::max(highest, item.number);
        ended_.push_back({next_end_++, item.subtask, item.number, how, ""});
        note("end",
             item.subtask + " " + std::to_string(item.number) + " " + how);
    }

    void advance()
    {
        const auto now = steady_now();
        if (now - last_report_ >= report_interval)
        {
            report();
        }
        const bool lapsed = clock_ms() > lease_end_ms_;
        for (std::size_t i = runs_.size(); i-- > 0;)
        {
            const auto& item = runs_[i];
            if (lapsed)
            {
                finish(i, "lapsed");
            }
            else if (item.stopping && now >= item.stops_at)
            {
                finish(i, "stopped");
            }
            else if (!item.stopping && item.work_ms > 0 &&
                     now - item.began >= milliseconds(item.work_ms))
            {
                finish(i, "done");
            }
        }
        for (auto& item : std::exchange(holds_, {}))
        {
            if (!ended_.empty() || now >= item.deadline)
            {
                item.respond({200, lists().dump(), 0});
            }
            else
            {
                holds_.push_back(std::move(item));
            }
        }
    }

    const options options_;
    std::ofstream record_;
    boost::asio::io_context io_;
    http_server server_;
    std::map<std::string, std::unique_ptr<http_channel>> channels_;
    std::string beat_address_;
    std::size_t next_control_ = 0;
    const time_point started_ = steady_now();
    const std::int64_t born_ms_ = wall_clock_ms();
    time_point last_report_;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;       // The highest one of any order.
    std::int64_t lease_end_ms_ = 0; // On this runner's clock.
    std::vector<run> runs_;
    std::map<std::string, std::uint64_t> highest_ended_; // Run by subtask.
    std::vector<json> ended_; // Rows of ends that are not acknowledged.
    std::uint64_t next_end_ = 1;
    std::vector<pending_hold> holds_;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr int first_control = 7;
    if (argc <= first_control)
    {
        std::fprintf(stderr, "usage: runner ID ADDRESS RACK ZONE GPUS RECORD "
                             "CONTROL...\n");
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    options settings;
    settings.id = argv[1];
    settings.address = argv[2];
    settings.rack = argv[3];
    settings.zone = argv[4];
    settings.accelerators = std::atoll(argv[5]);
    settings.record = argv[6];
    settings.controls.assign(argv + first_control, argv + argc);
    return runner(std::move(settings)).work();
}
