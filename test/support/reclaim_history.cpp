#include "support/reclaim_history.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick{50};
constexpr std::int64_t accelerators_per_worker = 8;
constexpr double guaranteed_share = 0.62;
constexpr milliseconds reclaim_limit = fleet_scheduler_options().reclaim_limit;

std::string worker_id(int number)
{
    return absl::StrCat("w", number);
}

} // namespace

reclaim_history::reclaim_history(unsigned seed, const reclaim_options& options)
    : workers(fixture, seed + 1000)
    , options_(options)
    , random_(seed)
{
    workers.stop_time = options.stop_time;
    workers.faults.failed = options.failed;
    workers.reports_progress = true;
    for (int i = 0; i < options.workers; ++i)
    {
        workers.add(worker_id(i),
                    absl::StrCat("r", i / options.workers_in_rack));
    }
    for (int i = 0; i < options.accounts; ++i)
    {
        const auto need =
            options.needs[static_cast<std::size_t>(i) % options.needs.size()];
        accounts_.push_back({absl::StrCat("account", i),
                             options.one_need_by_account ? need : 0, false,
                             time_point()});
    }
    set_guarantees();
    if (options.lasting_accelerators > 0)
    {
        auto step = make_step(
            static_cast<std::uint32_t>(options.lasting_accelerators), 1);
        step.set_lasting(true);
        step.set_estimate_ms(1000000);
        fixture.submit("lasting", step, "normal");
    }
}

// Divides the guaranteed share of the service among the accounts, with skewed
// sizes in random order.
void reclaim_history::set_guarantees()
{
    std::vector<double> shares;
    double sum = 0;
    for (int i = 0; i < options_.accounts; ++i)
    {
        shares.push_back(std::pow(i + 1, -1.2));
        sum += shares.back();
    }
    std::shuffle(shares.begin(), shares.end(), random_);
    const auto guaranteed =
        guaranteed_share * accelerators_per_worker * options_.workers;
    fixture.document.accounts.clear();
    for (std::size_t i = 0; i < accounts_.size(); ++i)
    {
        account_config account;
        account.name = accounts_[i].name;
        account.guaranteed_accelerators =
            static_cast<std::int64_t>(guaranteed * shares[i] / sum);
        fixture.document.accounts.push_back(account);
    }
    ++fixture.document.version;
    fixture.scheduler->use_document(fixture.document);
}

std::int64_t reclaim_history::guarantee_of(const std::string& account) const
{
    for (const auto& item : fixture.document.accounts)
    {
        if (item.name == account)
        {
            return item.guaranteed_accelerators;
        }
    }
    return 0;
}

std::map<std::string, std::int64_t> reclaim_history::open_need() const
{
    std::map<std::string, std::int64_t> need;
    for (const auto& [id, job] : open_)
    {
        need[job.account] += job.need;
    }
    return need;
}

step_spec reclaim_history::random_urgent_step(std::int64_t accelerators)
{
    const auto width = std::lognormal_distribution<double>(1.2, 0.8)(random_);
    auto step = make_step(
        static_cast<std::uint32_t>(std::clamp(std::lround(width), 1L, 32L)),
        accelerators > 0 ? accelerators
                         : options_.needs[random_() % options_.needs.size()],
        true);
    step.mutable_need()->set_cpu_milli(3700);
    step.mutable_need()->set_memory_mb(11000);
    step.set_same_rack(random_() % 5 != 0);
    step.set_estimate_ms(options_.estimate_ms);
    return step;
}

void reclaim_history::submit_urgent(account_state& account)
{
    if (fixture.now >= account.next_change)
    {
        account.next_change =
            fixture.now + milliseconds(4000 + random_() % 6000);
        account.floods =
            std::bernoulli_distribution(options_.flood_share)(random_);
    }
    if (random_() % 4 != 0)
    {
        return;
    }
    auto step = random_urgent_step(account.need);
    const auto guarantee = guarantee_of(account.name);
    const auto limit = account.floods ? 2 * guarantee + 32 : guarantee;
    // The last job of an account takes what is left of its guarantee.
    const auto left =
        (limit - open_need()[account.name]) / step.need().accelerators();
    if (left <= 0)
    {
        return;
    }
    step.set_subtask_count(static_cast<std::uint32_t>(
        std::min<std::int64_t>(step.subtask_count(), left)));
    const auto need = step.need().accelerators() * step.subtask_count();
    const auto id = absl::StrCat("urgent", jobs_++);
    open_[id] = {account.name, need, step.subtask_count(), fixture.now, false};
    fixture.submit(id, step, "urgent", account.name);
}

void reclaim_history::submit_lower()
{
    constexpr std::size_t max_pending = 60;
    if (fixture.scheduler->pending_steps() > max_pending)
    {
        return;
    }
    if (random_() % 4 == 0)
    {
        auto step = make_step(1 + random_() % 8, 1 << random_() % 4, true);
        step.mutable_need()->set_cpu_milli(13000);
        step.mutable_need()->set_memory_mb(68000);
        step.set_estimate_ms(6800);
        fixture.submit(absl::StrCat("normal", jobs_++), step, "normal");
        return;
    }
    auto step = make_step(40, 1);
    step.mutable_need()->set_cpu_milli(2800);
    step.mutable_need()->set_memory_mb(8200);
    step.set_estimate_ms(9500);
    fixture.submit(absl::StrCat("low", jobs_++), step, "low");
}

late_job reclaim_history::describe(const std::string& id,
                                   const open_job& job) const
{
    const auto& spec = fixture.state.find_job(id)->job.spec().steps(0);
    const auto need = counted_need(spec);
    const auto used_by_account = open_need();
    // How often the need fits on the workers as they are, without lower work,
    // without any work that may be stopped.
    std::int64_t free = 0;
    std::int64_t free_later = 0;
    std::int64_t reclaimable = 0;
    std::int64_t guaranteed_accelerators = 0;
    std::size_t members = 0;
    for (const auto& [worker_name, worker] : fixture.workers->workers())
    {
        resource_amounts stopping;
        resource_amounts stoppable;
        for (const auto& key : worker.runs)
        {
            const auto& run = fixture.workers->runs().at(key);
            const auto found = open_.find(run.ref.job());
            members += run.ref.job() == id ? 1 : 0;
            if (run.stop_requested)
            {
                stopping = stopping + run.need;
            }
            else if (found != open_.end() &&
                     used_by_account.at(found->second.account) <=
                         guarantee_of(found->second.account))
            {
                guaranteed_accelerators += run.need.accelerators;
            }
            else if (!run.lasting)
            {
                stoppable = stoppable + run.need;
            }
        }
        const auto left = worker.capacity - worker.used;
        free += count_within(left, need, 1000);
        free_later += count_within(left + stopping, need, 1000);
        reclaimable += count_within(left + stopping + stoppable, need, 1000);
    }
    std::string cause = "reclaimable but not started";
    if (members > 0)
    {
        cause = "start incomplete";
    }
    else if (reclaimable < job.subtasks)
    {
        cause = "fragments of guaranteed work";
    }
    else if (free >= job.subtasks)
    {
        cause = "free but not started";
    }
    else if (free_later >= job.subtasks)
    {
        cause = "stops under way";
    }
    return {id, cause,
            absl::StrCat("subtasks=", job.subtasks,
                         " accelerators=", need.accelerators,
                         " rack=", spec.same_rack(), " members=", members,
                         " free=", free, " free_later=", free_later,
                         " reclaimable=", reclaimable,
                         " guaranteed_accelerators=", guaranteed_accelerators)};
}

void reclaim_history::judge_jobs()
{
    for (auto at = open_.begin(); at != open_.end();)
    {
        const auto* const job = fixture.state.find_job(at->first);
        const bool done =
            job == nullptr || job->ended() || job->done_occurrences == 1;
        at = done ? open_.erase(at) : std::next(at);
    }
    const auto need = open_need();
    for (auto& [id, job] : open_)
    {
        if (job.judged)
        {
            continue;
        }
        std::uint32_t started = 0;
        for (std::uint32_t i = 0; i < job.subtasks; ++i)
        {
            started += workers.started.count(absl::StrCat(id, ".0.", i));
        }
        const bool inside = need.at(job.account) <= guarantee_of(job.account);
        job.was_above = job.was_above || !inside;
        if (started == job.subtasks)
        {
            job.judged = true;
            jobs_in_time += job.was_above ? 0 : 1;
        }
        else if (fixture.now - job.accepted > reclaim_limit)
        {
            job.judged = true;
            if (!job.was_above)
            {
                late_jobs.push_back(describe(id, job));
            }
        }
    }
}

void reclaim_history::run(milliseconds duration)
{
    const auto end = fixture.now + duration;
    while (fixture.now < end)
    {
        fixture.advance(tick);
        if (ticks_++ % 20 == 0)
        {
            for (int i = 0; i < options_.workers; ++i)
            {
                fixture.report(worker_id(i));
            }
        }
        if (options_.change_guarantees && ticks_ % 100 == 0)
        {
            set_guarantees();
        }
        submit_lower();
        // The service fills up before the first urgent job.
        constexpr std::uint64_t filling_ticks = 100;
        const bool pause =
            options_.wave > milliseconds(0) &&
            (ticks_ - filling_ticks) * tick / options_.wave % 2 == 1;
        if (ticks_ > filling_ticks && !pause)
        {
            for (auto& account : accounts_)
            {
                submit_urgent(account);
            }
        }
        workers.advance();
        fixture.schedule();
        judge_jobs();
    }
}

} // namespace limpetstack::fleet
