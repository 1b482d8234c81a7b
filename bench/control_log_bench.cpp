// Measures the control log with three members in one process and real syncs:
// commits per second, bytes per entry, and the time to recover.
#include "support/control_cluster.hpp"

#include <cstdio>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack
{
namespace
{

constexpr int members = 3;
constexpr int sequential_entries = 1000;
constexpr int clients = 16;
constexpr int entries_per_client = 100;
constexpr std::size_t document_bytes = 512;
constexpr milliseconds call_timeout{10000};

void report(const char* measure, double value, const char* unit)
{
    std::printf("control_log_bench measure=%s value=%.2f unit=%s\n", measure,
                value, unit);
}

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

// Returns the number of accepted commands.
int propose(control_group& group, int client, int count)
{
    int accepted = 0;
    for (int i = 0; i < count; ++i)
    {
        auto document = std::to_string(client) + "/" + std::to_string(i);
        document.resize(document_bytes, '.');
        accepted +=
            group.propose(make_command(document), call_timeout).code() ==
                    wire::command_accepted
                ? 1
                : 0;
    }
    return accepted;
}

bool all_hold(control_cluster& cluster, std::size_t documents)
{
    return eventually(
        [&]
        {
            for (int i = 0; i < members; ++i)
            {
                if (cluster.state(i).documents().size() != documents)
                {
                    return false;
                }
            }
            return true;
        });
}

void measure_commits(control_cluster& cluster)
{
    auto& group = cluster.group(cluster.leader());
    const auto log = cluster.folder_path(0) + "/control-log";
    const auto log_before = std::filesystem::file_size(log);
    const auto sent_before = cluster.message_bytes();
    auto start = std::chrono::steady_clock::now();
    const auto accepted = propose(group, 0, sequential_entries);
    report("commits_one_client", accepted / seconds_since(start), "per_second");
    (void)all_hold(cluster, static_cast<std::size_t>(accepted));
    report("log_bytes_per_entry",
           static_cast<double>(std::filesystem::file_size(log) - log_before) /
               accepted,
           "bytes");
    report("message_bytes_per_entry",
           static_cast<double>(cluster.message_bytes() - sent_before) /
               accepted,
           "bytes");

    start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(clients);
    std::atomic<int> total{0};
    for (int i = 1; i <= clients; ++i)
    {
        threads.emplace_back(
            [&group, &total, i]
            {
                total += propose(group, i, entries_per_client);
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    report("commits_16_clients", total / seconds_since(start), "per_second");
}

void measure_recovery(const char* measure, std::uint32_t snapshot_entries)
{
    control_group_options options;
    options.found_group = true;
    options.snapshot_entries = snapshot_entries;
    control_cluster cluster(1, options);
    (void)cluster.start(0);
    const auto count = propose(cluster.group(cluster.leader()), 0, 1000);
    cluster.stop(0);
    const auto start = std::chrono::steady_clock::now();
    (void)cluster.start(0);
    report((std::string("open_") + measure).c_str(),
           1000 * seconds_since(start), "ms");
    (void)eventually(
        [&]
        {
            return cluster.state(0).documents().size() ==
                   static_cast<std::size_t>(count);
        });
    // Includes the election timeout of 1 to 2 s.
    report((std::string("serve_") + measure).c_str(),
           1000 * seconds_since(start), "ms");
}

int run()
{
    control_group_options options;
    options.found_group = true;
    options.snapshot_entries = 100000; // Keeps the log's size measurable.
    control_cluster cluster(members, options);
    for (int i = 0; i < members; ++i)
    {
        if (!cluster.start(i).ok())
        {
            return 1;
        }
    }
    if (!cluster.admit_all())
    {
        return 1;
    }
    measure_commits(cluster);
    measure_recovery("after_1000_entries_from_log", 100000);
    measure_recovery("after_1000_entries_with_snapshots", 256);
    return 0;
}

} // namespace
} // namespace limpetstack

int main()
{
    return limpetstack::run();
}
