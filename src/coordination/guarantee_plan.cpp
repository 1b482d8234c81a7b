#include "coordination/guarantee_plan.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetstack
{
namespace
{

// Orders tried when one home moves, and when the whole plan is made again.
constexpr std::size_t move_orders = 3;
constexpr std::size_t plan_orders = 24;

} // namespace

std::vector<std::string>
guarantee_plan::configure(const document& source,
                          const std::string& data_centre)
{
    data_centre_ = data_centre;
    const auto before = std::exchange(gangs_, {});
    by_account_.clear();
    for (const auto& gang : before)
    {
        homes_.give(gang.home, gang.shape.each);
        if (!gang.jobs.empty())
        {
            pinned_.give(gang.home, gang.shape.each);
        }
    }
    for (const auto& account : source.client_accounts)
    {
        for (const auto& guarantee : account.guarantees)
        {
            for (std::uint32_t n = 0;
                 n < guarantee.count && guarantee.data_centre == data_centre;
                 ++n)
            {
                by_account_[account.name].push_back(gangs_.size());
                gangs_.push_back(
                    {account.name, shape_of(guarantee), {}, {}, 0});
            }
        }
    }
    jobs_.clear();
    std::vector<std::string> outside;
    for (const auto& old : before)
    {
        const auto same = std::find_if(gangs_.begin(), gangs_.end(),
                                       [&old](const auto& gang)
                                       {
                                           return gang.account == old.account &&
                                                  gang.shape == old.shape &&
                                                  gang.jobs.empty();
                                       });
        for (const auto& [id, placement] : old.jobs)
        {
            if (same == gangs_.end())
            {
                outside.push_back(id);
                continue;
            }
            const auto at = static_cast<std::size_t>(same - gangs_.begin());
            if (same->home.empty())
            {
                set_home(at, old.home);
            }
            claim(id, at, placement);
        }
    }
    damaged_ = true;
    repair();
    return outside;
}

void guarantee_plan::put_worker(const worker_capacity& worker)
{
    pinned_.put(worker);
    homes_.put(worker);
    damaged_ = true;
}

void guarantee_plan::remove_worker(const std::string& id)
{
    pinned_.remove(id);
    homes_.remove(id);
    damaged_ = true;
}

bool guarantee_plan::enable_worker(const std::string& id, bool enabled)
{
    homes_.enable(id, enabled);
    const bool changed = pinned_.enable(id, enabled);
    damaged_ = damaged_ || changed;
    return changed;
}

bool guarantee_plan::home_stands(const guaranteed_gang& gang) const
{
    return !gang.home.empty() &&
           std::all_of(gang.home.begin(), gang.home.end(),
                       [this](const auto& worker)
                       {
                           return homes_.usable(worker) &&
                                  !homes_.overcommitted(worker);
                       });
}

std::size_t guarantee_plan::repair()
{
    if (!std::exchange(damaged_, false))
    {
        return 0;
    }
    const bool whole =
        std::all_of(gangs_.begin(), gangs_.end(),
                    [this](const auto& gang)
                    {
                        return !gang.jobs.empty() || home_stands(gang);
                    });
    if (whole || replan(gangs_.size(), {}, plan_orders))
    {
        return 0;
    }
    // Not all fit any more: those that do keep or get a home.
    std::size_t without = 0;
    for (std::size_t i = 0; i < gangs_.size(); ++i)
    {
        if (!gangs_[i].jobs.empty() || home_stands(gangs_[i]))
        {
            continue;
        }
        set_home(i, {});
        placement_options options;
        options.use_held = true;
        auto home = homes_.place(data_centre_, gangs_[i].shape, options);
        without += home ? 0 : 1;
        set_home(i, home ? std::move(*home) : gang_placement());
    }
    damaged_ = without > 0;
    return without;
}

void guarantee_plan::set_home(std::size_t gang, gang_placement home)
{
    auto& g = gangs_[gang];
    homes_.give(g.home, g.shape.each);
    g.home = std::move(home);
    homes_.take(g.home, g.shape.each);
}

bool guarantee_plan::replan(std::size_t fixed, const gang_placement& home,
                            std::size_t orders)
{
    std::vector<std::size_t> moved;
    std::vector<shape_demand> demands;
    for (std::size_t i = 0; i < gangs_.size(); ++i)
    {
        if (i != fixed && gangs_[i].jobs.empty())
        {
            moved.push_back(i);
            demands.push_back({gangs_[i].account, gangs_[i].shape, 1});
        }
    }
    const auto each =
        fixed < gangs_.size() ? gangs_[fixed].shape.each : resources{};
    pinned_.take(home, each);
    auto plan = place_side_by_side(pinned_, data_centre_, demands, orders);
    pinned_.give(home, each);
    if (!plan)
    {
        return false;
    }
    for (std::size_t i = 0; i < moved.size(); ++i)
    {
        set_home(moved[i], std::move((*plan)[i]));
    }
    return true;
}

bool guarantee_plan::coverable(const std::string& account,
                               const gang_shape& job) const
{
    const auto found = by_account_.find(account);
    return found != by_account_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [this, &job](auto i)
                       {
                           return covers(gangs_[i].shape, job);
                       });
}

bool guarantee_plan::has_unclaimed(const std::string& account) const
{
    const auto found = by_account_.find(account);
    return found != by_account_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [this](auto i)
                       {
                           return gangs_[i].claimed < gangs_[i].shape.members;
                       });
}

std::vector<std::size_t> guarantee_plan::choices(const std::string& account,
                                                 const gang_shape& job) const
{
    std::vector<std::size_t> result;
    const auto found = by_account_.find(account);
    if (found == by_account_.end())
    {
        return result;
    }
    for (const auto i : found->second)
    {
        const auto& gang = gangs_[i];
        if (!gang.home.empty() && covers(gang.shape, job) &&
            gang.shape.members - gang.claimed >= job.members)
        {
            result.push_back(i);
        }
    }
    const auto rank = [this](std::size_t i)
    {
        const auto& gang = gangs_[i];
        return std::tuple(gang.claimed == 0, gang.shape.members - gang.claimed,
                          gang.shape.each.accelerators, i);
    };
    std::sort(result.begin(), result.end(),
              [&rank](auto a, auto b)
              {
                  return rank(a) < rank(b);
              });
    return result;
}

gang_shape guarantee_plan::shape_inside(std::size_t gang,
                                        const gang_shape& job) const
{
    auto shape = job;
    if (gangs_[gang].shape.placement == adjacency::rack)
    {
        shape.placement = adjacency::rack;
    }
    return shape;
}

gang_placement guarantee_plan::free_home(std::size_t gang) const
{
    auto places = gangs_[gang].home;
    for (const auto& entry : gangs_[gang].jobs)
    {
        for (const auto& worker : entry.second)
        {
            places.erase(std::find(places.begin(), places.end(), worker));
        }
    }
    return places;
}

std::optional<gang_placement>
guarantee_plan::extended(std::size_t gang, const gang_placement& part,
                         const worker_index& room) const
{
    const auto& shape = gangs_[gang].shape;
    const bool adjacent = shape.placement == adjacency::rack;
    const auto rack = adjacent ? room.rack_of(part.front()) : std::string();
    auto home = part;
    std::map<std::string, std::uint32_t> used;
    for (const auto& worker : part)
    {
        ++used[worker];
    }
    for (const auto& [worker, count] : used)
    {
        const auto space = room.free(worker).value_or(resources{});
        if (!room.usable(worker) || fit_count(space, shape.each) < count ||
            (adjacent && room.rack_of(worker) != rack))
        {
            return std::nullopt;
        }
    }
    for (const auto& worker : room.workers(data_centre_, rack))
    {
        const auto left = shape.members - home.size();
        if (left == 0)
        {
            break;
        }
        const auto fit =
            fit_count(room.free(worker).value_or(resources{}), shape.each);
        const auto taken = used.find(worker);
        const auto more = fit - (taken == used.end() ? 0 : taken->second);
        home.insert(home.end(), std::min<std::size_t>(left, more), worker);
    }
    return home.size() == shape.members
               ? std::optional<gang_placement>(std::move(home))
               : std::nullopt;
}

bool guarantee_plan::move_home(std::size_t gang,
                               const gang_placement& placement)
{
    auto old = gangs_[gang].home;
    set_home(gang, {});
    // Room that is no other home is free to take.
    if (auto home = extended(gang, placement, homes_))
    {
        set_home(gang, std::move(*home));
        return true;
    }
    auto home = extended(gang, placement, pinned_);
    if (!home || !replan(gang, *home, move_orders))
    {
        set_home(gang, std::move(old));
        return false;
    }
    set_home(gang, std::move(*home));
    return true;
}

void guarantee_plan::claim(const std::string& id, std::size_t gang,
                           const gang_placement& placement)
{
    auto& g = gangs_[gang];
    if (g.jobs.empty())
    {
        pinned_.take(g.home, g.shape.each);
    }
    g.jobs.emplace(id, placement);
    g.claimed += static_cast<std::uint32_t>(placement.size());
    jobs_[id] = gang;
}

void guarantee_plan::release(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        return;
    }
    auto& g = gangs_[found->second];
    const auto job = g.jobs.find(id);
    g.claimed -= static_cast<std::uint32_t>(job->second.size());
    g.jobs.erase(job);
    jobs_.erase(found);
    if (g.jobs.empty())
    {
        pinned_.give(g.home, g.shape.each);
        // The home may have lost a worker while the job ran.
        damaged_ = damaged_ || !home_stands(g);
    }
}

} // namespace limpetstack
