// Stand-in for a worker: runs tasks under leases, reports usage with a lag,
// announces itself, and fails on demand. A task's command holds `run_ms=N`.
// Its history is at GET /history.

#include "base/clock.hpp"
#include "experiment/announcer.hpp"

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace
{

using limpetstack::milliseconds;
using limpetstack::steady_now;
using limpetstack::time_point;
using nlohmann::json;

struct options
{
    std::string id;
    std::string data_centre = "dc1";
    std::string rack = "rack1";
    std::string address;
    std::vector<std::string> daemons;
    std::uint32_t cores = 32;
    std::uint64_t memory_mib = 128ULL << 10U;
    std::uint32_t accelerators = 8;
    std::uint32_t report_lag_ms = 500;
};

using task_key = std::pair<std::string, std::uint32_t>; // Job, member.

struct task
{
    std::uint32_t attempt = 0;
    std::uint64_t epoch = 0;
    std::string state; // reserved, running, done, failed, stopped, checkpointed
    time_point lease_end;
    time_point finish;
    time_point started;
    milliseconds run_time{0};
    double progress = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint64_t memory_mib = 0;

    bool holds_resources() const
    {
        return state == "reserved" || state == "running";
    }
};

milliseconds run_time_of(const std::string& command)
{
    const auto found = command.find("run_ms=");
    return milliseconds(found == std::string::npos
                            ? 1000
                            : std::stol(command.substr(found + 7)));
}

class worker
{
public:
    explicit worker(const options& given)
        : options_(given)
    {
    }

    json announcement();
    void call(const std::string& action, const httplib::Request& request,
              httplib::Response& response);
    void control(const json& change);
    json history();
    void expire();

private:
    std::string refusal(const std::string& action, const json& message) const;
    bool fits(const json& tasks) const;
    void apply(const std::string& action, const json& item, time_point now,
               std::uint64_t epoch, milliseconds lease);
    void start(task& subject, const task_key& key, time_point now);
    void end(task& subject, const task_key& key, const std::string& state,
             time_point when);
    void record(const task_key& key, const task& subject,
                const std::string& event, time_point when);
    double progress_of(const task& subject, time_point now) const;

    const options options_;
    const std::int64_t incarnation_ =
        std::chrono::system_clock::now().time_since_epoch().count() / 1000;
    std::mutex mutex_;
    std::map<task_key, task> tasks_;
    std::uint64_t highest_epoch_ = 0;
    bool fail_all_ = false;
    bool refuse_all_ = false;
    json events_ = json::array();
    json reported_ = json::array();
    time_point reported_at_{};
};

double worker::progress_of(const task& subject, time_point now) const
{
    if (subject.state != "running" || subject.run_time.count() == 0)
    {
        return subject.progress;
    }
    const double added = static_cast<double>((now - subject.started).count()) /
                         static_cast<double>(subject.run_time.count());
    return std::min(1.0, subject.progress + added);
}

json worker::announcement()
{
    const std::lock_guard lock(mutex_);
    const auto now = steady_now();
    if (now - reported_at_ >= milliseconds(options_.report_lag_ms))
    {
        reported_ = json::array();
        reported_at_ = now;
        for (const auto& [key, subject] : tasks_)
        {
            reported_.push_back({{"job", key.first},
                                 {"member", key.second},
                                 {"attempt", subject.attempt},
                                 {"epoch", subject.epoch},
                                 {"state", subject.state},
                                 {"cores_used_milli", subject.cores * 700},
                                 {"memory_used_mib", subject.memory_mib / 2},
                                 {"progress", subject.progress}});
        }
    }
    return {{"id", options_.id},
            {"incarnation", incarnation_},
            {"data_centre", options_.data_centre},
            {"rack", options_.rack},
            {"address", options_.address},
            {"cores", options_.cores},
            {"memory_mib", options_.memory_mib},
            {"accelerators", options_.accelerators},
            {"tasks", reported_}};
}

bool worker::fits(const json& tasks) const
{
    std::uint64_t accelerators = 0;
    std::uint64_t cores = 0;
    std::uint64_t memory = 0;
    for (const auto& [key, subject] : tasks_)
    {
        if (subject.holds_resources())
        {
            accelerators += subject.accelerators;
            cores += subject.cores;
            memory += subject.memory_mib;
        }
    }
    for (const auto& item : tasks)
    {
        accelerators += item.value("accelerators", 0U);
        cores += item.value("cores", 0U);
        memory += item.value("memory_mib", 0U);
    }
    return accelerators <= options_.accelerators && cores <= options_.cores &&
           memory <= options_.memory_mib;
}

std::string worker::refusal(const std::string& action,
                            const json& message) const
{
    if (message.value("epoch", 0ULL) < highest_epoch_)
    {
        return "epoch is lower than " + std::to_string(highest_epoch_);
    }
    if (action == "reserve")
    {
        if (refuse_all_)
        {
            return "told to refuse";
        }
        return fits(message["tasks"]) ? "" : "resources are short";
    }
    if (action != "commit" && action != "renew")
    {
        return "";
    }
    for (const auto& item : message["tasks"])
    {
        const auto found =
            tasks_.find({item.value("job", ""), item.value("member", 0U)});
        const bool known = found != tasks_.end() &&
                           found->second.attempt == item.value("attempt", 0U);
        if (!known || (action == "commit" && !found->second.holds_resources()))
        {
            return "task is not reserved here";
        }
    }
    return "";
}

void worker::record(const task_key& key, const task& subject,
                    const std::string& event, time_point when)
{
    events_.push_back({{"job", key.first},
                       {"member", key.second},
                       {"attempt", subject.attempt},
                       {"epoch", subject.epoch},
                       {"event", event},
                       {"time_ms", when.time_since_epoch().count()}});
}

void worker::start(task& subject, const task_key& key, time_point now)
{
    if (subject.state != "reserved")
    {
        return;
    }
    subject.state = "running";
    subject.started = now;
    const double left = 1.0 - subject.progress;
    subject.finish =
        now + milliseconds(static_cast<std::int64_t>(
                  static_cast<double>(subject.run_time.count()) * left));
    record(key, subject, "started", now);
    if (fail_all_)
    {
        end(subject, key, "failed", now);
    }
}

void worker::end(task& subject, const task_key& key, const std::string& state,
                 time_point when)
{
    const bool ran = subject.state == "running";
    subject.progress = state == "checkpointed" || state == "done"
                           ? progress_of(subject, when)
                           : subject.progress;
    subject.state = state;
    if (ran)
    {
        record(key, subject, state, when);
    }
}

void worker::apply(const std::string& action, const json& item, time_point now,
                   std::uint64_t epoch, milliseconds lease)
{
    const task_key key{item.value("job", ""), item.value("member", 0U)};
    const auto attempt = item.value("attempt", 0U);
    if (action == "reserve")
    {
        const auto found = tasks_.find(key);
        if (found != tasks_.end() && found->second.attempt == attempt &&
            found->second.holds_resources())
        {
            found->second.lease_end = now + lease;
            return;
        }
        task fresh;
        fresh.attempt = attempt;
        fresh.epoch = epoch;
        fresh.state = "reserved";
        fresh.lease_end = now + lease;
        fresh.run_time = run_time_of(item.value("command", ""));
        fresh.progress = item.value("progress", 0.0);
        fresh.accelerators = item.value("accelerators", 0U);
        fresh.cores = item.value("cores", 0U);
        fresh.memory_mib = item.value("memory_mib", 0U);
        tasks_[key] = fresh;
        return;
    }
    const auto found = tasks_.find(key);
    if (found == tasks_.end() || found->second.attempt != attempt)
    {
        return;
    }
    task& subject = found->second;
    subject.epoch = std::max(subject.epoch, epoch);
    if (action == "commit")
    {
        subject.lease_end = now + lease;
        start(subject, key, now);
    }
    else if (action == "renew" && subject.holds_resources())
    {
        subject.lease_end = now + lease;
    }
    else if (action == "checkpoint" && subject.state == "running")
    {
        end(subject, key, "checkpointed", now);
    }
    else if (action == "stop" && subject.holds_resources())
    {
        end(subject, key, "stopped", now);
    }
}

void worker::expire()
{
    const std::lock_guard lock(mutex_);
    const auto now = steady_now();
    for (auto& [key, subject] : tasks_)
    {
        if (!subject.holds_resources())
        {
            continue;
        }
        const bool running = subject.state == "running";
        if (running && subject.finish <= std::min(now, subject.lease_end))
        {
            end(subject, key, "done", subject.finish);
        }
        else if (subject.lease_end <= now)
        {
            // A process that was frozen did no work after its lease.
            end(subject, key, "stopped", subject.lease_end);
        }
    }
}

void worker::call(const std::string& action, const httplib::Request& request,
                  httplib::Response& response)
{
    expire();
    const auto message = json::parse(request.body, nullptr, false);
    if (!message.is_object() || !message.contains("tasks"))
    {
        response.status = 400;
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto reason = refusal(action, message);
    if (!reason.empty())
    {
        response.status = 409;
        response.set_content(json{{"error", reason}}.dump(),
                             "application/json");
        return;
    }
    const auto now = steady_now();
    const auto epoch = message.value("epoch", 0ULL);
    highest_epoch_ = std::max<std::uint64_t>(highest_epoch_, epoch);
    json results = json::array();
    for (const auto& item : message["tasks"])
    {
        apply(action, item, now, epoch,
              milliseconds(message.value("lease_ms", 0)));
        const task_key key{item.value("job", ""), item.value("member", 0U)};
        const auto found = tasks_.find(key);
        if (found != tasks_.end())
        {
            results.push_back({{"job", key.first},
                               {"member", key.second},
                               {"attempt", found->second.attempt},
                               {"state", found->second.state},
                               {"progress", found->second.progress}});
        }
    }
    response.set_content(json{{"tasks", results}}.dump(), "application/json");
}

void worker::control(const json& change)
{
    const std::lock_guard lock(mutex_);
    fail_all_ = change.value("fail_all", fail_all_);
    refuse_all_ = change.value("refuse_all", refuse_all_);
}

json worker::history()
{
    expire();
    const std::lock_guard lock(mutex_);
    return {{"events", events_},
            {"now_ms", steady_now().time_since_epoch().count()}};
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app("Stand-in for a worker, for tests and the demo");
    app.add_option("--id", given.id)->required();
    app.add_option("--data-centre", given.data_centre);
    app.add_option("--rack", given.rack);
    app.add_option("--listen", given.address, "IP:port")->required();
    app.add_option("--daemon", given.daemons, "callers' listener, IP:port")
        ->required();
    app.add_option("--accelerators", given.accelerators);
    app.add_option("--cores", given.cores);
    CLI11_PARSE(app, argc, argv);

    worker self(given);
    httplib::Server server;
    server.set_tcp_nodelay(true);
    for (const std::string action :
         {"reserve", "commit", "renew", "stop", "checkpoint", "throttle"})
    {
        server.Post("/tasks/" + action,
                    [&self, action](const httplib::Request& request,
                                    httplib::Response& response)
                    {
                        self.call(action, request, response);
                    });
    }
    server.Post("/control",
                [&](const httplib::Request& request, httplib::Response&)
                {
                    self.control(json::parse(request.body, nullptr, false));
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
    const limpetstack::test::announcer announcements(
        given.daemons, "/v1/workers",
        [&]
        {
            return self.announcement();
        });
    std::thread expiry(
        [&]
        {
            for (;;)
            {
                self.expire();
                std::this_thread::sleep_for(milliseconds(10));
            }
        });
    expiry.detach();
    return server.listen_after_bind() ? 0 : 1;
}
