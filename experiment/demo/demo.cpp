// The demo: starts a deployment as separate processes, takes a configuration,
// requests and a gang job through it, and prints what it saw. Exits 0 only if
// every step held.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace limpetstack::test;
using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr int requests_per_daemon = 50;

double elapsed_ms(steady::time_point begin)
{
    return std::chrono::duration<double, std::milli>(steady::now() - begin)
        .count();
}

class report
{
public:
    void step(const std::string& name, bool held, const std::string& detail)
    {
        std::printf("%-7s %-44s %s\n", held ? "ok" : "FAILED", name.c_str(),
                    detail.c_str());
        std::fflush(stdout);
        all_held_ = all_held_ && held;
    }

    bool all_held() const { return all_held_; }

private:
    bool all_held_ = true;
};

std::string milliseconds_text(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f ms", value);
    return text;
}

std::string latency_text(std::vector<double> samples)
{
    if (samples.empty())
    {
        return "no samples";
    }
    std::sort(samples.begin(), samples.end());
    const auto at = [&](double fraction)
    {
        return milliseconds_text(samples[static_cast<std::size_t>(
            fraction * static_cast<double>(samples.size() - 1))]);
    };
    return "p50 " + at(0.5) + ", p95 " + at(0.95) + ", p99 " + at(0.99);
}

/// Runs limpetctl and keeps its exit code and output.
struct ctl_result
{
    int code = -1;
    std::string output;
};

ctl_result run_ctl(const deployment& system, const std::string& folder,
                   const std::string& host, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), {"--server", system.operators(host)});
    const auto log = folder + "/limpetctl.out";
    std::filesystem::remove(log);
    process ctl(program_folder() + "/limpetctl", arguments, log);
    ctl_result result;
    result.code = ctl.wait();
    std::ifstream file(log);
    std::stringstream text;
    text << file.rdbuf();
    result.output = text.str();
    return result;
}

std::string write_file(const std::string& folder, const std::string& name,
                       const std::string& content)
{
    auto path = folder + "/" + name;
    std::ofstream(path) << content;
    return path;
}

void check_group(const deployment& system, report& out)
{
    const auto begin = steady::now();
    const bool formed = wait_until(
        [&]
        {
            const auto members = system.ask("north-1", "/v1/members");
            if (!members.is_object() || !members.contains("members"))
            {
                return false;
            }
            int voters = 0;
            for (const auto& member : members["members"])
            {
                voters += member.value("voter", false) ? 1 : 0;
            }
            return voters == 3;
        });
    out.step("control group has three voters", formed,
             milliseconds_text(elapsed_ms(begin)));
}

void check_config(const deployment& system, const std::string& folder,
                  report& out)
{
    const auto bad = write_file(folder, "bad.yaml",
                                "client_accounts:\n  - nam: addis\n"
                                "    weight: none\n");
    const auto refused = run_ctl(
        system, folder, "south-2",
        {"config", "apply", bad, "--base-version", "0", "--operator", "demo"});
    out.step("a bad document is refused with every error", refused.code == 1,
             std::to_string(std::count(refused.output.begin(),
                                       refused.output.end(), '\n')) +
                 " lines");
    const auto good = write_file(folder, "good.yaml", sample_document());
    const auto begin = steady::now();
    const auto applied = run_ctl(
        system, folder, "south-2",
        {"config", "apply", good, "--base-version", "0", "--operator", "demo"});
    out.step("limpetctl applies a document", applied.code == 0,
             milliseconds_text(elapsed_ms(begin)));
    if (applied.code != 0)
    {
        std::cout << applied.output;
    }
    const bool everywhere = wait_until(
        [&]
        {
            for (const auto& host : system.hosts())
            {
                if (system.version_at(host) != 1)
                {
                    return false;
                }
            }
            return true;
        });
    out.step("version 1 is in force on all daemons", everywhere,
             milliseconds_text(elapsed_ms(begin)));
}

bool upstreams_known(const deployment& system)
{
    for (const auto& host : system.hosts())
    {
        const auto list = system.ask(host, "/v1/upstreams");
        if (!list.is_object() || list["upstreams"].size() != 4)
        {
            return false;
        }
    }
    return true;
}

/// Sends requests through every daemon; counts whole answers to the own
/// request.
void send_requests(const deployment& system, const std::string& service,
                   bool needs_id, report& out)
{
    std::vector<double> latencies;
    int whole = 0;
    int sent = 0;
    for (const auto& host : system.hosts())
    {
        for (int i = 0; i < requests_per_daemon; ++i)
        {
            ++sent;
            const std::string body = host + "/" + std::to_string(i);
            const auto begin = steady::now();
            http_headers headers = {{"Limpetstack-Caller", "window-" + host}};
            if (needs_id)
            {
                const auto issued =
                    post(system.callers(host), "/v1/request-ids", "");
                const auto id = json::parse(issued.body, nullptr, false);
                headers["Limpetstack-Request-Id"] =
                    id.is_object() ? id.value("id", "") : "";
            }
            const auto answer =
                post(system.callers(host),
                     "/v1/accounts/addis/services/" + service + "/requests",
                     body, headers, std::chrono::seconds(10));
            const auto content = json::parse(answer.body, nullptr, false);
            const bool own = answer.status == 200 && content.is_object() &&
                             content.value("echo", "") == body;
            whole += own ? 1 : 0;
            latencies.push_back(elapsed_ms(begin));
            if (!own && sent - whole <= 3)
            {
                std::cout << "  answer " << answer.status << " "
                          << answer.body.substr(0, 200) << "\n";
            }
        }
    }
    out.step("requests to " + service + " through every daemon", whole == sent,
             std::to_string(whole) + " of " + std::to_string(sent) +
                 " whole answers, " + latency_text(latencies));
}

void check_requests(deployment& system, report& out)
{
    // Each stand-in announces itself to one daemon after the other.
    system.add_upstream("north-lookup", "lookup", "north");
    system.add_upstream("south-lookup", "lookup", "south");
    system.add_upstream("north-appraisal", "appraisal", "north");
    system.add_upstream("south-appraisal", "appraisal", "south");
    const auto begin = steady::now();
    const bool known = wait_until(
        [&]
        {
            return upstreams_known(system);
        });
    out.step("announced upstreams are known to all daemons", known,
             milliseconds_text(elapsed_ms(begin)));
    const bool owned = wait_until(
        [&]
        {
            for (const auto& host : system.hosts())
            {
                if (post(system.callers(host), "/v1/request-ids", "").status !=
                    200)
                {
                    return false;
                }
            }
            return true;
        });
    out.step("both data centres have a journal owner", owned, "");
    send_requests(system, "lookup", false, out);
    send_requests(system, "appraisal", true, out);
}

json job_state(const deployment& system, const std::string& id)
{
    const auto answer =
        get(system.callers("south-1"), "/v1/accounts/addis/jobs/" + id);
    return json::parse(answer.body, nullptr, false);
}

/// Returns the times at which the members of a job started, by worker.
std::vector<std::int64_t> start_times(const deployment& system,
                                      const std::string& job,
                                      const std::vector<std::string>& workers)
{
    std::vector<std::int64_t> times;
    for (const auto& worker : workers)
    {
        const auto answer = get(system.stand_in_address(worker), "/history");
        const auto history = json::parse(answer.body, nullptr, false);
        for (const auto& event : history["events"])
        {
            if (event["job"] == job && event["event"] == "started")
            {
                times.push_back(event["time_ms"].get<std::int64_t>());
            }
        }
    }
    return times;
}

void check_job(deployment& system, report& out)
{
    for (int i = 0; i < 6; ++i)
    {
        system.add_worker("worker-" + std::to_string(i), "north",
                          i < 3 ? "rack-1" : "rack-2");
    }
    const bool known = wait_until(
        [&]
        {
            const auto list = system.ask("south-1", "/v1/workers");
            return list.is_object() && list["workers"].size() == 6;
        });
    out.step("announced workers are known in the other data centre", known, "");
    const auto begin = steady::now();
    const auto submitted =
        post(system.callers("south-1"), "/v1/accounts/addis/jobs",
             json{{"service", "appraisal"},
                  {"members", 3},
                  {"accelerators", 8},
                  {"cores", 4},
                  {"memory_mib", 1024},
                  {"adjacency", "rack"},
                  {"data_centre", "north"},
                  {"command", "run_ms=700"}}
                 .dump(),
             {}, std::chrono::seconds(10));
    const auto job = json::parse(submitted.body, nullptr, false);
    const auto id = job.is_object() ? job.value("id", "") : "";
    out.step("a gang job of three members is accepted", submitted.status == 202,
             id);
    if (submitted.status != 202)
    {
        std::cout << "  answer " << submitted.status << " " << submitted.body
                  << "\n";
        return;
    }
    json done;
    const bool finished = wait_until(
        [&]
        {
            done = job_state(system, id);
            return done.is_object() && done.value("state", "") == "done";
        });
    out.step("the gang finishes", finished,
             milliseconds_text(elapsed_ms(begin)) + ", state " +
                 done.value("state", "none"));
    const auto workers = done.value("workers", std::vector<std::string>());
    const auto times = start_times(system, id, workers);
    std::set<bool> racks; // True for rack-1.
    for (const auto& worker : workers)
    {
        racks.insert(worker < "worker-3");
    }
    const auto [first, last] = std::minmax_element(times.begin(), times.end());
    const bool together = times.size() == 3 && racks.size() == 1;
    out.step("its members started together in one rack", together,
             times.empty()
                 ? ""
                 : "within " + std::to_string(*last - *first) + " ms");
}

void check_lists(const deployment& system, const std::string& folder,
                 report& out)
{
    for (const std::string list : {"accounts", "upstreams", "workers", "jobs",
                                   "hosts", "members", "audit"})
    {
        const auto table = run_ctl(system, folder, "south-2", {list});
        const auto raw = run_ctl(system, folder, "south-2", {"--json", list});
        const bool held = table.code == 0 && raw.code == 0 &&
                          !table.output.empty() && json::accept(raw.output);
        out.step("limpetctl " + list + ", table and JSON", held,
                 std::to_string(std::count(table.output.begin(),
                                           table.output.end(), '\n')) +
                     " lines");
    }
}

void check_shutdown(deployment& system, report& out)
{
    const auto begin = steady::now();
    for (const auto& host : system.hosts())
    {
        system.daemon(host).signal(SIGTERM);
    }
    bool clean = true;
    for (const auto& host : system.hosts())
    {
        clean = system.daemon(host).wait() == 0 && clean;
    }
    out.step("all daemons stop gracefully with exit code 0", clean,
             milliseconds_text(elapsed_ms(begin)));
}

} // namespace

int main()
{
    const auto folder = test_folder("demo");
    report out;
    {
        deployment system(folder, {{"north-1", "north", true, true},
                                   {"north-2", "north", false, false},
                                   {"south-1", "south", true, true},
                                   {"south-2", "south", true, true}});
        system.start();
        check_group(system, out);
        check_config(system, folder, out);
        check_requests(system, out);
        check_job(system, out);
        check_lists(system, folder, out);
        check_shutdown(system, out);
    }
    if (out.all_held())
    {
        std::filesystem::remove_all(folder);
        std::printf("demo: every step held\n");
        return 0;
    }
    std::printf("demo: a step failed; logs are in %s\n", folder.c_str());
    return 1;
}
