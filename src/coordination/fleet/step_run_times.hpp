#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace limpetstack::fleet
{

/// The time that a single subtask of a step took on a worker.
struct step_run
{
    std::string worker;
    double log_time = 0;
};

/// The last run times of single subtasks of the steps whose runs ended last.
class step_run_times
{
public:
    static constexpr std::size_t max_steps = 1024;
    static constexpr std::size_t max_runs = 16; // Of one step.

    /// Adds a run and returns those of its step, oldest first.
    const std::deque<step_run>& add(const std::string& step, step_run run)
    {
        const auto [at, is_new] = steps_.try_emplace(step);
        if (is_new)
        {
            order_.push_back(step);
        }
        if (order_.size() > max_steps)
        {
            steps_.erase(order_.front());
            order_.pop_front();
        }
        auto& runs = at->second;
        runs.push_back(std::move(run));
        if (runs.size() > max_runs)
        {
            runs.pop_front();
        }
        return runs;
    }

private:
    std::map<std::string, std::deque<step_run>> steps_;
    std::deque<std::string> order_; // Steps in the order of their first run.
};

} // namespace limpetstack::fleet
