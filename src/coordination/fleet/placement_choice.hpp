#pragma once

#include "coordination/fleet/worker_fleet.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// What one worker has left for a demand.
struct worker_room
{
    const worker_session* worker = nullptr;
    resource_amounts free;
    std::uint32_t of_step = 0; // Runs of the demand's step that are there.
    bool has_fillers = false;
    bool serves_users = false; // Holds runs with a tail latency to keep.
};

/// Subtasks of one step that are to be placed.
struct placement_request
{
    std::uint32_t count = 0;
    resource_amounts need; // Of each.
    bool whole = false;    // All at once or none.
    bool same_rack = false;
    bool filler = false;
    bool serves_users = false;
    bool far_allowed = false; // Other racks than the preferred ones will do.
    std::string service;
    std::string required_label;
    std::string preferred_rack;
    std::uint32_t max_per_worker = 0; // 0: no limit.
    std::set<std::string> avoided;    // Workers to use only as a last resort.
    // Workers that the queue's policy allows; nothing: any.
    std::optional<std::set<std::string>> allowed;
};

/// Returns true when the worker may run the request's subtasks at all.
bool is_eligible(const worker_room& room, const placement_request& request);

/// Returns how many subtasks of the request fit into `free`.
std::uint32_t slots(const worker_room& room, const resource_amounts& free,
                    const placement_request& request);

/// Chooses a worker for each subtask, as indices into `rooms`. Subtasks go to
/// the fullest workers that take them, so that whole workers and racks stay
/// free. With `whole` the result is empty when not all fit, else it may be
/// shorter than `count`. Rooms without eligible workers must be left out.
std::vector<std::size_t> choose_workers(const std::vector<worker_room>& rooms,
                                        const placement_request& request);

} // namespace limpetstack::fleet
