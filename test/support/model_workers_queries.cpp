// What is on simulated workers.
#include "support/model_workers.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

resource_amounts model_workers::used(const std::string& id) const
{
    resource_amounts used;
    for (const auto& [key, run] : workers_.at(id).runs)
    {
        used = used + run.need;
    }
    return used;
}

bool model_workers::has_run(
    const std::function<bool(const run_ref&)>& matches) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&matches](const auto& worker)
                       {
                           const auto& runs = worker.second.runs;
                           return std::any_of(runs.begin(), runs.end(),
                                              [&matches](const auto& run)
                                              {
                                                  return matches(
                                                      run.second.run);
                                              });
                       });
}

bool model_workers::has_run_of(const std::string& job) const
{
    return has_run(
        [&job](const run_ref& run)
        {
            return run.job() == job;
        });
}

bool model_workers::has_run_of_subtask(const std::string& subtask) const
{
    return has_run(
        [&subtask](const run_ref& run)
        {
            return subtask_of(run) == subtask;
        });
}

bool model_workers::is_up(const std::string& id) const
{
    const auto found = workers_.find(id);
    return found != workers_.end() && !found->second.crashed;
}

std::vector<std::string> model_workers::all_up() const
{
    std::vector<std::string> up;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.crashed)
        {
            up.push_back(id);
        }
    }
    return up;
}

} // namespace limpetstack::fleet
