// Crashes of simulated workers.
#include "support/model_workers.hpp"

#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds restart_time{3000};

} // namespace

void model_workers::crash(const std::string& id)
{
    auto& worker = workers_[id];
    if (worker.crashed)
    {
        return;
    }
    ++crashes;
    const auto lost = std::exchange(worker.runs, {});
    worker.crashed = true;
    for (const auto& [key, run] : lost)
    {
        if (run.gang)
        {
            end_gang(run.run, run_broken, key);
        }
    }
    delayed_.push_back({fixture_.now + restart_time, [this, id]
                        {
                            workers_[id + "+"];
                            fixture_.replace_worker(id, id + "+");
                        }});
}

void model_workers::report_all()
{
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.crashed)
        {
            fixture_.report(id);
        }
    }
}

std::string model_workers::random_worker()
{
    std::vector<std::string> up;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.crashed)
        {
            up.push_back(id);
        }
    }
    return up.at(random_() % up.size());
}

} // namespace limpetstack::fleet
