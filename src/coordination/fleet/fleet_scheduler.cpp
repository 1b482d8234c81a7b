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

// A run whose progress stands still for this long is stopped. The lists that
// tell it come at least every two seconds.
constexpr milliseconds stall_time{5000};

// A worker on which runs of this many jobs failed in a row is avoided, each
// time twice as long.
constexpr std::size_t failed_jobs_before_pause = 2;
constexpr milliseconds first_pause{4000};
constexpr int max_pause_doublings = 3;

// Share of the reclaim bound after which a step inside a guarantee starts away
// from its rack.
constexpr double reclaim_patience = 0.35;

// Share of the time that waiting for a near place may cost.
constexpr double near_patience = 0.8;

// Steps that are looked at in one round without being placed.
constexpr std::size_t max_misses_per_round = 200;

double weight(const amounts& need)
{
    return static_cast<double>(need.cpu_milli) / 1000.0 +
           static_cast<double>(need.accelerators * cores_per_accelerator);
}

std::string subtask_key(const run_ref& run)
{
    return absl::StrCat(run.job(), ".", run.occurrence(), ".", run.step(), ".",
                        run.index());
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

bool earlier_steps_done(const step_spec& spec, const occurrence_state* state)
{
    return std::all_of(spec.after().begin(), spec.after().end(),
                       [state](std::uint32_t step)
                       {
                           return state != nullptr &&
                                  is_done(state->steps[step]);
                       });
}

} // namespace

fleet_scheduler::fleet_scheduler(const fleet_scheduler_options& options,
                                 const fleet_state& state,
                                 worker_fleet& workers, proposer propose,
                                 metrics& counters)
    : options_(options)
    , state_(state)
    , workers_(workers)
    , propose_(std::move(propose))
    , counters_(counters)
{
    for (const auto& [id, job] : state_.jobs())
    {
        dirty_.insert(id);
        if (job.finished_ms > 0)
        {
            ended_[id] = job.finished_ms;
        }
    }
}

void fleet_scheduler::use_document(const fleet_document& document)
{
    document_ = &document;
    queues_.clear();
    guarantees_.clear();
    for (const auto& queue : document.queues)
    {
        queues_[queue.name] = &queue;
    }
    for (const auto& account : document.accounts)
    {
        guarantees_[account.name] = account.guaranteed_accelerators;
    }
    for (const auto& [id, job] : state_.jobs())
    {
        if (!job.ended())
        {
            dirty_.insert(id);
        }
    }
    changed_ = true;
}

queue_config fleet_scheduler::queue_of(const job_state& job) const
{
    const auto found = queues_.find(job.job.queue());
    if (found != queues_.end())
    {
        return *found->second;
    }
    queue_config queue;
    queue.name = job.job.queue();
    queue.service = job.job.service();
    queue.priority = job.job.priority();
    queue.attempts = std::max(job.job.attempts(), 1U);
    queue.stretch = job.job.stretch();
    queue.slo_ms = job.job.slo_ms();
    return queue;
}

std::int64_t fleet_scheduler::priority_of(const job_state& job) const
{
    const auto found = queues_.find(job.job.queue());
    return found != queues_.end() ? found->second->priority
                                  : job.job.priority();
}

void fleet_scheduler::on_applied(const fleet_command& command, applied result,
                                 time_point now)
{
    changed_ = true;
    switch (command.body_case())
    {
    case fleet_command::kAccept:
        dirty_.insert(command.accept().id());
        break;
    case fleet_command::kCancel:
        if (result == applied::changed)
        {
            stop_job(command.cancel().job(), "job_cancelled", now);
        }
        dirty_.insert(command.cancel().job());
        break;
    case fleet_command::kPlace:
        if (result != applied::changed)
        {
            dirty_.insert(command.place().run().job());
        }
        break;
    case fleet_command::kEnd:
        dirty_.insert(command.end().run().job());
        if (result == applied::changed)
        {
            note_end(command.end(), now);
        }
        break;
    case fleet_command::kFail:
        closing_.erase(command.fail().job());
        stop_job(command.fail().job(), "job_failed", now);
        ended_[command.fail().job()] = command.fail().at_ms();
        dirty_.insert(command.fail().job());
        break;
    case fleet_command::kFinish:
        closing_.erase(command.finish().job());
        ended_[command.finish().job()] = command.finish().at_ms();
        break;
    case fleet_command::kForget:
        closing_.erase(command.forget().job());
        ended_.erase(command.forget().job());
        open_urgent_.erase(command.forget().job());
        drop_demands(command.forget().job());
        break;
    default:
        break;
    }
}

void fleet_scheduler::note_end(const ended_run& ended, time_point now)
{
    auto& ends = ends_of_worker_[ended.worker()];
    const auto key = subtask_key(ended.run());
    if (ended.end() == run_done)
    {
        ends.failed_jobs.clear();
        ends.pauses = 0;
        failed_on_.erase(key);
        return;
    }
    if (ended.end() != run_failed)
    {
        return;
    }
    failed_on_[key].insert(ended.worker());
    ends.failed_jobs.insert(ended.run().job());
    if (ends.failed_jobs.size() >= failed_jobs_before_pause)
    {
        const auto pause =
            first_pause * (1 << std::min(ends.pauses, max_pause_doublings));
        ++ends.pauses;
        ends.failed_jobs.clear();
        workers_.avoid(ended.worker(), now + pause);
        log_event(log_level::warning, "worker_avoided",
                  {{"worker", ended.worker()},
                   {"reason", "runs of several jobs failed in a row"},
                   {"pause_ms", absl::StrCat(pause.count())}});
    }
}

void fleet_scheduler::stop_job(const std::string& job, const char* reason,
                               time_point now)
{
    drop_demands(job);
    const auto prefix = job + ".";
    std::vector<std::string> keys;
    for (auto at = workers_.runs().lower_bound(prefix);
         at != workers_.runs().end() &&
         at->first.compare(0, prefix.size(), prefix) == 0;
         ++at)
    {
        keys.push_back(at->first);
    }
    for (const auto& key : keys)
    {
        workers_.stop(key, reason, now);
    }
}

void fleet_scheduler::drop_demands(const std::string& job)
{
    const auto first = demands_.lower_bound({job, 0, 0});
    auto last = first;
    while (last != demands_.end() && std::get<0>(last->first) == job)
    {
        unreserve(last->first);
        ++last;
    }
    demands_.erase(first, last);
}

bool fleet_scheduler::is_exhausted(const job_state& job,
                                   const queue_config& queue) const
{
    for (const auto& [number, occurrence] : job.occurrences)
    {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
        {
            const auto& spec = job.job.spec().steps(static_cast<int>(s));
            const auto& step = occurrence.steps[s];
            if (spec.lasting())
            {
                continue;
            }
            if (spec.gang() && !is_done(step) &&
                step.failures >= queue.attempts)
            {
                return true;
            }
            if (!spec.gang() &&
                std::any_of(step.subtasks.begin(), step.subtasks.end(),
                            [&](const subtask_state& subtask)
                            {
                                return !subtask.done &&
                                       subtask.failures >= queue.attempts;
                            }))
            {
                return true;
            }
        }
    }
    return false;
}

// Proposes the record of a job's end once nothing of it can change any more.
void fleet_scheduler::close_job(const job_state& job, std::int64_t wall_ms)
{
    const auto& id = job.job.id();
    const bool all_done =
        job.done_occurrences >= occurrence_count(job.job.spec());
    if (closing_.count(id) > 0 || job.finished_ms > 0 ||
        (!job.cancelled && !all_done))
    {
        return;
    }
    closing_.insert(id);
    fleet_command command;
    command.mutable_finish()->set_job(id);
    command.mutable_finish()->set_at_ms(wall_ms);
    propose_(std::move(command));
}

void fleet_scheduler::refresh_jobs(time_point now, std::int64_t wall_ms)
{
    for (auto at = timed_.begin(); at != timed_.end();)
    {
        if (at->second <= wall_ms)
        {
            dirty_.insert(at->first);
            at = timed_.erase(at);
        }
        else
        {
            ++at;
        }
    }
    for (const auto& id : std::exchange(dirty_, {}))
    {
        if (const auto* const job = state_.find_job(id))
        {
            refresh_job(*job, now, wall_ms);
        }
    }
    for (const auto& [id, at] : ended_)
    {
        if (at + options_.keep_ended.count() < wall_ms &&
            closing_.count(id) == 0 &&
            workers_.runs().lower_bound(id + ".") ==
                workers_.runs().lower_bound(id + "/"))
        {
            closing_.insert(id);
            fleet_command command;
            command.mutable_forget()->set_job(id);
            propose_(std::move(command));
        }
    }
}

void fleet_scheduler::refresh_job(const job_state& job, time_point now,
                                  std::int64_t wall_ms)
{
    const auto& id = job.job.id();
    close_job(job, wall_ms);
    if (job.ended() || priority_of(job) != 0 ||
        job.done_occurrences >= occurrence_count(job.job.spec()))
    {
        open_urgent_.erase(id);
    }
    else
    {
        open_urgent_.insert(id);
    }
    if (job.ended())
    {
        drop_demands(id);
        return;
    }
    const auto queue = queue_of(job);
    if (is_exhausted(job, queue))
    {
        drop_demands(id);
        if (closing_.insert(id).second)
        {
            fleet_command command;
            command.mutable_fail()->set_job(id);
            command.mutable_fail()->set_at_ms(wall_ms);
            propose_(std::move(command));
            log_event(
                log_level::info, "job_failed",
                {{"job", id},
                 {"reason", "attempts used up"},
                 {"attempts", absl::StrCat(queue.attempts)},
                 {"document", absl::StrCat(state_.document().version())}});
        }
        return;
    }
    const auto& spec = job.job.spec();
    for (std::uint32_t k = 0; k < occurrence_count(spec); ++k)
    {
        if (spec.repeat_count() > 0)
        {
            const auto due = spec.first_run_ms() +
                             static_cast<std::int64_t>(k) * spec.interval_ms();
            if (due > wall_ms)
            {
                timed_[id] = due;
                break;
            }
        }
        const auto at = job.occurrences.find(k);
        const auto* const occurrence =
            at == job.occurrences.end() ? nullptr : &at->second;
        if (occurrence != nullptr && occurrence->done)
        {
            continue;
        }
        for (std::uint32_t s = 0;
             s < static_cast<std::uint32_t>(spec.steps_size()); ++s)
        {
            const auto& step = spec.steps(static_cast<int>(s));
            if (earlier_steps_done(step, occurrence))
            {
                refresh_step(job, k, s,
                             occurrence == nullptr ? nullptr
                                                   : &occurrence->steps[s],
                             queue, now);
            }
        }
    }
}

void fleet_scheduler::refresh_step(const job_state& job,
                                   std::uint32_t occurrence, std::uint32_t step,
                                   const step_state* state,
                                   const queue_config& queue, time_point now)
{
    const auto& spec = job.job.spec().steps(static_cast<int>(step));
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t i = 0; i < spec.subtask_count(); ++i)
    {
        if (state == nullptr ||
            (!state->subtasks[i].done && state->subtasks[i].active.empty()))
        {
            run_ref ref;
            ref.set_job(job.job.id());
            ref.set_occurrence(occurrence);
            ref.set_step(step);
            ref.set_index(i);
            ref.set_run((state == nullptr ? 0 : state->subtasks[i].last_run) +
                        1);
            // A placement may have been proposed already.
            const auto prefix = subtask_key(ref) + "#";
            const auto live = workers_.runs().lower_bound(prefix);
            if (live == workers_.runs().end() ||
                live->first.compare(0, prefix.size(), prefix) != 0)
            {
                waiting.push_back(i);
            }
        }
    }
    const demand_key key{job.job.id(), occurrence, step};
    // A gang starts again only after every member of the last run has ended.
    if (waiting.empty() ||
        (spec.gang() && waiting.size() < spec.subtask_count()))
    {
        unreserve(key);
        demands_.erase(key);
        return;
    }
    const auto [found, added] = demands_.try_emplace(key);
    auto& item = found->second;
    if (added)
    {
        item.job = job.job.id();
        item.occurrence = occurrence;
        item.step = step;
        item.since = now;
        item.account = job.job.account();
        item.order = job.order;
    }
    item.spec = &spec;
    item.queue = queue;
    item.indices = std::move(waiting);
}

std::map<std::string, std::int64_t> fleet_scheduler::urgent_use() const
{
    std::map<std::string, std::int64_t> use;
    for (const auto& id : open_urgent_)
    {
        const auto* const job = state_.find_job(id);
        if (job == nullptr)
        {
            continue;
        }
        std::int64_t most = 0;
        for (const auto& step : job->job.spec().steps())
        {
            most = std::max(most,
                            step.need().accelerators() * step.subtask_count());
        }
        use[job->job.account()] += most;
    }
    return use;
}

// 0: priority 0 inside the account's guarantee; 1: other work of priority 0;
// then by priority.
int fleet_scheduler::urgency(const demand& item) const
{
    if (item.queue.priority == 0)
    {
        const auto guaranteed = guarantees_.find(item.account);
        const auto used = urgent_accelerators_.find(item.account);
        return guaranteed != guarantees_.end() &&
                       used != urgent_accelerators_.end() &&
                       used->second <= guaranteed->second
                   ? 0
                   : 1;
    }
    return static_cast<int>(std::min<std::int64_t>(item.queue.priority, 1000)) +
           1;
}

std::vector<fleet_scheduler::demand_map::iterator> fleet_scheduler::ranked()
{
    std::vector<std::tuple<int, std::uint64_t, demand_map::iterator>> order;
    order.reserve(demands_.size());
    for (auto at = demands_.begin(); at != demands_.end(); ++at)
    {
        order.emplace_back(urgency(at->second), at->second.order, at);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b)
                     {
                         return std::tie(std::get<0>(a), std::get<1>(a)) <
                                std::tie(std::get<0>(b), std::get<1>(b));
                     });
    std::vector<demand_map::iterator> items;
    items.reserve(order.size());
    for (const auto& [urgency, number, at] : order)
    {
        items.push_back(at);
    }
    return items;
}

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
    const auto allowance = static_cast<double>(item.queue.slo_ms);
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
                              worker.fillers > 0, worker.serving > 0});
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
            at->free = at->free - room;
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
            at->free = at->free + room;
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
        workers_.place(ref, worker, *item.spec, item.queue.priority, now);
        auto& room = rooms_[chosen[i]];
        room.free = room.free - request.need;
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
    if (!reserved && misses_.count(shape) > 0)
    {
        return false;
    }
    const auto rooms = rooms_for(key, item);
    const auto chosen = choose_workers(rooms, request);
    if (chosen.empty())
    {
        if (request.max_per_worker == 0)
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
        if (run.stop_wanted || run.lasting || job == nullptr)
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
            victims[run.where.worker].push_back(
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

void fleet_scheduler::watch_progress(time_point now)
{
    std::vector<std::string> stalled;
    for (const auto& [key, run] : workers_.runs())
    {
        const auto last = std::max(run.progressed_at, run.started_at);
        if (run.phase == run_phase::present && !run.stop_wanted &&
            !run.lasting && run.listed_at - last >= stall_time)
        {
            stalled.push_back(key);
        }
    }
    for (const auto& key : stalled)
    {
        const auto& run = workers_.runs().at(key);
        failed_on_[subtask_key(run.ref)].insert(run.where.worker);
        workers_.avoid(run.where.worker, now + 2 * first_pause);
        workers_.stop(key, "no_progress", now);
    }
}

void fleet_scheduler::run_round(time_point now, std::int64_t wall_ms)
{
    constexpr milliseconds idle_interval{100};
    if (document_ == nullptr ||
        (!changed_ && now - last_round_ < idle_interval))
    {
        return;
    }
    changed_ = false;
    last_round_ = now;
    refresh_jobs(now, wall_ms);
    watch_progress(now);
    if (demands_.empty())
    {
        return;
    }
    urgent_accelerators_ = urgent_use();
    survey_rooms(now);
    std::size_t misses = 0;
    for (const auto at : ranked())
    {
        const auto key = at->first;
        if (place(key, at->second, now))
        {
            unreserve(key);
            demands_.erase(at);
            continue;
        }
        if (at->second.queue.priority == 0)
        {
            reclaim(key, at->second, now);
        }
        if (++misses >= max_misses_per_round)
        {
            break;
        }
    }
}

} // namespace limpetstack::fleet
