#pragma once

#include "coordination/fleet/worker_fleet.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A worker that may take subtasks of a step, with its free capacity.
struct placement_candidate
{
    const worker_session* worker = nullptr;
    resource_amounts free;
    std::uint32_t runs_of_step = 0; // Runs of the same step on this worker.
    bool has_fillers = false;       // Runs filler work.
    bool serves_users = false;      // Has runs with a tail-latency target.
    bool refuses_fillers = false;   // Takes no fillers beside these.
    bool last_resort = false;       // Used only when no other worker fits.
    bool quiet = true;              // No run is starting or has just started.
    bool steady = true;             // Has not just started.
    bool in_trial = false; // Runs a subtask that may crash it; takes no others.
    bool verified = true;  // Has answered the leader and reported to it.
    bool cold = false;     // Is still slow after the end of an evacuation.
    std::size_t speed_class = 0; // 0: the slowest, or the only class.
    double speed = 1;            // Relative to the median worker.
};

/// Returns the candidate with the given worker id, or null. `candidates` must
/// be sorted by worker id.
placement_candidate*
find_candidate(std::vector<placement_candidate>& candidates,
               const std::string& id);

/// Describes the subtasks of one step that are to be placed.
struct placement_request
{
    std::uint32_t count = 0;
    resource_amounts need;       // Need of each subtask.
    bool all_or_nothing = false; // Places all subtasks or none.
    bool same_rack = false;
    bool filler = false;
    bool serves_users = false;
    bool other_racks_allowed = false; // Racks other than the preferred one are
                                      // allowed, and a gang may span racks.
    // Preferences delay the step no longer.
    bool preferences_expired = false;
    bool last_resort_allowed = false; // Candidates of last resort are eligible.
    bool held_workers_allowed = true; // May use workers held for a gang.
    // The subtasks may crash their workers: they start only on quiet workers,
    // first on steady ones with the least work to lose.
    bool isolated = false;
    bool steady_only = false;   // Uses only workers that have not just started.
    bool verified_only = false; // Uses only workers known to be up.
    bool urgent = false; // Of priority 0: starts on the fastest class first,
                         // and on cold workers only when no others fit.
    // The slowest speed that meets the objective of the step.
    double slowest_speed = 0;
    std::string service;
    std::string required_label;
    std::string preferred_rack;
    std::uint32_t max_per_worker = 0; // 0: no limit.
    // Workers on which a subtask of the step has failed.
    std::set<std::string> failed_workers;
    // Addresses of workers that crashed under the subtasks; isolated subtasks
    // use others first, so that a worker's own fault shows.
    std::set<std::string> crashed_addresses;
    // Workers that the queue's policy allows; any worker when not set.
    std::optional<std::set<std::string>> allowed;
};

/// Returns true when the worker may run the request's subtasks, whatever its
/// free capacity.
bool is_eligible(const placement_candidate& candidate,
                 const placement_request& request);

/// Returns true when fillers and runs that serve users would share the worker.
/// The request prefers other workers.
bool would_share(const placement_candidate& candidate,
                 const placement_request& request);

/// Returns true when all subtasks of the request must be in one rack.
bool is_limited_to_one_rack(const placement_request& request);

/// Returns how many subtasks of the request fit into `free`, at most its count.
std::uint32_t count_fitting(const placement_candidate& candidate,
                            const resource_amounts& free,
                            const placement_request& request);

/// Chooses a worker for each subtask, as indices into `candidates`. Subtasks go
/// to the workers with the least free capacity that still fit them, so that
/// empty workers and racks stay free. With `all_or_nothing` the result is empty
/// unless all subtasks fit; otherwise it may be shorter than `count`. Where the
/// candidates have several speed classes, work starts on the slowest that meets
/// its objective, urgent work on the fastest, and a gang in one class if that
/// holds it. Classes never change how many subtasks are placed.
/// All candidates must be workers that may get placements.
std::vector<std::size_t>
choose_workers(const std::vector<placement_candidate>& candidates,
               const placement_request& request);

} // namespace limpetstack::fleet
