#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/resource_amounts.hpp"
#include "coordination/fleet/run_pace.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace limpetstack::fleet
{

/// Returns a key that is unique for a subtask within the fleet.
std::string subtask_key(const run_ref& run);

/// Returns a key that the members of one run of a gang share.
std::string gang_key(const run_ref& run);

enum class run_phase
{
    proposed,  // The placement is proposed and not committed yet.
    committed, // The placement is committed; the start has not been sent.
    starting,  // The start has been sent and not answered yet.
    present,   // The worker accepted the start or listed the run.
    adopted    // An earlier leader placed it; the worker has not listed it.
};

/// When an attempt to start a run is over at the latest, and the lowest likely
/// time of the worker's clock then.
struct attempt_end
{
    time_point at;
    std::int64_t worker_time_ms = 0;
};

/// A run that is or may be present on a worker, as the leader sees it.
struct live_run
{
    run_ref ref;
    worker_incarnation incarnation; // On which it was placed.
    // On which it may be: a later incarnation of the same worker when that may
    // have received the start.
    worker_incarnation location;
    resource_amounts need;
    std::int64_t priority = 0;
    bool gang = false;
    bool checkpointable = false;
    bool lasting = false;
    bool filler = false;
    bool serves_users = false;
    std::int64_t tail_latency_target_ms = 0; // 0: it does not serve users.
    // The tail latency in the last lists, if they told it.
    std::optional<double> tail_ms;
    run_pace pace; // Of a filler.
    run_phase phase = run_phase::proposed;
    bool stop_requested = false;
    bool stop_sent = false;
    bool stop_acknowledged = false;
    bool stop_invalid = false; // A stop was answered as invalid.
    // The worker's clock when it first lacked the run after the end of the
    // lease of its start; 0: not yet.
    std::int64_t absent_since_ms = 0;
    bool end_proposed = false;
    // Its start waits for the end of an unknown run of its subtask, or of
    // another member of its gang, or for a ticket.
    bool waits = false;
    // Since when its start waits for a ticket.
    std::optional<time_point> ticket_wanted_at;
    int refused_tickets = 0;
    // The incarnation on which it was placed has listed it.
    bool listed_by_incarnation = false;
    int start_attempts = 0;
    int stop_attempts = 0;
    time_point first_sent_at;                // The first attempt to start it.
    std::optional<attempt_end> open_attempt; // The one without an answer yet.
    // The last unanswered one on a connection that was opened for it.
    std::optional<attempt_end> new_connection_attempt;
    // End of the lease that the attempts to start it grant, on the worker's
    // clock; 0: no attempt yet.
    std::int64_t start_lease_end_ms = 0;
    // The last change of the phase or of the progress of the stop order.
    time_point changed_at;
    // When the worker's lists were last requested to see the end of the
    // stopped run.
    time_point lists_requested_at;
    time_point started_at; // When the run became present.
    // The worker's clock when the run was present at the latest; 0: not yet.
    std::int64_t present_since_ms = 0;
    // The worker was up long enough after the start not to have been crashed
    // by it.
    bool outlived_start = false;
    std::string checkpoint;
    // The estimated run time of the whole subtask; often far off.
    std::int64_t estimate_ms = 0;
    int percent = 0;      // Progress, as the worker listed it.
    time_point listed_at; // When the worker last listed the run.
    // The last rise of `percent` or change of the checkpoint.
    time_point progressed_at;
    // Its speed was observed, or can not be: its start was not seen.
    bool speed_observed = false;
    // The last listing with a percent that shows the speed; 0: none yet.
    int sampled_percent = 0;
    time_point sampled_at;
    // The first listing that showed the whole run's own work as done.
    std::optional<time_point> done_listed_at;
};

} // namespace limpetstack::fleet
