#pragma once

#include "base/clock.hpp"
#include "coordination/worker_calls.hpp"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace limpetstack
{

/// One member of a gang that has been placed.
struct gang_member
{
    std::string worker;
    std::string address;
    // When the member has certainly stopped if it is not renewed again.
    time_point lapse{};
    // Part of it that is due to calls without an answer, which workers may
    // still handle for as long as a lease lasts.
    time_point unanswered{};
    time_point seen{};  // Last time at which it was certainly running.
    bool done = false;  // Ran to its end.
    bool ended = false; // Certainly not running, done or not.
    double progress = 0;
};

enum class gang_phase
{
    adopting, // Found in the journal; its workers are being asked.
    starting,
    running,
    stopping
};

/// What becomes of a gang once all members have stopped.
enum class gang_end
{
    requeue, // Waits again; the end was no fault of the job.
    failure, // Waits again, or has failed after too many attempts.
    cancelled,
    done
};

struct gang
{
    wire::job_record record;
    std::vector<gang_member> members;
    gang_phase phase = gang_phase::starting;
    gang_end end = gang_end::requeue;
    std::string reason;
    bool cancelled = false; // An answered cancellation.
    bool proven = false;    // A renewal has seen all members running.
    bool ending = false;    // An operation is writing the end.
    bool reclaimed = false; // Its checkpoint is in progress.
    bool stop_sent = false;
    bool fenced = true;        // A worker of it knows this owner's epoch.
    time_point started{};      // Commit of this attempt.
    time_point confirmed{};    // Renewal in which its leases were extended.
    double start_progress = 0; // Of this attempt.
    double saved_progress = 0;
    double journaled_progress = 0;
};

/// Returns the earliest `seen` of the members that have not ended.
time_point oldest_seen(const gang& g);

/// Returns true when every member has certainly stopped at `now`.
bool certainly_stopped(const gang& g, time_point now);

/// Returns the checkpointed fraction of the whole gang.
double gang_progress(const gang& g);

/// Returns the task of a member as workers are told of it.
task_order order_of(const gang& g, std::size_t member);

/// Counts a call that lets the member run for `lease` before its outcome is
/// known: it may be carried out just before the present lease ends.
void expect_extension(gang_member& m, milliseconds lease, time_point now);

/// Takes an answer to such a call.
void confirm_extension(gang_member& m, milliseconds lease, time_point sent,
                       time_point answered);

/// Takes the lack of an answer. `delay` bounds how late a worker may handle
/// the call.
void miss_extension(gang_member& m, milliseconds lease, milliseconds delay,
                    time_point sent);

/// Collects calls so that each worker gets one.
class call_batch
{
public:
    /// Adds a member to its worker's call, or to a call for its gang alone.
    void add(const gang& g, std::size_t member, std::uint64_t epoch,
             milliseconds lease, bool alone = false);

    std::vector<worker_call>& calls() { return calls_; }

private:
    std::vector<worker_call> calls_;
    // By worker, lease and, for a gang alone, job. Gangs whose lease is running
    // out get calls of their own, so that they do not shorten the others'.
    std::map<std::tuple<std::string, milliseconds, std::string>, std::size_t>
        positions_;
};

} // namespace limpetstack
