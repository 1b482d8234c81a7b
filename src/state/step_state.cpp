#include "state/step_state.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// The older crashes of a subtask are forgotten.
constexpr std::size_t max_recorded_crashes = 16;

// Adds one to, or subtracts one from, the number of subtasks with that many
// failures.
void count_failures(step_state& step, std::uint32_t failures, int change)
{
    if (failures == 0)
    {
        return;
    }
    auto& count = step.subtasks_by_failures[failures];
    count += static_cast<std::uint32_t>(change);
    if (count == 0)
    {
        step.subtasks_by_failures.erase(failures);
    }
}

void record_subtask_done(step_state& step, std::uint32_t index)
{
    if (step.done.contains(index))
    {
        return;
    }
    const auto found = step.subtasks.find(index);
    if (found != step.subtasks.end())
    {
        count_failures(step, found->second.failures, -1);
    }
    step.crashed.erase(index);
    step.done.insert(index);
    drop_if_ended(step, index);
}

} // namespace

std::vector<step_state> new_steps(const job_spec& spec)
{
    std::vector<step_state> steps(static_cast<std::size_t>(spec.steps_size()));
    for (std::size_t s = 0; s < steps.size(); ++s)
    {
        steps[s].subtask_count =
            spec.steps(static_cast<int>(s)).subtask_count();
    }
    return steps;
}

bool is_done(const step_state& step)
{
    return step.done.size() == step.subtask_count;
}

std::uint32_t most_failures(const step_state& step)
{
    return step.subtasks_by_failures.empty()
               ? 0
               : step.subtasks_by_failures.rbegin()->first;
}

void record_failure(step_state& step, std::uint32_t index)
{
    auto& subtask = step.subtasks.at(index);
    const bool counts = !step.done.contains(index);
    count_failures(step, counts ? subtask.failures : 0, -1);
    ++subtask.failures;
    count_failures(step, counts ? subtask.failures : 0, 1);
}

void record_done(step_state& step, const step_spec& spec, std::uint32_t index,
                 std::uint32_t run)
{
    if (!spec.gang())
    {
        record_subtask_done(step, index);
        return;
    }
    if (!is_done(step))
    {
        step.done_run = run;
    }
    std::vector<std::uint32_t> members;
    members.reserve(step.subtasks.size());
    for (const auto& [member, subtask] : step.subtasks)
    {
        members.push_back(member);
    }
    for (const auto member : members)
    {
        record_subtask_done(step, member);
    }
    step.done.insert(0, step.subtask_count);
}

bool record_crash(step_state& step, std::uint32_t index,
                  const crash_record& crash)
{
    const auto found = step.subtasks.find(index);
    if (found == step.subtasks.end() || step.done.contains(index))
    {
        return false;
    }
    auto& subtask = found->second;
    if (crash.run > subtask.last_run || crash.run <= subtask.last_judged_run)
    {
        return false;
    }
    subtask.last_judged_run = crash.run;
    if (subtask.crashes.size() >= max_recorded_crashes)
    {
        subtask.crashes.erase(subtask.crashes.begin());
    }
    subtask.crashes.push_back(crash);
    step.crashed.insert(index);
    return true;
}

bool record_survival(step_state& step, std::uint32_t index, std::uint32_t run)
{
    const auto found = step.subtasks.find(index);
    if (found == step.subtasks.end())
    {
        return false;
    }
    auto& subtask = found->second;
    auto& crashes = subtask.crashes;
    const auto first_later = std::find_if(crashes.begin(), crashes.end(),
                                          [run](const crash_record& crash)
                                          {
                                              return crash.run > run;
                                          });
    if (first_later == crashes.begin() || run > subtask.last_run)
    {
        return false;
    }
    crashes.erase(crashes.begin(), first_later);
    subtask.last_judged_run = std::max(subtask.last_judged_run, run);
    if (crashes.empty())
    {
        step.crashed.erase(index);
    }
    return true;
}

void drop_if_ended(step_state& step, std::uint32_t index)
{
    const auto found = step.subtasks.find(index);
    if (found != step.subtasks.end() && found->second.active.empty() &&
        step.done.contains(index))
    {
        step.subtasks.erase(found);
    }
}

void add_subtask(step_state& step, std::uint32_t index,
                 const subtask_state& subtask)
{
    if (subtask.last_run == 0 ||
        (step.done.contains(index) && subtask.active.empty()))
    {
        return;
    }
    step.subtasks[index] = subtask;
    if (!subtask.active.empty())
    {
        step.active.insert(index);
    }
    if (!step.done.contains(index))
    {
        count_failures(step, subtask.failures, 1);
        if (!subtask.crashes.empty())
        {
            step.crashed.insert(index);
        }
    }
}

} // namespace limpetstack::fleet
