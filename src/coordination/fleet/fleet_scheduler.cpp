#include "coordination/fleet/fleet_scheduler.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// A worker on which runs of this many jobs failed in a row gets no placements
// for a pause. Each further pause is twice as long, up to
// `max_pause_doublings` times.
constexpr std::size_t failed_jobs_before_pause = 2;
constexpr milliseconds first_pause{4000};
constexpr int max_pause_doublings = 3;

// After this many steps that could not be placed completely, a round tries only
// some of the other steps, which bounds its length.
constexpr std::size_t max_failed_placements_per_round = 200;
constexpr std::size_t max_further_steps_per_round = 100;

// An attempt to place a step looks at each worker that may get placements. A
// round looks at about this many, and keeps a third for the steps whose last
// attempt is longest ago.
constexpr std::size_t max_candidates_per_round = 200000;
constexpr std::size_t min_attempts_per_round = 30;
constexpr std::size_t further_attempts_divisor = 3;

// A round places no further step after this many subtasks; a gang is placed as
// a whole. The next round follows when the placements are committed.
constexpr std::size_t max_placements_per_round = 1000;

} // namespace

fleet_scheduler::fleet_scheduler(const fleet_scheduler_options& options,
                                 const fleet_state& state,
                                 worker_fleet& workers, policy_port& policy,
                                 const policy_tickets::clock_reader& clock,
                                 proposer propose, metrics& counters)
    : options_(options)
    , state_(state)
    , workers_(workers)
    , propose_(std::move(propose))
    , counters_(counters)
    , tickets_(
          policy, clock,
          [this, clock]
          {
              changed_ = true;
              workers_.on_tickets(clock());
          },
          counters)
{
    workers_.use_tickets(
        {[this](const placed_run& run, time_point now)
         {
             return ticket_of(run, now);
         },
         [this](const std::vector<placed_run>& runs, time_point now)
         {
             renew_tickets(runs, now);
         },
         [this](const placed_run& run, time_point now)
         {
             tickets_.refuse(step_of(run.ref), run.incarnation.worker, now);
         }});
    const auto now = clock();
    for (const auto& [id, job] : state_.jobs())
    {
        jobs_to_refresh_.insert(id);
        if (job.finished_ms > 0)
        {
            ended_[id] = now;
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
            jobs_to_refresh_.insert(id);
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
    queue.allowance_ms = job.job.allowance_ms();
    return queue;
}

std::int64_t fleet_scheduler::priority_of(const job_state& job) const
{
    const auto found = queues_.find(job.job.queue());
    return found != queues_.end() ? found->second->priority
                                  : job.job.priority();
}

void fleet_scheduler::on_applied(const fleet_command& command,
                                 apply_result result, time_point now)
{
    changed_ = true;
    switch (command.body_case())
    {
    case fleet_command::kAccept:
        jobs_to_refresh_.insert(command.accept().id());
        break;
    case fleet_command::kCancel:
        jobs_to_refresh_.insert(command.cancel().job());
        break;
    case fleet_command::kPlace:
        if (result != apply_result::changed)
        {
            jobs_to_refresh_.insert(command.place().run().job());
        }
        break;
    case fleet_command::kEnd:
        jobs_to_refresh_.insert(command.end().run().job());
        if (workers_.ended_before_start())
        {
            const auto& run = command.end().run();
            const auto placed =
                placed_.find({run.job(), run.occurrence(), run.step()});
            if (placed != placed_.end())
            {
                placed->second.start_failed = true;
            }
        }
        if (result == apply_result::changed)
        {
            record_end(command.end(), now);
        }
        break;
    case fleet_command::kFail:
        closing_.erase(command.fail().job());
        ended_[command.fail().job()] = now;
        jobs_to_refresh_.insert(command.fail().job());
        break;
    case fleet_command::kFinish:
        closing_.erase(command.finish().job());
        ended_[command.finish().job()] = now;
        break;
    case fleet_command::kForget:
        closing_.erase(command.forget().job());
        ended_.erase(command.forget().job());
        open_urgent_.erase(command.forget().job());
        drop_pending(command.forget().job());
        tickets_.forget(command.forget().job());
        forget_failures(command.forget().job());
        break;
    case fleet_command::kCrash:
        for (const auto& run : command.crash().suspects())
        {
            jobs_to_refresh_.insert(run.job());
        }
        break;
    case fleet_command::kEvacuation:
        if (command.evacuation().active())
        {
            returned_data_centres_.erase(command.evacuation().data_centre());
        }
        else if (result == apply_result::changed)
        {
            returned_data_centres_.insert(command.evacuation().data_centre());
        }
        break;
    case fleet_command::kRemoveWorker:
        if (result == apply_result::changed)
        {
            failure_histories_.erase(command.remove_worker().id());
        }
        break;
    default:
        break;
    }
}

void fleet_scheduler::record_end(const ended_run& ended, time_point now)
{
    auto& history = failure_histories_[ended.worker()];
    const auto id = id_of(ended.run());
    if (ended.end() == run_done)
    {
        history.failed_jobs.clear();
        history.pauses = 0;
        failed_workers_.erase(id);
        return;
    }
    if (ended.end() == run_never)
    {
        // The worker may have refused the run because of its ticket: drops it,
        // so that a new one is requested.
        tickets_.drop(step_of(ended.run()), ended.worker());
    }
    if (ended.end() != run_failed)
    {
        return;
    }
    failed_workers_[id].insert(ended.worker());
    history.failed_jobs.insert(ended.run().job());
    if (history.failed_jobs.size() >= failed_jobs_before_pause)
    {
        const auto pause =
            first_pause * (1 << std::min(history.pauses, max_pause_doublings));
        ++history.pauses;
        history.failed_jobs.clear();
        workers_.avoid(ended.worker(), now + pause);
        log_event(log_level::warning, "worker_avoided",
                  {{"worker", ended.worker()},
                   {"reason", "runs of several jobs failed in a row"},
                   {"pause_ms", absl::StrCat(pause.count())}});
    }
}

fleet_scheduler::subtask_id fleet_scheduler::id_of(const run_ref& run)
{
    return {run.job(), run.occurrence(), run.step(), run.index()};
}

void fleet_scheduler::forget_failures(const std::string& job)
{
    failed_workers_.erase(failed_workers_.lower_bound({job, 0, 0, 0}),
                          failed_workers_.lower_bound({job + '\0', 0, 0, 0}));
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

// Returns true when the account's open urgent jobs need no more than its
// guarantee.
bool fleet_scheduler::within_guarantee(const std::string& account) const
{
    const auto guaranteed = guarantees_.find(account);
    const auto used = urgent_accelerators_.find(account);
    return guaranteed != guarantees_.end() &&
           used != urgent_accelerators_.end() &&
           used->second <= guaranteed->second;
}

// Returns the rank of a step, lowest first: 0 for priority 0 inside the
// account's guarantee, 1 for other work of priority 0, then the priority
// plus 1.
int fleet_scheduler::urgency(const pending_step& item) const
{
    if (item.queue.priority == 0)
    {
        return within_guarantee(item.account) ? 0 : 1;
    }
    return static_cast<int>(std::min<std::int64_t>(item.queue.priority, 1000)) +
           1;
}

std::vector<fleet_scheduler::pending_step_map::iterator>
fleet_scheduler::ranked_by_urgency()
{
    std::vector<std::tuple<int, std::uint64_t, pending_step_map::iterator>>
        order;
    order.reserve(pending_.size());
    for (auto at = pending_.begin(); at != pending_.end(); ++at)
    {
        order.emplace_back(urgency(at->second), at->second.order, at);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b)
                     {
                         return std::tie(std::get<0>(a), std::get<1>(a)) <
                                std::tie(std::get<0>(b), std::get<1>(b));
                     });
    std::vector<pending_step_map::iterator> items;
    items.reserve(order.size());
    for (const auto& [urgency, number, at] : order)
    {
        items.push_back(at);
    }
    return items;
}

// Returns true when the gang needs more than all present workers of its service
// have: it can not start until the workers change.
bool fleet_scheduler::exceeds_service(const pending_step& item)
{
    return item.all_or_nothing() &&
           !fits(counted_need(*item.spec) *
                     static_cast<std::int64_t>(item.indices.size()),
                 capacity_of(item.queue.service).installed);
}

// Tries to place the step, or to preempt runs for it if it is urgent. Returns
// true, and removes the step, when it is placed completely.
bool fleet_scheduler::try_step(pending_step_map::iterator at, time_point now)
{
    const auto key = at->first;
    auto& item = at->second;
    item.tried_at = now;
    if (place(key, item, now))
    {
        unreserve(key);
        release_hold(item);
        placed_[key] = {item.since};
        pending_.erase(at);
        return true;
    }
    if (placements_left_ == 0 || item.obstacle == placement_obstacle::crashes)
    {
        return false; // The step may fit, but has to wait.
    }
    if (item.queue.priority == 0)
    {
        reclaim(key, item, now);
    }
    else if (item.all_or_nothing() && !item.spec->lasting())
    {
        reserve_for_gang(item, now);
    }
    return false;
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
    stop_stalled_runs(now);
    move_stopped_fillers(now);
    if (pending_.empty())
    {
        report_waits(now);
        return;
    }
    urgent_accelerators_ = urgent_use();
    refresh_candidates(now);
    refresh_backfill_limits();
    refresh_gang_holds(now);
    placements_left_ = max_placements_per_round;
    runs_by_holder_.reset();
    auto attempts_left =
        std::max(min_attempts_per_round,
                 max_candidates_per_round /
                     std::max<std::size_t>(candidates_.size(), 1));
    const auto further_attempts = attempts_left / further_attempts_divisor;
    std::size_t failed_placements = 0;
    std::vector<pending_step_map::iterator> further;
    for (const auto at : ranked_by_urgency())
    {
        if (exceeds_service(at->second))
        {
            at->second.obstacle = placement_obstacle::capacity;
        }
        else if (failed_placements >= max_failed_placements_per_round ||
                 attempts_left <= further_attempts || placements_left_ == 0)
        {
            further.push_back(at);
        }
        else
        {
            --attempts_left;
            failed_placements += try_step(at, now) ? 0 : 1;
        }
    }
    // The steps whose last attempt is longest ago come first, so that each is
    // tried again after some rounds.
    std::stable_sort(further.begin(), further.end(),
                     [](const auto& a, const auto& b)
                     {
                         return a->second.tried_at < b->second.tried_at;
                     });
    further.resize(
        std::min({further.size(), max_further_steps_per_round, attempts_left}));
    for (const auto at : further)
    {
        if (placements_left_ > 0)
        {
            try_step(at, now);
        }
    }
    report_waits(now);
}

} // namespace limpetstack::fleet
