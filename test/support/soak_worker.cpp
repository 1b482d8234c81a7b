#include "support/soak_worker.hpp"

#include "experiment/process.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_runs = 8; // At once, whatever resources they need.
constexpr std::int64_t max_lease_ms = 6000;
constexpr milliseconds run_duration{900};
constexpr milliseconds endless_run_duration{3600000};
constexpr milliseconds stop_duration{200};

} // namespace

soak_worker::soak_worker(boost::asio::io_context& io, std::string id,
                         std::string rack, soak_rules& rules)
    : id_(std::move(id))
    , rack_(std::move(rack))
    , rules_(rules)
    , address_("127.0.0.1:" + std::to_string(test::free_port()))
    , server_(std::make_unique<http_server>(
          io, "",
          [this](const http_server_request& request, http_responder respond)
          {
              serve(request, std::move(respond));
          }))
{
    if (!server_->listen(address_))
    {
        rules_.violations.push_back("worker can not listen at " + address_);
    }
    relay_ = std::make_unique<test::relay>(address_);
}

soak_worker::~soak_worker() = default;

std::int64_t soak_worker::clock_ms() const
{
    return 1000 + (steady_now() - started_).count();
}

std::string soak_worker::report(bool draining)
{
    return json{
        {"service", "s"},
        {"addr", relay_->address()},
        {"zone", "z"},
        {"state", draining ? "draining" : "ready"},
        {"capacity", {{"cpu", 64000}, {"mem_mb", 64000}, {"gpu", max_runs}}},
        {"labels", {"a", rack_}},
        {"clock_ms", clock_ms()},
        {"born", born_ms_},
        {"seq", ++sequence_}}
        .dump();
}

void soak_worker::crash()
{
    up_ = false;
    for (const auto& item : std::exchange(runs_, {}))
    {
        --rules_.running[item.subtask];
    }
    holds_.clear();
}

void soak_worker::start_again()
{
    up_ = true;
    started_ = steady_now();
    born_ms_ = std::max(born_ms_ + 1, wall_clock_ms());
    sequence_ = 0;
    epoch_ = 0;
    lease_end_ms_ = 0;
    highest_ended_.clear();
    ended_.clear();
    next_end_ = 1;
    last_end_before_lapse_ = 0;
}

void soak_worker::extend_lease(const json& order)
{
    if (order.contains("until_ms"))
    {
        lease_end_ms_ = std::max(lease_end_ms_,
                                 std::min(order["until_ms"].get<std::int64_t>(),
                                          clock_ms() + max_lease_ms));
    }
}

void soak_worker::serve(const http_server_request& request,
                        http_responder respond)
{
    if (!up_)
    {
        return; // The connection is closed by the relay.
    }
    const auto order = json::parse(request.body, nullptr, false);
    if (!order.is_object())
    {
        respond({400, "{}", 0});
        return;
    }
    const auto epoch = order.value("fence", std::uint64_t{0});
    if (epoch < epoch_)
    {
        respond({409,
                 json{{"clock_ms", clock_ms()}, {"reason", "fence"}}.dump(),
                 0});
        return;
    }
    epoch_ = epoch;
    if (request.target == "/-/hold")
    {
        hold(order, std::move(respond));
        return;
    }
    unsigned status = 200;
    json answer{{"clock_ms", clock_ms()}};
    if (request.target == "/-/run-start")
    {
        answer.update(start(order, status));
    }
    else if (request.target == "/-/run-stop")
    {
        stop(order);
    }
    respond({status, answer.dump(), 0});
}

json soak_worker::start(const json& order, unsigned& status)
{
    const auto subtask = order.at("task").get<std::string>();
    const auto number = order.at("run").get<std::uint64_t>();
    if (order.at("until_ms").get<std::int64_t>() <= clock_ms())
    {
        status = 409;
        return {{"reason", "late"}};
    }
    extend_lease(order);
    for (const auto& item : runs_)
    {
        if (item.subtask == subtask && item.number == number)
        {
            return json::object();
        }
    }
    if (number <= highest_ended_[subtask])
    {
        status = 409;
        return {{"reason", "old"}};
    }
    ++rules_.starts;
    const auto job = subtask.substr(0, subtask.find('.'));
    rules_.started.insert(job);
    if (rules_.refused.count(job) > 0)
    {
        rules_.violations.push_back("refused job " + job + " starts");
    }
    if (rules_.submitted.count(job) == 0)
    {
        rules_.violations.push_back("start of " + subtask +
                                    ", whose job no caller sent");
    }
    if (rules_.recorded_done.count(subtask) > 0)
    {
        rules_.violations.push_back("start after the recorded end of " +
                                    subtask);
    }
    if (++rules_.running[subtask] > 1)
    {
        rules_.violations.push_back("second run at once of " + subtask +
                                    " starts on " + id_);
    }
    if (runs_.size() >= max_runs)
    {
        rules_.violations.push_back("capacity of " + id_ + " exceeded by " +
                                    subtask);
    }
    const auto duration =
        rules_.endless.count(job) > 0 ? endless_run_duration : run_duration;
    runs_.push_back({subtask, number, steady_now() + duration, {}, false});
    return json::object();
}

void soak_worker::stop(const json& order)
{
    const auto subtask = order.at("task").get<std::string>();
    const auto number = order.at("run").get<std::uint64_t>();
    auto& highest = highest_ended_[subtask];
    highest = std::max(highest, number);
    for (auto& item : runs_)
    {
        if (item.subtask == subtask && item.number == number && !item.stopping)
        {
            item.stopping = true;
            item.stops_at = steady_now() + stop_duration;
        }
    }
}

json soak_worker::lists() const
{
    json running = json::array();
    for (const auto& item : runs_)
    {
        if (!item.stopping)
        {
            running.push_back({item.subtask, item.number, "", 50});
        }
    }
    return {{"clock_ms", clock_ms()},
            {"born", born_ms_},
            {"running", running},
            {"ended", ended_}};
}

void soak_worker::hold(const json& order, http_responder respond)
{
    extend_lease(order);
    const auto seen = order.value("last_seen", std::uint64_t{0});
    for (const auto& item : ended_)
    {
        const auto number = item[0].get<std::uint64_t>();
        if (number <= seen && number > last_end_before_lapse_ &&
            item[3] == "done")
        {
            rules_.recorded_done.insert(item[1].get<std::string>());
        }
    }
    ended_.erase(std::remove_if(ended_.begin(), ended_.end(),
                                [seen](const json& item)
                                {
                                    return item[0].get<std::uint64_t>() <= seen;
                                }),
                 ended_.end());
    const auto wait = order.value("wait_ms", std::int64_t{0});
    if (wait == 0 || !ended_.empty())
    {
        respond({200, lists().dump(), 0});
        return;
    }
    holds_.push_back({std::move(respond), steady_now() + milliseconds(wait)});
}

void soak_worker::finish(std::size_t index, const char* how)
{
    const auto item = runs_[index];
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
    --rules_.running[item.subtask];
    auto& highest = highest_ended_[item.subtask];
    highest = std::max(highest, item.number);
    ended_.push_back({next_end_++, item.subtask, item.number, how, ""});
}

void soak_worker::advance()
{
    const auto now = steady_now();
    const bool lapsed = clock_ms() > lease_end_ms_;
    if (lapsed)
    {
        last_end_before_lapse_ = next_end_ - 1;
    }
    for (std::size_t i = runs_.size(); i-- > 0;)
    {
        const auto& item = runs_[i];
        if (lapsed)
        {
            finish(i, "lapsed");
        }
        else if (item.stopping ? now >= item.stops_at : now >= item.ends_at)
        {
            finish(i, item.stopping ? "stopped" : "done");
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

} // namespace limpetstack::fleet
