#pragma once

#include "base/clock.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace limpetstack
{

enum class worker_action
{
    reserve,    // Holds resources for the tasks under the lease.
    commit,     // Starts reserved tasks.
    renew,      // Extends the leases; never revives one that has expired.
    stop,       // Stops the tasks and frees their resources.
    checkpoint, // Saves the tasks' progress.
    throttle    // Slows the tasks down.
};

enum class task_state
{
    unknown, // The worker does not hold the task.
    reserved,
    running,
    checkpointed, // Its progress is saved; it may run on until stopped.
    done,
    failed,
    stopped
};

/// One member of a gang, as a worker runs it.
struct task_order
{
    std::string job;
    std::uint32_t attempt = 0;
    std::uint32_t member = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint64_t memory_mib = 0;
    std::string command;
    double progress = 0; // Checkpointed fraction to continue from, 0 to 1.
};

struct worker_request
{
    std::uint64_t epoch = 0; // Fencing token: workers refuse lower epochs.
    milliseconds lease{0};   // From the moment the worker handles the request.
    std::vector<task_order> tasks;
};

struct task_status
{
    std::string job;
    std::uint32_t attempt = 0;
    std::uint32_t member = 0;
    task_state state = task_state::unknown;
    double progress = 0; // Checkpointed fraction, 0 to 1.
};

/// Calls to workers. Calls may come from several threads.
class worker_control
{
public:
    virtual ~worker_control() = default;

    /// Carries out `action` on the worker at `address` (IP:port) for all tasks
    /// of the request. `kFailedPrecondition`: the worker refused and changed
    /// nothing. After any other error the worker may have carried it out, or
    /// may still do so.
    virtual absl::StatusOr<std::vector<task_status>>
    call(worker_action action, const std::string& address,
         const worker_request& request, milliseconds timeout) = 0;
};

} // namespace limpetstack
