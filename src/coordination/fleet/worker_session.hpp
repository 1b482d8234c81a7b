#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/filler_pace.hpp"
#include "coordination/fleet/lease_clock.hpp"
#include "coordination/fleet/resource_amounts.hpp"
#include "coordination/fleet/unknown_run.hpp"
#include "coordination/fleet/worker_speed.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// The last attempt to start a run, sent a short time before another start.
struct recent_start
{
    run_ref run;
    time_point at;
};

/// The leader's view of one incarnation of a worker.
struct worker_session
{
    explicit worker_session(lease_clock leases)
        : clock(leases)
    {
    }

    worker_record record;
    resource_amounts capacity;
    resource_amounts used; // Sum of the needs of all live and unknown runs.
    lease_clock clock;
    std::set<std::string> runs; // Keys of the live runs on the worker.
    std::map<std::string, unknown_run> unknown_runs; // By key.
    // The highest time of its clock at which the worker listed its runs.
    std::int64_t lists_time_ms = 0;
    // Number of live runs that use the processor time that others leave.
    std::size_t filler_runs = 0;
    // Number of live runs with a tail latency target.
    std::size_t serving_runs = 0;
    // The pace of the fillers, while there are runs of both kinds.
    std::optional<filler_pace> pace;
    bool pace_not_supported = false; // It has no order to pace a run.
    // Until then it takes no fillers beside serving runs: one had to be stopped
    // because it could not be paced.
    time_point no_fillers_until;
    milliseconds filler_pause{0};
    std::uint64_t last_sequence = 0; // Highest number of a report.
    time_point last_report;          // When the last report arrived.
    time_point warm_at; // Until then it is slow after its start, by its report.
    // The worker numbers the ends of its runs; ends up to this number are
    // committed.
    std::uint64_t committed_end = 0;
    // The highest number of an end that the worker has listed.
    std::uint64_t listed_end = 0;
    // The highest number of an end that a hold or list request acknowledged and
    // the worker answered.
    std::uint64_t acknowledged_end = 0;
    // Keys of runs whose end was listed and proposed, but is not committed.
    std::set<std::string> pending_ends;
    // The worker has answered under this leader's epoch.
    bool confirmed = false;
    bool reported = false; // It has reported to this leader.
    bool holding = false;  // A hold call has been sent and not answered.
    // When its runs were stopped because it leaves. Its lease is not renewed.
    std::optional<time_point> departing_since;
    bool removal_proposed = false; // Its removal from the state is proposed.
    // It was removed from the state, and is kept until its runs have ended.
    bool removed = false;
    // Orders and holds without an answer since the last answer of any kind.
    int missed_answers = 0;
    // The probability that a worker which is up leaves that many unanswered.
    double missed_probability = 1;
    // When a later incarnation answered that has not reported yet. The worker
    // gets no placements.
    std::optional<time_point> replaced_at;
    // The missing answers suggest that the worker is down or disconnected. It
    // gets no placements and no new lease until it answers.
    bool unreachable = false;
    time_point unreachable_since;
    // Holds wait only for the shortest time until then, after a failed hold.
    time_point short_holds_until;
    time_point retry_at; // No hold is sent before this time.
    // The last accepted answer to a hold or list request.
    time_point last_answer;
    // Before this time the worker gets placements only when no other fits.
    time_point avoid_until;
    time_point refuses_until; // The worker gets no placement before this time.
    time_point added_at;      // When this leader first knew the incarnation.
    // The last start, and those sent shortly before it; oldest first.
    std::deque<recent_start> recent_starts;
    time_point last_contact; // The last answer of any kind.
    // When the worker closed its connection, if it has not answered since.
    std::optional<time_point> closed_at;
    bool crash_recorded = false;
    // A run that may crash the worker is on trial until then; no other start is
    // sent to the worker.
    time_point trial_until;
    speed_estimate speed; // From the times of its runs under this leader.
};

} // namespace limpetstack::fleet
