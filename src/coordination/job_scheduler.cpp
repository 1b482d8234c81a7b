#include "coordination/job_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Guaranteed gangs of one account that are tried for a job.
constexpr std::size_t choices_tried = 4;
// Gangs of an account that are tried when members of its guarantee become
// free.
constexpr std::size_t promotion_tries = 16;
// A reservation is made anew after this time, in case other racks are free
// earlier by now.
constexpr milliseconds reservation_review{60 * 1000};

placement_options options_of(const scheduling_policy& policy, bool use_held)
{
    placement_options options;
    options.best_fit = policy.best_fit;
    options.use_held = use_held;
    return options;
}

} // namespace

job_scheduler::job_scheduler(std::string data_centre, scheduling_policy policy)
    : data_centre_(std::move(data_centre))
    , policy_(policy)
{
}

void job_scheduler::configure(const document& source)
{
    if (source == config_)
    {
        return;
    }
    config_ = source;
    declared_ = declared_fleet(source, data_centre_);
    total_weight_ = 0;
    for (const auto& account : source.client_accounts)
    {
        total_weight_ += account.weight;
    }
    for (const auto& id : plan_.configure(source, data_centre_))
    {
        auto& gang = placed_.at(id);
        gang.guaranteed = false;
        borrowing_.insert({id, gang.placement, gang.job.shape.each,
                           gang_size(gang.job.shape), gang.start});
        borrowing_of_[gang.job.account].insert(id);
    }
    queue_.update(
        [this](const queued_job& job)
        {
            return plan_.coverable(job.account, job.shape);
        });
    for (const auto& account : source.client_accounts)
    {
        promotions_.insert(account.name);
    }
    changed_ = true;
}

void job_scheduler::set_evacuated(bool evacuated)
{
    if (std::exchange(evacuated_, evacuated) == evacuated)
    {
        return;
    }
    // What a reservation expects to become free is not used meanwhile.
    if (reservation_)
    {
        cancel_reservation();
    }
    changed_ = true;
}

void job_scheduler::put_worker(const worker_capacity& worker)
{
    const auto before = capacity_.free(worker.id);
    if (before && *before == worker.total &&
        capacity_.rack_of(worker.id) == worker.rack)
    {
        return;
    }
    capacity_.put(worker);
    all_.put(worker);
    plan_.put_worker(worker);
    fleet_.reset();
    changed_ = true;
}

void job_scheduler::remove_worker(const std::string& id)
{
    capacity_.remove(id);
    all_.remove(id);
    plan_.remove_worker(id);
    fleet_.reset();
}

void job_scheduler::enable_worker(const std::string& id, bool enabled,
                                  bool counts)
{
    const bool changed = all_.enable(id, enabled);
    changed_ =
        plan_.enable_worker(id, enabled || counts) || changed || changed_;
}

const resources& job_scheduler::fleet()
{
    if (!fleet_)
    {
        fleet_ = capacity_.total();
    }
    return *fleet_;
}

bool job_scheduler::knows(const std::string& id) const
{
    return queue_.find(id) != nullptr || placed_.count(id) > 0;
}

void job_scheduler::submit(queued_job job, bool front)
{
    job.coverable = plan_.coverable(job.account, job.shape);
    queue_.push(job, front);
    changed_ = true;
}

bool job_scheduler::cancel(const std::string& id)
{
    if (reservation_ && reservation_->id == id)
    {
        cancel_reservation();
    }
    if (queue_.erase(id))
    {
        return true;
    }
    if (waiting_.erase(id) > 0)
    {
        finished(id, std::nullopt);
        return true;
    }
    return false;
}

milliseconds job_scheduler::expected_time(const queued_job& job) const
{
    return policy_.learn_times
               ? times_.estimate(job.account + "/" + job.service, job.declared)
               : job.declared;
}

void job_scheduler::place(const queued_job& job,
                          const gang_placement& placement, bool guaranteed,
                          time_point now)
{
    const auto id = job.id;
    placed_job gang;
    gang.job = job;
    gang.placement = placement;
    gang.share = dominant_share(job.shape, fleet());
    gang.guaranteed = guaranteed;
    gang.start = now;
    gang.expected = expected_time(job);
    all_.take(placement, job.shape.each);
    if (!guaranteed)
    {
        borrowing_.insert(
            {id, placement, job.shape.each, gang_size(job.shape), now});
        borrowing_of_[job.account].insert(id);
    }
    used_[job.account] += gang.share;
    if (reservation_ && reservation_->id == id)
    {
        cancel_reservation();
    }
    queue_.erase(id); // `job` may be the queue's own entry.
    placed_[id] = std::move(gang);
}

void job_scheduler::adopt(const queued_job& job,
                          const gang_placement& placement, time_point now)
{
    place(job, placement, false, now);
    promotions_.insert(job.account);
    changed_ = true;
}

void job_scheduler::finished(const std::string& id,
                             std::optional<milliseconds> ran)
{
    const auto found = placed_.find(id);
    if (found == placed_.end())
    {
        return;
    }
    const auto gang = std::move(found->second);
    placed_.erase(found);
    const auto& account = gang.job.account;
    all_.give(gang.placement, gang.job.shape.each);
    plan_.release(id);
    borrowing_.erase(id);
    borrowing_of_[account].erase(id);
    waiting_.erase(id);
    used_[account] = std::max(0.0, used_[account] - gang.share);
    if (ran)
    {
        times_.record(account + "/" + gang.job.service, gang.job.declared,
                      *ran);
    }
    if (gang.guaranteed)
    {
        promotions_.insert(account);
    }
    changed_ = true;
}

void job_scheduler::saved(const std::string& id, time_point now)
{
    borrowing_.saved(id, now);
}

void job_scheduler::promote(const std::string& account)
{
    // A gang that started outside the guarantee moves inside when members of
    // the guarantee become free, unless it stands where another account's
    // guarantee would no longer fit.
    if (!plan_.has_unclaimed(account))
    {
        return;
    }
    const auto ids = borrowing_of_[account];
    std::size_t tries = 0;
    for (const auto& id : ids)
    {
        auto& gang = placed_.at(id);
        const auto choices = plan_.choices(account, gang.job.shape);
        if (gang.stopping || choices.empty())
        {
            continue;
        }
        if (++tries > promotion_tries)
        {
            return;
        }
        const auto movable = std::find_if(choices.begin(), choices.end(),
                                          [this](auto choice)
                                          {
                                              return plan_.movable(choice);
                                          });
        if (movable == choices.end() ||
            !plan_.move_home(*movable, gang.placement))
        {
            continue;
        }
        plan_.claim(id, *movable, gang.placement);
        gang.guaranteed = true;
        borrowing_.erase(id);
        borrowing_of_[account].erase(id);
    }
}

void job_scheduler::promote_pending()
{
    for (const auto& account : std::exchange(promotions_, {}))
    {
        promote(account);
    }
}

std::optional<reclaim_choice>
job_scheduler::place_at_home(std::size_t gang, const gang_shape& job,
                             const reclaim_view& view) const
{
    auto places = plan_.free_home(gang);
    // Places that are free already come first.
    std::stable_partition(
        places.begin(), places.end(),
        [this, &job](const auto& worker)
        {
            return fit_count(all_.free(worker).value_or(resources{}),
                             job.each) > 0;
        });
    places.resize(job.members);
    return reclaim_at(view, job.each, places);
}

std::optional<reclaim_choice>
job_scheduler::place_inside(std::size_t gang, const gang_shape& job,
                            const reclaim_view& view, bool reclaim)
{
    if (plan_.movable(gang))
    {
        const auto shape = plan_.shape_inside(gang, job);
        const auto accept = [this, gang](const gang_placement& placement)
        {
            return plan_.move_home(gang, placement);
        };
        auto free = all_.place(data_centre_, shape, options_of(policy_, true));
        if (free && accept(*free))
        {
            return reclaim_choice{{}, std::move(*free), 0};
        }
        auto choice =
            reclaim ? choose_reclaim(view, shape, accept) : std::nullopt;
        if (choice)
        {
            return choice;
        }
    }
    auto choice = place_at_home(gang, job, view);
    return choice && (reclaim || choice->victims.empty()) ? choice
                                                          : std::nullopt;
}

std::optional<job_scheduler::guaranteed_choice>
job_scheduler::guaranteed_place(const queued_job& job, time_point now)
{
    auto gangs = plan_.choices(job.account, job.shape);
    gangs.resize(std::min(gangs.size(), choices_tried));
    const reclaim_view view{all_, plan_.pinned(), borrowing_, data_centre_,
                            now};
    // Any way that stops nothing comes before all that do.
    for (const bool reclaim : {false, true})
    {
        for (const auto gang : gangs)
        {
            if (reclaim && !policy_.reclaim)
            {
                continue;
            }
            if (auto place = place_inside(gang, job.shape, view, reclaim))
            {
                return guaranteed_choice{gang, std::move(*place)};
            }
        }
    }
    return std::nullopt;
}

bool job_scheduler::start_guaranteed(const queued_job& job, time_point now,
                                     std::vector<start_decision>& result)
{
    const auto id = job.id;
    const auto choice = guaranteed_place(job, now);
    if (!choice)
    {
        return false;
    }
    const auto& place_chosen = choice->place;
    plan_.claim(id, choice->gang, place_chosen.placement);
    for (const auto& victim : place_chosen.victims)
    {
        placed_.at(victim).stopping = true;
        borrowing_.erase(victim);
    }
    place(job, place_chosen.placement, true, now);
    result.push_back({id, place_chosen.placement, place_chosen.victims, true});
    if (!place_chosen.victims.empty())
    {
        waiting_.insert(id);
    }
    return true;
}

bool job_scheduler::start_borrowed(const queued_job& job, time_point now,
                                   std::vector<start_decision>& result)
{
    const bool reserved = reservation_ && reservation_->id == job.id;
    auto placement =
        all_.place(data_centre_, job.shape, options_of(policy_, reserved));
    if (!placement && !reserved && reservation_ && policy_.backfill &&
        now + expected_time(job) <= reservation_->start)
    {
        placement =
            all_.place(data_centre_, job.shape, options_of(policy_, true));
    }
    if (!placement)
    {
        return false;
    }
    const auto id = job.id;
    place(job, *placement, false, now);
    result.push_back({id, std::move(*placement), {}, false});
    return true;
}

standings job_scheduler::current_standings() const
{
    standings result;
    for (const auto& account : config_.client_accounts)
    {
        auto& standing = result[account.name];
        standing.weight = account.weight;
        standing.share = account.weight / std::max(1.0, total_weight_);
        standing.unclaimed = plan_.has_unclaimed(account.name);
        const auto used = used_.find(account.name);
        standing.used = used == used_.end() ? 0 : used->second;
    }
    return result;
}

void job_scheduler::release_waiting(std::vector<start_decision>& result)
{
    for (auto at = waiting_.begin(); at != waiting_.end();)
    {
        const auto& gang = placed_.at(*at);
        const bool blocked =
            std::any_of(gang.placement.begin(), gang.placement.end(),
                        [this](const auto& worker)
                        {
                            return all_.overcommitted(worker);
                        });
        if (blocked)
        {
            ++at;
            continue;
        }
        result.push_back({*at, gang.placement, {}, gang.guaranteed});
        at = waiting_.erase(at);
    }
}

std::vector<start_decision> job_scheduler::decide(time_point now,
                                                  std::size_t limit)
{
    std::vector<start_decision> result;
    if (evacuated_)
    {
        return result;
    }
    release_waiting(result);
    if (!changed_ || result.size() >= limit)
    {
        return result;
    }
    changed_ = false;
    plan_.repair();
    promote_pending();
    if (reservation_ && now - reservation_->made > reservation_review)
    {
        cancel_reservation();
    }
    if (reservation_)
    {
        const auto* job = queue_.find(reservation_->id);
        if (job != nullptr)
        {
            start_borrowed(*job, now, result);
        }
    }
    auto accounts = current_standings();
    job_pass pass(queue_, fleet(), accounts);
    for (auto step = pass.next(); step.job != nullptr; step = pass.next())
    {
        if (result.size() >= limit)
        {
            changed_ = true;
            break;
        }
        const auto account = step.job->account;
        const auto started = step.guaranteed
                                 ? start_guaranteed(*step.job, now, result)
                                 : start_borrowed(*step.job, now, result);
        accounts[account].used = used_[account];
        if (!started && !step.guaranteed && !reservation_ && policy_.reserve)
        {
            reserve(*step.job, now);
        }
    }
    return result;
}

} // namespace limpetstack
