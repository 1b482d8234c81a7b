#pragma once

#include <cstdint>
#include <string>

namespace limpetstack::fleet
{

/// What a crash says about a run that had just started on the worker.
enum class crash_cause
{
    unknown, // The worker may have been lost for another reason.
    shared,  // One of several runs, of several jobs, crashed the worker.
    sole     // The run, or another one of its job, crashed the worker.
};

/// The crash of a worker soon after it had started a run of a subtask.
struct crash_record
{
    std::uint32_t run = 0;
    std::string worker;
    std::string address;    // Of the worker.
    std::int64_t at_ms = 0; // Unix time at which the leader recorded it.
    crash_cause cause = crash_cause::unknown;
};

inline bool operator==(const crash_record& a, const crash_record& b)
{
    return a.run == b.run && a.worker == b.worker && a.address == b.address &&
           a.at_ms == b.at_ms && a.cause == b.cause;
}

inline bool operator!=(const crash_record& a, const crash_record& b)
{
    return !(a == b);
}

} // namespace limpetstack::fleet
