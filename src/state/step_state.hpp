#pragma once

#include "fleet.pb.h"
#include "state/crash_record.hpp"
#include "state/index_set.hpp"
#include "state/worker_incarnation.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A run that may be present on a worker.
struct active_run
{
    std::uint32_t run = 0;
    worker_incarnation incarnation;
};

struct subtask_state
{
    std::uint32_t last_run = 0;
    std::uint32_t failures = 0;
    // Crashes of workers that had just started the subtask, since the last run
    // that did not crash its worker; oldest first.
    std::vector<crash_record> crashes;
    // Later reports about the runs up to this one change `crashes` no more.
    std::uint32_t last_judged_run = 0;
    std::string checkpoint;
    std::vector<active_run> active;
};

/// The state of a step. What it occupies, and the time of a change, follow the
/// subtasks that have been placed and are not done, not the declared number.
struct step_state
{
    std::uint32_t subtask_count = 0;
    index_set done;   // Subtasks that are done.
    index_set active; // Subtasks with a run that may be present.
    // Subtasks that have been placed and are not done, and done ones with a run
    // that may be present, by index.
    std::map<std::uint32_t, subtask_state> subtasks;
    // The number of subtasks that are not done, by their failures from 1 on.
    std::map<std::uint32_t, std::uint32_t> subtasks_by_failures;
    // Subtasks that are not done and under which a worker has crashed.
    std::set<std::uint32_t> crashed;
    std::uint32_t failures = 0; // Failed runs of a gang, each counted once.
    std::uint32_t last_failed_run = 0;
    std::string checkpoint; // Last checkpoint of any member of a gang.
    // The run of a gang that completed it; 0: not done, or not known.
    std::uint32_t done_run = 0;
};

/// Returns the state of the steps of an occurrence that has not begun.
std::vector<step_state> new_steps(const job_spec& spec);

/// Returns true when every subtask of the step is done.
bool is_done(const step_state& step);

/// Returns the highest number of failures of a subtask that is not done.
std::uint32_t most_failures(const step_state& step);

/// Records that run number `run` of the subtask is done. The members of a gang
/// end together, so the first such end completes all of them.
void record_done(step_state& step, const step_spec& spec, std::uint32_t index,
                 std::uint32_t run);

/// Records that a run of the recorded subtask has failed.
void record_failure(step_state& step, std::uint32_t index);

/// Records that a worker crashed soon after it had started a run of the
/// subtask. Returns false if the run is already known to have crashed its
/// worker, or not to have.
bool record_crash(step_state& step, std::uint32_t index,
                  const crash_record& crash);

/// Records that the run did not crash its worker. Returns false if the subtask
/// has no crashes under this run or earlier ones.
bool record_survival(step_state& step, std::uint32_t index, std::uint32_t run);

/// Forgets the state of a subtask that is done and has no run that may be
/// present.
void drop_if_ended(step_state& step, std::uint32_t index);

/// Adds the state of a subtask that a snapshot holds. `step.done` must be
/// complete for the subtask.
void add_subtask(step_state& step, std::uint32_t index,
                 const subtask_state& subtask);

} // namespace limpetstack::fleet
