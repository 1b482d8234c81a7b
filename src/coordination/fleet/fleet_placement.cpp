// Places pending steps on workers.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Time for which capacity that urgent work took stays reserved for more urgent
// work.
constexpr milliseconds headroom_window{4000};

// Returns a key that is equal for requests that fit on the same candidates.
std::string shape_of(const placement_request& request, bool last_resort)
{
    return absl::StrCat(
        request.service, "/", request.required_label, "/",
        request.preferred_rack, "/", request.need.cpu_milli, "/",
        request.need.memory_mb, "/", request.need.accelerators, "/",
        request.all_or_nothing ? request.count : 0, "/", request.same_rack, "/",
        request.other_racks_allowed, "/", request.held_workers_allowed, "/",
        request.max_per_worker, "/", request.filler, "/", request.serves_users,
        "/", request.isolated, "/", request.steady_only, "/",
        request.verified_only, "/", last_resort);
}

// Returns the lowest `count` indices of the set.
std::vector<std::uint32_t> first_of(const index_set& indices, std::size_t count)
{
    std::vector<std::uint32_t> first;
    first.reserve(count);
    for (const auto& [range_first, range_end] : indices.ranges())
    {
        for (auto index = range_first;
             index < range_end && first.size() < count; ++index)
        {
            first.push_back(index);
        }
    }
    return first;
}

} // namespace

void fleet_scheduler::refresh_candidates(time_point now)
{
    candidates_.clear();
    unplaceable_shapes_.clear();
    losses_rare_ = workers_.are_losses_rare(now);
    const auto& speeds = workers_.refreshed_speed_classes(now);
    for (const auto& [id, worker] : workers_.workers())
    {
        const auto availability = workers_.availability(worker, now);
        if (availability == worker_availability::usable ||
            availability == worker_availability::avoided)
        {
            candidates_.push_back(
                {&worker, worker.capacity - worker.used, 0,
                 worker.filler_runs > 0, worker.serving_runs > 0,
                 worker_fleet::refuses_fillers(worker, now),
                 availability == worker_availability::avoided,
                 workers_.is_quiet(worker, now),
                 worker_fleet::is_steady(worker, now), now < worker.trial_until,
                 workers_.is_verified(worker, now), is_cold(worker, now),
                 class_of(worker.speed, speeds, now),
                 speed_of(worker.speed, speeds, now)});
        }
    }
    for (auto at = reservations_.begin(); at != reservations_.end();)
    {
        const auto expired = at++;
        if (expired->second.until <= now)
        {
            update_reserved(expired->second, -1);
            reservations_.erase(expired);
        }
    }
    for (const auto& [id, reserved] : reserved_)
    {
        if (auto* const candidate = find_candidate(candidates_, id))
        {
            candidate->free = candidate->free - reserved;
        }
    }
    for (auto& [service, capacity_of_service] : services_)
    {
        capacity_of_service.total = {};
        capacity_of_service.free = {};
        capacity_of_service.installed = {};
        capacity_of_service.used = {};
    }
    for (const auto& [id, worker] : workers_.workers())
    {
        if (!workers_.is_present(worker, now))
        {
            continue;
        }
        auto& capacity = capacity_of(worker.record.service());
        capacity.installed = capacity.installed + worker.capacity;
        capacity.used = capacity.used + worker.used;
    }
    for (const auto& candidate : candidates_)
    {
        if (candidate.last_resort)
        {
            continue;
        }
        const auto& service = candidate.worker->record.service();
        auto& capacity = capacity_of(service);
        capacity.free = capacity.free + non_negative(candidate.free);
        capacity.total = capacity.total + candidate.worker->capacity;
    }
    std::int64_t headroom_accelerators = 0;
    for (auto& [service, capacity_of_service] : services_)
    {
        capacity_of_service.headroom.refresh(capacity_of_service.total, now);
        headroom_accelerators +=
            capacity_of_service.headroom.reserved().accelerators;
    }
    counters_.set("urgent_headroom_accelerators",
                  static_cast<double>(headroom_accelerators));
}

fleet_scheduler::service_capacity&
fleet_scheduler::capacity_of(const std::string& service)
{
    return services_
        .try_emplace(
            service,
            service_capacity{
                {}, {}, {}, {}, urgent_headroom(headroom_window), {}, {}})
        .first->second;
}

std::int64_t fleet_scheduler::given_to_less_urgent(const queue_config& queue)
{
    const auto& given = capacity_of(queue.service).given;
    return std::accumulate(given.upper_bound(queue.priority), given.end(),
                           std::int64_t{0},
                           [](std::int64_t sum, const auto& entry)
                           {
                               return sum + entry.second;
                           });
}

void fleet_scheduler::change_free(placement_candidate& candidate,
                                  const resource_amounts& change)
{
    if (candidate.last_resort)
    {
        candidate.free = candidate.free + change;
        return;
    }
    auto& free = capacity_of(candidate.worker->record.service()).free;
    free = free - non_negative(candidate.free);
    candidate.free = candidate.free + change;
    free = free + non_negative(candidate.free);
}

// Returns the candidates for one pending step: capacity that is reserved for
// this step counts as free.
std::vector<placement_candidate>
fleet_scheduler::candidates_for(const pending_step_key& key,
                                const pending_step& item,
                                const placement_request& request) const
{
    auto candidates = candidates_;
    const auto found = reservations_.find(key);
    if (found != reservations_.end())
    {
        for (const auto& [id, reserved] : found->second.reserved_by_worker)
        {
            if (auto* const candidate = find_candidate(candidates, id))
            {
                candidate->free = candidate->free + reserved;
            }
        }
    }
    const auto hold = gang_holds_.find(item.queue.service);
    if (hold != gang_holds_.end() && !request.held_workers_allowed)
    {
        for (const auto& [id, held] : hold->second.held)
        {
            if (auto* const candidate = find_candidate(candidates, id))
            {
                candidate->free = candidate->free - held;
            }
        }
    }
    if (item.spec->max_per_worker() > 0)
    {
        const auto prefix =
            absl::StrCat(item.job, ".", item.occurrence, ".", item.step, ".");
        for (auto& candidate : candidates)
        {
            const auto& runs = candidate.worker->runs;
            candidate.runs_of_step = static_cast<std::uint32_t>(std::count_if(
                runs.lower_bound(prefix), runs.end(),
                [&prefix](const std::string& run)
                {
                    return run.compare(0, prefix.size(), prefix) == 0;
                }));
        }
    }
    return candidates;
}

// Places the first subtasks of `indices`, one on each chosen candidate.
void fleet_scheduler::commit(pending_step& item, const index_set& indices,
                             const placement_request& request,
                             const std::vector<placement_candidate>& candidates,
                             const std::vector<std::size_t>& chosen,
                             time_point now)
{
    run_ref ref;
    ref.set_job(item.job);
    ref.set_occurrence(item.occurrence);
    ref.set_step(item.step);
    ref.set_index(0);
    std::uint32_t gang_run = 1;
    const auto* const step = state_.find_step(ref);
    if (item.all_or_nothing() && step != nullptr)
    {
        for (const auto& [index, subtask] : step->subtasks)
        {
            gang_run = std::max(gang_run, subtask.last_run + 1);
        }
    }
    placements_left_ -= std::min(placements_left_, chosen.size());
    if (runs_by_holder_)
    {
        (*runs_by_holder_)[holder_of(item)] += chosen.size();
    }
    const auto& speeds = workers_.refreshed_speed_classes(now);
    const auto placed = first_of(indices, chosen.size());
    for (std::size_t i = 0; i < chosen.size(); ++i)
    {
        ref.set_index(placed[i]);
        const auto* const subtask = state_.find_subtask(ref);
        ref.set_run(item.all_or_nothing() ? gang_run
                    : subtask == nullptr  ? 1
                                          : subtask->last_run + 1);
        const auto& worker = *candidates[chosen[i]].worker;
        log_event(log_level::info, "run_placed",
                  {{"job", item.job},
                   {"run", worker_fleet::key_of(ref)},
                   {"worker", worker.record.id()},
                   {"rack", worker.record.rack()},
                   {"priority", absl::StrCat(item.queue.priority)},
                   {"waited_ms", absl::StrCat((now - item.since).count())},
                   {"document", absl::StrCat(state_.document().version())},
                   {"speed", speeds.count() > 1
                                 ? absl::StrCat(candidates[chosen[i]].speed)
                                 : std::string()}});
        workers_.place(ref, worker, *item.spec, item.queue.priority, now);
        auto& candidate = candidates_[chosen[i]];
        change_free(candidate, resource_amounts{} - request.need);
        auto& capacity = capacity_of(request.service);
        capacity.used = capacity.used + request.need;
        capacity.given[item.queue.priority] += request.need.accelerators;
        if (item.queue.priority == 0)
        {
            capacity.headroom.record(request.need, now);
        }
        else if (!item.spec->lasting())
        {
            capacity.backfill.add_used(item.queue.priority, request.need);
        }
        candidate.has_fillers = candidate.has_fillers || request.filler;
        candidate.serves_users = candidate.serves_users || request.serves_users;
    }
    counters_.add(absl::StrCat("accelerators_given_total{priority=\"",
                               item.queue.priority, "\"}"),
                  static_cast<std::uint64_t>(request.need.accelerators) *
                      chosen.size());
    counters_.observe_latency(
        absl::StrCat("placement_wait_ms{queue=\"", item.queue.name, "\"}"),
        static_cast<double>((now - item.since).count()));
    for (const auto index : placed)
    {
        item.indices.erase(index);
        item.suspects.erase(index);
        item.repeated_suspects.erase(index);
    }
}

// Places as many subtasks of the step as fit. Returns true when none remains.
// A subtask under which a worker crashed starts alone on its worker, so that
// another crash can be put down to it, and one such subtask at a time.
bool fleet_scheduler::place(const pending_step_key& key, pending_step& item,
                            time_point now)
{
    auto request = request_for(item, now);
    const auto indices = startable_indices(item, now);
    if (!losses_rare_)
    {
        item.calm_since.reset();
    }
    if (indices.empty())
    {
        item.obstacle = placement_obstacle::crashes;
        return false;
    }
    auto others = indices;
    others.erase(item.suspects);
    if (others.size() < indices.size())
    {
        if (item.all_or_nothing())
        {
            place_suspects(key, item, indices, request, now);
            return item.indices.empty();
        }
        const auto repeated = intersection(item.repeated_suspects, indices);
        auto once = item.suspects;
        once.erase(item.repeated_suspects);
        place_suspects(key, item, repeated, request, now);
        place_suspects(key, item, once, request, now);
    }
    request.count = others.size();
    if (request.count > 0)
    {
        place_subtasks(key, item, others, std::move(request), now);
    }
    return item.indices.empty();
}

// Places as many subtasks of the request as fit, the lowest of `indices` first.
void fleet_scheduler::place_subtasks(const pending_step_key& key,
                                     pending_step& item,
                                     const index_set& indices,
                                     placement_request request, time_point now)
{
    const auto found = reservations_.find(key);
    const bool reserved = found != reservations_.end();
    // While runs are being stopped to free capacity in the preferred rack, the
    // step waits for it instead of starting on another rack.
    request.other_racks_allowed =
        request.other_racks_allowed &&
        (!reserved || found->second.other_racks || request.preferences_expired);
    const bool last_resort = reserved ? found->second.last_resort
                                      : may_use_last_resort(item, request, now);
    const auto shape = shape_of(request, last_resort);
    item.obstacle = request.allowed ? placement_obstacle::policy
                                    : placement_obstacle::capacity;
    if (!reserved && !request.allowed && unplaceable_shapes_.count(shape) > 0)
    {
        return;
    }
    if (placements_left_ == 0 || !limit_to_reserves(item, request))
    {
        return;
    }
    if (!request.all_or_nothing)
    {
        request.count = static_cast<std::uint32_t>(
            std::min<std::size_t>(request.count, placements_left_));
    }
    const auto allowed = allowed_runs(item, request.count);
    if (allowed == 0 || (request.all_or_nothing && allowed < request.count))
    {
        item.obstacle = placement_obstacle::run_limit;
        return;
    }
    request.count = static_cast<std::uint32_t>(allowed);
    const auto candidates = candidates_for(key, item, request);
    auto chosen = choose_workers(candidates, request);
    if (chosen.empty() && last_resort)
    {
        request.last_resort_allowed = true;
        chosen = choose_workers(candidates, request);
    }
    if (item.queue.policy && chosen.size() < request.count)
    {
        ask_policy(key, item, request, now);
    }
    if (chosen.empty())
    {
        if (request.max_per_worker == 0 && !request.allowed)
        {
            unplaceable_shapes_.insert(shape);
        }
        return;
    }
    std::vector<std::string> used;
    used.reserve(chosen.size());
    for (const auto i : chosen)
    {
        used.push_back(candidates[i].worker->record.id());
    }
    commit(item, indices, request, candidates, chosen, now);
    use_reservation(key, used, request.need);
    if (request.isolated)
    {
        begin_trials(used, now);
    }
}

} // namespace limpetstack::fleet
