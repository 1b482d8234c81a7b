// Placement of demands, and room that is made for urgent ones.
#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"
#include "coordination/fleet/victim_choice.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Accelerators weigh as much as this many cores when lost work is compared.
constexpr std::int64_t cores_per_accelerator = 8;

// Room that is kept for a step while runs are stopped for it.
constexpr milliseconds reservation_time{1500};

// Share of the reclaim bound after which a step inside a guarantee starts away
// from its rack.
constexpr double reclaim_patience = 0.35;

// Time in which room that urgent work took is left free for more of it.
constexpr milliseconds headroom_window{4000};

// Share of the time that waiting for a near place may cost.
constexpr double near_patience = 0.8;

double weight(const resource_amounts& need)
{
    return static_cast<double>(need.cpu_milli) / 1000.0 +
           static_cast<double>(need.accelerators * cores_per_accelerator);
}

// Rooms are in the order of their workers' ids.
worker_room* find_room(std::vector<worker_room>& rooms, const std::string& id)
{
    const auto found =
        std::lower_bound(rooms.begin(), rooms.end(), id,
                         [](const worker_room& room, const std::string& wanted)
                         {
                             return room.worker->record.id() < wanted;
                         });
    return found != rooms.end() && found->worker->record.id() == id ? &*found
                                                                    : nullptr;
}

// What others may use of a room; less than nothing is free when more is
// reserved than the stopped runs have left so far.
resource_amounts usable(const resource_amounts& free)
{
    return {std::max<std::int64_t>(free.cpu_milli, 0),
            std::max<std::int64_t>(free.memory_mb, 0),
            std::max<std::int64_t>(free.accelerators, 0)};
}

} // namespace

placement_request fleet_scheduler::request_for(const demand& item,
                                               time_point now) const
{
    const auto& spec = *item.spec;
    placement_request request;
    request.count = static_cast<std::uint32_t>(item.indices.size());
    request.need = counted_need(spec);
    request.whole = spec.gang();
    request.same_rack = spec.same_rack() && spec.gang();
    request.service = item.queue.service;
    request.required_label = spec.required_label();
    request.preferred_rack = spec.preferred_rack();
    request.max_per_worker = spec.max_per_worker();
    request.filler = spec.filler();
    request.serves_users = spec.tail_latency_ms() > 0;
    const auto estimate = static_cast<double>(spec.estimate_ms());
    const auto allowance = static_cast<double>(item.queue.allowance_ms);
    auto patience =
        near_patience * ((item.queue.stretch - 1) * estimate + allowance);
    if (item.queue.priority == 0)
    {
        patience = std::min(patience,
                            reclaim_patience *
                                static_cast<double>(options_.reclaim.count()));
    }
    request.far_allowed =
        static_cast<double>((now - item.since).count()) >= patience;
    if (item.queue.policy)
    {
        request.allowed.emplace();
        for (const auto& room : rooms_)
        {
            const auto& record = room.worker->record;
            if (tickets_.find({item.job, item.occurrence, item.step},
                              {record.id(), record.born_ms()}, now) != nullptr)
            {
                request.allowed->insert(record.id());
            }
        }
    }
    run_ref ref;
    ref.set_job(item.job);
    ref.set_occurrence(item.occurrence);
    ref.set_step(item.step);
    for (const auto index : item.indices)
    {
        ref.set_index(index);
        const auto found = failed_on_.find(subtask_key(ref));
        if (found != failed_on_.end())
        {
            request.avoided.insert(found->second.begin(), found->second.end());
        }
    }
    return request;
}

void fleet_scheduler::survey_rooms(time_point now)
{
    rooms_.clear();
    misses_.clear();
    for (const auto& [id, worker] : workers_.workers())
    {
        if (workers_.is_usable(worker, now))
        {
            rooms_.push_back({&worker, worker.capacity - worker.used, 0,
                              worker.filler_runs > 0, worker.serving_runs > 0});
        }
    }
    for (auto at = reservations_.begin(); at != reservations_.end();)
    {
        const auto expired = at++;
        if (expired->second.until <= now)
        {
            count_reserved(expired->second, -1);
            reservations_.erase(expired);
        }
    }
    for (const auto& [id, kept] : reserved_)
    {
        if (auto* const room = find_room(rooms_, id))
        {
            room->free = room->free - kept;
        }
    }
    std::map<std::string, resource_amounts> capacities;
    for (auto& [service, room] : services_)
    {
        room.free = {};
    }
    for (const auto& room : rooms_)
    {
        const auto& service = room.worker->record.service();
        auto& free = room_of(service).free;
        free = free + usable(room.free);
        auto& capacity = capacities[service];
        capacity = capacity + room.worker->capacity;
    }
    std::int64_t kept = 0;
    for (auto& [service, room] : services_)
    {
        room.headroom.refresh(capacities[service], now);
        kept += room.headroom.kept().accelerators;
    }
    counters_.set("urgent_headroom_accelerators", static_cast<double>(kept));
}

fleet_scheduler::service_room&
fleet_scheduler::room_of(const std::string& service)
{
    return services_
        .try_emplace(service,
                     service_room{{}, urgent_headroom(headroom_window)})
        .first->second;
}

void fleet_scheduler::change_room(worker_room& room,
                                  const resource_amounts& change)
{
    auto& free = room_of(room.worker->record.service()).free;
    free = free - usable(room.free);
    room.free = room.free + change;
    free = free + usable(room.free);
}

// Adds (1) or removes (-1) a reservation's rooms from the sums.
void fleet_scheduler::count_reserved(const reservation& kept, int sign)
{
    for (const auto& [id, room] : kept.rooms)
    {
        auto& sum = reserved_[id];
        sum = sign > 0 ? sum + room : sum - room;
    }
}

void fleet_scheduler::reserve(const demand_key& key, reservation kept)
{
    count_reserved(kept, 1);
    for (const auto& [id, room] : kept.rooms)
    {
        if (auto* const at = find_room(rooms_, id))
        {
            change_room(*at, resource_amounts{} - room);
        }
    }
    reservations_[key] = std::move(kept);
}

void fleet_scheduler::unreserve(const demand_key& key)
{
    const auto held = reservations_.find(key);
    if (held == reservations_.end())
    {
        return;
    }
    count_reserved(held->second, -1);
    for (const auto& [id, room] : held->second.rooms)
    {
        if (auto* const at = find_room(rooms_, id))
        {
            change_room(*at, room);
        }
    }
    reservations_.erase(held);
}

// Returns the rooms as the demand sees them: what is kept for it is free.
std::vector<worker_room> fleet_scheduler::rooms_for(const demand_key& key,
                                                    const demand& item) const
{
    auto rooms = rooms_;
    const auto held = reservations_.find(key);
    if (held != reservations_.end())
    {
        for (const auto& [id, kept] : held->second.rooms)
        {
            if (auto* const room = find_room(rooms, id))
            {
                room->free = room->free + kept;
            }
        }
    }
    if (item.spec->max_per_worker() > 0)
    {
        const auto prefix =
            absl::StrCat(item.job, ".", item.occurrence, ".", item.step, ".");
        for (auto& room : rooms)
        {
            const auto& runs = room.worker->runs;
            room.of_step = static_cast<std::uint32_t>(std::count_if(
                runs.lower_bound(prefix), runs.end(),
                [&prefix](const std::string& run)
                {
                    return run.compare(0, prefix.size(), prefix) == 0;
                }));
        }
    }
    return rooms;
}

void fleet_scheduler::commit(demand& item, const placement_request& request,
                             const std::vector<worker_room>& rooms,
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
    if (item.whole() && step != nullptr)
    {
        for (const auto& subtask : step->subtasks)
        {
            gang_run = std::max(gang_run, subtask.last_run + 1);
        }
    }
    for (std::size_t i = 0; i < chosen.size(); ++i)
    {
        const auto index = item.indices[i];
        ref.set_index(index);
        ref.set_run(item.whole()      ? gang_run
                    : step == nullptr ? 1
                                      : step->subtasks[index].last_run + 1);
        const auto& worker = *rooms[chosen[i]].worker;
        log_event(log_level::info, "run_placed",
                  {{"job", item.job},
                   {"run", worker_fleet::key_of(ref)},
                   {"worker", worker.record.id()},
                   {"rack", worker.record.rack()},
                   {"priority", absl::StrCat(item.queue.priority)},
                   {"waited_ms", absl::StrCat((now - item.since).count())},
                   {"document", absl::StrCat(state_.document().version())}});
        const auto* const ticket =
            tickets_.find({item.job, item.occurrence, item.step},
                          {worker.record.id(), worker.record.born_ms()}, now);
        workers_.place(ref, worker, *item.spec, item.queue.priority,
                       ticket == nullptr ? std::string() : *ticket, now);
        auto& room = rooms_[chosen[i]];
        change_room(room, resource_amounts{} - request.need);
        if (item.queue.priority == 0)
        {
            room_of(request.service).headroom.note(request.need, now);
        }
        room.has_fillers = room.has_fillers || request.filler;
        room.serves_users = room.serves_users || request.serves_users;
    }
    counters_.observe_latency(
        absl::StrCat("placement_wait_ms{queue=\"", item.queue.name, "\"}"),
        static_cast<double>((now - item.since).count()));
    item.indices.erase(item.indices.begin(),
                       item.indices.begin() +
                           static_cast<std::ptrdiff_t>(chosen.size()));
}

// Asks the queue's policy about workers that could take the step: those near
// its data first, then those with the most room now.
void fleet_scheduler::ask_policy(const demand_key& key, const demand& item,
                                 placement_request request, time_point now)
{
    request.allowed.reset();
    std::vector<std::tuple<bool, std::int64_t, const worker_record*>> order;
    for (const auto& room : rooms_)
    {
        const auto& record = room.worker->record;
        if (is_eligible(room, request) &&
            slots(room, room.worker->capacity, request) > 0)
        {
            order.emplace_back(
                record.rack() != request.preferred_rack,
                -static_cast<std::int64_t>(slots(room, room.free, request)),
                &record);
        }
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b)
                     {
                         return std::tie(std::get<0>(a), std::get<1>(a)) <
                                std::tie(std::get<0>(b), std::get<1>(b));
                     });
    std::vector<policy_candidate> candidates;
    candidates.reserve(order.size());
    for (const auto& [away, room, record] : order)
    {
        candidates.push_back({record->id(), record->born_ms()});
    }
    tickets_.ask(key, *item.queue.policy, candidates, now);
}

// Returns true when everything that waited has a place.
bool fleet_scheduler::place(const demand_key& key, demand& item, time_point now)
{
    auto request = request_for(item, now);
    const bool reserved = reservations_.count(key) > 0;
    // Room near its data is being made for it.
    request.far_allowed = request.far_allowed && !reserved;
    const auto shape = absl::StrCat(
        request.service, "/", request.required_label, "/",
        request.preferred_rack, "/", request.need.cpu_milli, "/",
        request.need.memory_mb, "/", request.need.accelerators, "/",
        request.whole ? request.count : 0, "/", request.same_rack, "/",
        request.far_allowed, "/", request.max_per_worker, "/", request.filler,
        "/", request.serves_users);
    if (!reserved && !request.allowed && misses_.count(shape) > 0)
    {
        return false;
    }
    // What lasts starts wherever there is room, however full the service is.
    if (item.queue.priority > 0 && !item.spec->lasting())
    {
        const auto& service = room_of(request.service);
        const auto allowed =
            service.headroom.allowed(service.free, request.need, request.count);
        if (allowed == 0 || (request.whole && allowed < request.count))
        {
            return false;
        }
        request.count = allowed;
    }
    const auto rooms = rooms_for(key, item);
    const auto chosen = choose_workers(rooms, request);
    if (item.queue.policy && chosen.size() < request.count)
    {
        ask_policy(key, item, request, now);
    }
    if (chosen.empty())
    {
        if (request.max_per_worker == 0 && !request.allowed)
        {
            misses_.insert(shape);
        }
        return false;
    }
    commit(item, request, rooms, chosen, now);
    unreserve(key);
    return item.indices.empty();
}

void fleet_scheduler::reclaim(const demand_key& key, const demand& item,
                              time_point now)
{
    if (reservations_.count(key) > 0)
    {
        return;
    }
    const bool guaranteed = urgency(item) == 0;
    std::map<std::string, std::vector<victim>> victims;
    std::map<std::string, double> gang_costs;
    const auto cost_of = [&](const live_run& run)
    {
        const auto ran = static_cast<double>((now - run.started_at).count());
        // What a checkpoint keeps is not lost.
        return weight(run.need) * (run.checkpointable ? 200 : 200 + ran);
    };
    for (const auto& [id, run] : workers_.runs())
    {
        if (run.gang)
        {
            const auto gang = absl::StrCat(
                run.ref.job(), ".", run.ref.occurrence(), ".", run.ref.step());
            gang_costs[gang] += cost_of(run);
        }
    }
    for (const auto& [id, run] : workers_.runs())
    {
        const auto* const job = state_.find_job(run.ref.job());
        if (run.stop_requested || run.lasting || job == nullptr)
        {
            continue;
        }
        const auto priority = priority_of(*job);
        bool stoppable = priority > item.queue.priority;
        if (!stoppable && guaranteed && priority == 0 &&
            job->job.account() != item.account)
        {
            const auto limit = guarantees_.find(job->job.account());
            const auto used = urgent_accelerators_.find(job->job.account());
            stoppable =
                used != urgent_accelerators_.end() &&
                (limit == guarantees_.end() || used->second > limit->second);
        }
        if (stoppable)
        {
            const auto gang = absl::StrCat(
                run.ref.job(), ".", run.ref.occurrence(), ".", run.ref.step());
            const double scale = priority == 0 ? 1e6 : 1;
            victims[run.incarnation.worker].push_back(
                {id, run.need,
                 scale * (run.gang ? gang_costs[gang] : cost_of(run))});
        }
    }
    auto request = request_for(item, now);
    request.whole = true;
    const auto plan = choose_victims(rooms_for(key, item), victims, request);
    if (!plan)
    {
        return;
    }
    counters_.add("runs_preempted_total", plan->keys.size());
    reserve(key, {plan->rooms, now + reservation_time});
    for (const auto& victim : plan->keys)
    {
        workers_.stop(victim, "preempted", now);
    }
    log_event(log_level::info, "room_reclaimed",
              {{"job", item.job},
               {"step", absl::StrCat(item.step)},
               {"account", item.account},
               {"stopped", absl::StrCat(plan->keys.size())},
               {"waited_ms", absl::StrCat((now - item.since).count())}});
}

} // namespace limpetstack::fleet
