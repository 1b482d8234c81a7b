#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <vector>

namespace limpetstack::fleet
{

/// Progress of one run, as its worker lists it.
struct run_progress
{
    int percent = 0; // Of the run's own work.
    time_point started_at;
    time_point progressed_at; // The last rise of the percent, or the start.
    time_point listed_at;     // When the worker last listed the run.
    milliseconds estimate{0}; // Of the whole run time; 0: not known.
};

inline bool operator==(const run_progress& a, const run_progress& b)
{
    return a.percent == b.percent && a.started_at == b.started_at &&
           a.progressed_at == b.progressed_at && a.listed_at == b.listed_at &&
           a.estimate == b.estimate;
}

inline bool operator!=(const run_progress& a, const run_progress& b)
{
    return !(a == b);
}

/// Returns the time that the run has taken for each percent so far; 0 before
/// the first percent.
milliseconds time_per_percent(const run_progress& run);

/// Returns the time without progress after which the run counts as stalled.
/// It grows with the estimate and with the time that the run has taken for
/// each percent, so that slow workers and subtasks that take several times as
/// long as others do not count as stalled.
milliseconds stall_timeout(const run_progress& run);

/// Returns the indices of the stalled runs among the members of a gang; a
/// single run is a gang of one. A member that has done its own part lists 100
/// percent until the slowest member has ended, so it does not count as stalled
/// while another member has work left. When all have done their part, they are
/// stalled when none has progressed for its stall timeout.
std::vector<std::size_t>
stalled_members(const std::vector<run_progress>& members);

} // namespace limpetstack::fleet
