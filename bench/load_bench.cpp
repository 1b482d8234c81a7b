// Drives load through a deployment of real processes and prints requests per
// second, latencies, and each daemon's processor time and memory, one line
// each. The load is bounded in time.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace limpetstack::test;
using nlohmann::json;
using steady = std::chrono::steady_clock;

struct options
{
    int seconds = 5;
    int clients = 32;
    int upstreams = 12; // Each service and data centre.
    int workers = 12;
    std::string service = "lookup";
};

struct usage
{
    double cpu_s = 0;
    double resident_mib = 0;
};

usage usage_of(pid_t pid)
{
    usage result;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    // Fields 14 and 15 of the line, which are 12 and 13 after the name.
    for (int i = 0; i < 13 && fields >> field; ++i)
    {
        if (i >= 11)
        {
            result.cpu_s +=
                std::stod(field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        }
    }
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    result.resident_mib =
        resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
    return result;
}

void print_usage(deployment& system, const std::string& phase,
                 const std::vector<usage>& before, double seconds)
{
    std::size_t index = 0;
    for (const auto& host : system.hosts())
    {
        const auto now = usage_of(system.daemon(host).pid());
        std::printf("load_bench phase=%s host=%s cpu_percent_of_core=%.2f "
                    "resident_mib=%.1f\n",
                    phase.c_str(), host.c_str(),
                    100 * (now.cpu_s - before[index].cpu_s) / seconds,
                    now.resident_mib);
        ++index;
    }
}

std::vector<usage> usages(deployment& system)
{
    std::vector<usage> result;
    for (const auto& host : system.hosts())
    {
        result.push_back(usage_of(system.daemon(host).pid()));
    }
    return result;
}

class load
{
public:
    load(const deployment& system, const options& given)
        : system_(system)
        , options_(given)
    {
    }

    void run();
    void print() const;

private:
    void client(int number, steady::time_point end);
    bool call(httplib::Client& connection, int number);

    const deployment& system_;
    const options options_;
    std::mutex mutex_;
    std::vector<double> latencies_;
    std::atomic<int> failed_{0};
    double seconds_ = 0;
};

bool load::call(httplib::Client& connection, int number)
{
    httplib::Headers headers = {
        {"Limpetstack-Caller", "client-" + std::to_string(number)}};
    if (options_.service == "appraisal")
    {
        const auto issued =
            connection.Post("/v1/request-ids", "", "application/json");
        const auto id =
            issued ? json::parse(issued->body, nullptr, false) : json(nullptr);
        if (!id.is_object())
        {
            return false;
        }
        headers.emplace("Limpetstack-Request-Id", id.value("id", ""));
    }
    const auto path =
        "/v1/accounts/addis/services/" + options_.service + "/requests";
    const auto answer = connection.Post(path.c_str(), headers, "scan",
                                        "application/octet-stream");
    return answer && answer->status == 200;
}

void load::client(int number, steady::time_point end)
{
    const auto hosts = system_.hosts();
    const auto& host = hosts[static_cast<std::size_t>(number) % hosts.size()];
    httplib::Client connection("http://" + system_.callers(host));
    connection.set_keep_alive(true);
    connection.set_tcp_nodelay(true);
    std::vector<double> own;
    while (steady::now() < end)
    {
        const auto begin = steady::now();
        if (!call(connection, number))
        {
            ++failed_;
            continue;
        }
        own.push_back(
            std::chrono::duration<double, std::milli>(steady::now() - begin)
                .count());
    }
    const std::lock_guard lock(mutex_);
    latencies_.insert(latencies_.end(), own.begin(), own.end());
}

void load::run()
{
    const auto begin = steady::now();
    const auto end = begin + std::chrono::seconds(options_.seconds);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options_.clients));
    for (int i = 0; i < options_.clients; ++i)
    {
        threads.emplace_back(
            [this, i, end]
            {
                client(i, end);
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    seconds_ = std::chrono::duration<double>(steady::now() - begin).count();
    std::sort(latencies_.begin(), latencies_.end());
}

void load::print() const
{
    const auto at = [&](double fraction)
    {
        return latencies_.empty()
                   ? 0.0
                   : latencies_[static_cast<std::size_t>(
                         fraction *
                         static_cast<double>(latencies_.size() - 1))];
    };
    std::printf("load_bench service=%s clients=%d requests_per_s=%.0f "
                "failed=%d p50_ms=%.2f p95_ms=%.2f p99_ms=%.2f\n",
                options_.service.c_str(), options_.clients,
                static_cast<double>(latencies_.size()) / seconds_,
                failed_.load(), at(0.5), at(0.95), at(0.99));
}

bool prepare(deployment& system, const options& given)
{
    system.start();
    for (const std::string data_centre : {"north", "south"})
    {
        for (int i = 0; i < given.upstreams; ++i)
        {
            const auto suffix = data_centre + "-" + std::to_string(i);
            system.add_upstream("lookup-" + suffix, "lookup", data_centre);
            system.add_upstream("appraisal-" + suffix, "appraisal",
                                data_centre);
        }
        for (int i = 0; i < given.workers; ++i)
        {
            system.add_worker("worker-" + data_centre + std::to_string(i),
                              data_centre, "rack-" + std::to_string(i / 6));
        }
    }
    const auto applied = wait_until(
        [&]
        {
            return system.apply("south-2", 0, sample_document(), "load")
                       .value("code", "") == "accepted";
        });
    return applied &&
           wait_until(
               [&]
               {
                   for (const auto& host : system.hosts())
                   {
                       const auto list = system.ask(host, "/v1/upstreams");
                       if (!list.is_object() ||
                           list["upstreams"].size() !=
                               4 * static_cast<std::size_t>(given.upstreams) ||
                           post(system.callers(host), "/v1/request-ids", "")
                                   .status != 200)
                       {
                           return false;
                       }
                   }
                   return true;
               });
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app("Drives load through a deployment of real processes");
    app.add_option("--seconds", given.seconds)->check(CLI::Range(1, 60));
    app.add_option("--clients", given.clients)->check(CLI::Range(1, 256));
    app.add_option("--upstreams", given.upstreams)->check(CLI::Range(1, 50));
    app.add_option("--workers", given.workers)->check(CLI::Range(0, 50));
    app.add_option("--service", given.service)
        ->check(CLI::IsMember({"lookup", "appraisal"}));
    CLI11_PARSE(app, argc, argv);
    const auto folder = test_folder("load");
    bool ready = false;
    {
        deployment system(folder, {{"north-1", "north", true, true},
                                   {"north-2", "north", false, false},
                                   {"south-1", "south", true, true},
                                   {"south-2", "south", true, true}});
        ready = prepare(system, given);
        if (ready)
        {
            auto before = usages(system);
            std::this_thread::sleep_for(std::chrono::seconds(given.seconds));
            print_usage(system, "idle", before, given.seconds);
            before = usages(system);
            load traffic(system, given);
            traffic.run();
            traffic.print();
            print_usage(system, "load", before, given.seconds);
        }
    }
    std::filesystem::remove_all(folder);
    return ready ? 0 : 1;
}
