// Computes the bandwidth of the soft state per daemon, with the real encoders
// and a manual clock. Counts message bytes, without those of gRPC and TCP.

#include "support/soft_state_cluster.hpp"

#include <cstdio>
#include <string>

namespace limpetstack
{
namespace
{

constexpr int warm_up_s = 20;
constexpr int measured_s = 60;

struct scenario
{
    int daemons;
    int data_centres;
    int upstreams;
    int workers;
    int changes_per_s; // Workers whose set of 15 tasks changes.
};

void add_tasks(wire::worker_entry& entry, std::uint64_t round)
{
    constexpr int tasks = 15;
    for (int i = 0; i < tasks; ++i)
    {
        auto& task = *entry.add_tasks();
        task.set_job("dc1-job-" + std::to_string(round) + "-" +
                     std::to_string(i));
        task.set_member(static_cast<std::uint32_t>(i));
        task.set_epoch(3);
        task.set_state("running");
        task.set_attempt(1);
        task.set_cores_used_milli(2000);
        task.set_memory_used_mib(8000);
    }
}

// Everything is announced three times per lease, spread evenly over time.
void announce(soft_state_cluster& cluster, const scenario& what, int step,
              int step_ms)
{
    const int period =
        static_cast<int>(cluster.at(0).own.timing.announcement_lease.count()) /
        3 / step_ms;
    const auto round = static_cast<std::uint64_t>(step / period) + 1;
    const auto pick = [&]() -> membership&
    {
        return *cluster.at(cluster.random_below(what.daemons)).hosts;
    };
    const auto centre = [&](int i)
    {
        return "dc" + std::to_string(i % what.data_centres);
    };
    for (int i = step % period; i < what.upstreams; i += period)
    {
        pick().announce(
            make_upstream("upstream-" + std::to_string(i), centre(i), round));
    }
    const int steps_per_s = 1000 / step_ms;
    for (int i = step % period; i < what.workers; i += period)
    {
        auto entry =
            make_worker("worker-" + std::to_string(i), centre(i), round);
        // Of each round's workers, as many have other tasks as are due.
        const int due = what.changes_per_s * period / steps_per_s;
        const bool changed =
            (i + static_cast<int>(round) * due) % what.workers < due;
        add_tasks(entry, changed ? round : 0);
        pick().announce(entry);
    }
}

void measure(const scenario& what)
{
    constexpr int step_ms = 100;
    soft_state_cluster cluster(what.daemons, what.data_centres, 1);
    int step = 0;
    for (; step < warm_up_s * 1000 / step_ms; ++step)
    {
        announce(cluster, what, step, step_ms);
        cluster.run(milliseconds(step_ms));
    }
    for (int i = 0; i < what.daemons; ++i)
    {
        cluster.at(i).sent_bytes = 0;
        cluster.at(i).received_bytes = 0;
    }
    const int end = step + measured_s * 1000 / step_ms;
    for (; step < end; ++step)
    {
        announce(cluster, what, step, step_ms);
        cluster.run(milliseconds(step_ms));
    }
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    for (int i = 0; i < what.daemons; ++i)
    {
        sent += cluster.at(i).sent_bytes;
        received += cluster.at(i).received_bytes;
    }
    const int total = what.daemons * measured_s;
    std::printf("soft_state_bench daemons=%d upstreams=%d workers=%d "
                "task_changes_per_s=%d sent_bytes_per_s=%d "
                "received_bytes_per_s=%d\n",
                what.daemons, what.upstreams, what.workers, what.changes_per_s,
                static_cast<int>(sent) / total,
                static_cast<int>(received) / total);
}

} // namespace
} // namespace limpetstack

int main()
{
    limpetstack::measure({9, 4, 50, 50, 0});
    limpetstack::measure({40, 5, 600, 2400, 0});
    limpetstack::measure({40, 5, 600, 2400, 5});
    return 0;
}
