#include "coordination/guarantee.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace limpetstack
{
namespace
{

// Gangs considered for a gang that needs several racks, cheapest first.
constexpr std::size_t spread_gangs = 512;

// Cores count little beside accelerators, but break ties between gangs
// without any.
constexpr double core_size = 0.01;

/// The workers that a choice may use, with what would be free on them.
class trial
{
public:
    trial(const reclaim_view& view, const gang_shape& shape,
          const std::vector<std::string>& workers)
        : view_(view)
        , shape_(shape)
    {
        for (const auto& worker : workers)
        {
            const auto space = view.all.free(worker).value_or(resources{});
            const auto limit = view.guaranteed.free(worker);
            room_.emplace(worker, space);
            limit_.emplace(worker, limit.value_or(resources{}));
            fit_ += fit_at(worker);
        }
    }

    bool enough() const { return fit_ >= shape_.members; }
    std::int64_t fit() const { return fit_; }

    /// Counts the gang as stopped (sign 1) or as running again (sign -1).
    /// Returns the change in the number of members that fit.
    std::int64_t stop(const borrowing_gang& gang, int sign)
    {
        const auto before = fit_;
        for (const auto& worker : gang.placement)
        {
            const auto at = room_.find(worker);
            if (at == room_.end())
            {
                continue;
            }
            fit_ -= fit_at(worker);
            auto& space = at->second;
            space = sign > 0
                        ? space + gang.each
                        : resources{space.accelerators - gang.each.accelerators,
                                    space.cores - gang.each.cores,
                                    space.memory_mib - gang.each.memory_mib};
            fit_ += fit_at(worker);
        }
        return fit_ - before;
    }

    /// Returns the members on the workers with the most room first.
    gang_placement placement() const
    {
        std::vector<std::pair<std::uint32_t, std::string>> order;
        for (const auto& entry : room_)
        {
            const auto count = fit_at(entry.first);
            if (count > 0)
            {
                order.emplace_back(std::numeric_limits<std::uint32_t>::max() -
                                       count,
                                   entry.first);
            }
        }
        std::sort(order.begin(), order.end());
        gang_placement result;
        for (const auto& [rank, worker] : order)
        {
            const auto left =
                shape_.members - static_cast<std::uint32_t>(result.size());
            const auto count = std::min(
                left, std::numeric_limits<std::uint32_t>::max() - rank);
            result.insert(result.end(), count, worker);
        }
        return result;
    }

private:
    std::uint32_t fit_at(const std::string& worker) const
    {
        // A gang that is stopping for another claim is counted once only:
        // room never exceeds what guaranteed work leaves.
        const auto& a = room_.at(worker);
        const auto& b = limit_.at(worker);
        const resources space{std::min(a.accelerators, b.accelerators),
                              std::min(a.cores, b.cores),
                              std::min(a.memory_mib, b.memory_mib)};
        return std::min(fit_count(space, shape_.each), shape_.members);
    }

    const reclaim_view& view_;
    const gang_shape& shape_;
    std::map<std::string, resources> room_;
    std::map<std::string, resources> limit_;
    std::int64_t fit_ = 0;
};

double size_on(const borrowing_gang& gang, const std::set<std::string>& workers)
{
    double size = 0;
    for (const auto& worker : gang.placement)
    {
        size += workers.count(worker) > 0
                    ? gang.each.accelerators + core_size * gang.each.cores
                    : 0;
    }
    return size;
}

/// Returns the borrowing gangs on the workers, each once, by id.
std::vector<const borrowing_gang*>
gangs_on(const borrowing_table& table, const std::vector<std::string>& workers)
{
    std::set<std::string> ids;
    for (const auto& worker : workers)
    {
        for (const auto& id : table.on_worker(worker))
        {
            ids.insert(id);
        }
    }
    std::vector<const borrowing_gang*> result;
    result.reserve(ids.size());
    for (const auto& id : ids)
    {
        result.push_back(table.find(id));
    }
    return result;
}

/// Stops gangs, the least loss for the room gained first, until the shape
/// fits; then lets every gang run again that is not needed after all.
std::optional<reclaim_choice> choose_on(const reclaim_view& view,
                                        const gang_shape& shape,
                                        const std::vector<std::string>& workers)
{
    const auto now = view.now;
    trial state(view, shape, workers);
    auto gangs = gangs_on(view.borrowing, workers);
    const std::set<std::string> set(workers.begin(), workers.end());
    if (gangs.size() > spread_gangs)
    {
        const auto cheaper = [&set, now](const auto* a, const auto* b)
        {
            return a->lost(now) / size_on(*a, set) <
                   b->lost(now) / size_on(*b, set);
        };
        std::stable_sort(gangs.begin(), gangs.end(), cheaper);
        gangs.resize(spread_gangs);
    }
    std::vector<const borrowing_gang*> victims;
    while (!state.enough() && !gangs.empty())
    {
        auto best = gangs.end();
        double best_rank = -1;
        for (auto at = gangs.begin(); at != gangs.end(); ++at)
        {
            const auto gain = state.stop(**at, 1);
            state.stop(**at, -1);
            // A gang may gain nothing by itself, when a worker must lose
            // several gangs before one member fits.
            const auto rank =
                (static_cast<double>(gain) + 0.001 * size_on(**at, set)) /
                ((*at)->lost(now) + 1);
            if (rank > best_rank)
            {
                best = at;
                best_rank = rank;
            }
        }
        state.stop(**best, 1);
        victims.push_back(*best);
        gangs.erase(best);
    }
    if (!state.enough())
    {
        return std::nullopt;
    }
    std::stable_sort(victims.begin(), victims.end(),
                     [now](const auto* a, const auto* b)
                     {
                         return a->lost(now) > b->lost(now);
                     });
    reclaim_choice choice;
    for (const auto* gang : victims)
    {
        state.stop(*gang, -1);
        if (!state.enough())
        {
            state.stop(*gang, 1);
            choice.victims.push_back(gang->id);
            choice.lost += gang->lost(now);
        }
    }
    choice.placement = state.placement();
    std::sort(choice.victims.begin(), choice.victims.end());
    return choice;
}

} // namespace

void borrowing_table::insert(const borrowing_gang& gang)
{
    erase(gang.id);
    gangs_.emplace(gang.id, gang);
    for (const auto& worker : gang.placement)
    {
        by_worker_[worker].insert(gang.id);
    }
}

void borrowing_table::erase(const std::string& id)
{
    const auto found = gangs_.find(id);
    if (found == gangs_.end())
    {
        return;
    }
    for (const auto& worker : found->second.placement)
    {
        const auto at = by_worker_.find(worker);
        if (at != by_worker_.end())
        {
            at->second.erase(id);
            if (at->second.empty())
            {
                by_worker_.erase(at);
            }
        }
    }
    gangs_.erase(found);
}

double borrowing_gang::lost(time_point now) const
{
    return size * std::chrono::duration<double>(now - saved_at).count();
}

double gang_size(const gang_shape& shape)
{
    return shape.members *
           (shape.each.accelerators + core_size * shape.each.cores);
}

void borrowing_table::saved(const std::string& id, time_point at)
{
    const auto found = gangs_.find(id);
    if (found != gangs_.end())
    {
        found->second.saved_at = at;
    }
}

const borrowing_gang* borrowing_table::find(const std::string& id) const
{
    const auto found = gangs_.find(id);
    return found == gangs_.end() ? nullptr : &found->second;
}

std::vector<std::string>
borrowing_table::on_worker(const std::string& worker) const
{
    const auto found = by_worker_.find(worker);
    return found == by_worker_.end()
               ? std::vector<std::string>()
               : std::vector<std::string>(found->second.begin(),
                                          found->second.end());
}

std::optional<reclaim_choice> reclaim_at(const reclaim_view& view,
                                         const resources& each,
                                         const gang_placement& placement)
{
    std::map<std::string, std::uint32_t> needed;
    for (const auto& worker : placement)
    {
        ++needed[worker];
    }
    std::map<std::string, const borrowing_gang*> stopped;
    for (const auto& [worker, count] : needed)
    {
        if (!view.all.usable(worker))
        {
            return std::nullopt;
        }
        auto gangs = gangs_on(view.borrowing, {worker});
        std::stable_sort(gangs.begin(), gangs.end(),
                         [&view](const auto* a, const auto* b)
                         {
                             return a->lost(view.now) < b->lost(view.now);
                         });
        gang_shape shape;
        shape.members = count;
        shape.each = each;
        trial state(view, shape, {worker});
        for (const auto& [id, gang] : stopped)
        {
            state.stop(*gang, 1);
        }
        for (const auto* gang : gangs)
        {
            if (!state.enough() && stopped.emplace(gang->id, gang).second)
            {
                state.stop(*gang, 1);
            }
        }
        if (!state.enough())
        {
            return std::nullopt;
        }
    }
    reclaim_choice choice;
    choice.placement = placement;
    for (const auto& [id, gang] : stopped)
    {
        choice.victims.push_back(id);
        choice.lost += gang->lost(view.now);
    }
    return choice;
}

std::optional<reclaim_choice>
choose_reclaim(const reclaim_view& view, const gang_shape& shape,
               const std::function<bool(const gang_placement&)>& accept)
{
    // Half of the racks compared are those with the most room at present, the
    // others those with the least guaranteed work.
    auto one = shape;
    one.members = 1;
    auto racks = view.all.roomy_racks(view.data_centre, one, reclaim_racks / 2);
    const auto others =
        view.guaranteed.roomy_racks(view.data_centre, shape, reclaim_racks / 2);
    racks.insert(racks.end(), others.begin(), others.end());
    std::vector<reclaim_choice> choices;
    std::set<std::string> seen;
    for (const auto& rack : racks)
    {
        if (!seen.insert(rack).second)
        {
            continue;
        }
        auto choice =
            choose_on(view, shape, view.all.workers(view.data_centre, rack));
        if (choice)
        {
            choices.push_back(std::move(*choice));
        }
    }
    if (choices.empty() && shape.placement == adjacency::any)
    {
        auto choice =
            choose_on(view, shape, view.all.workers(view.data_centre, ""));
        if (choice)
        {
            choices.push_back(std::move(*choice));
        }
    }
    std::stable_sort(choices.begin(), choices.end(),
                     [](const auto& a, const auto& b)
                     {
                         return a.lost != b.lost
                                    ? a.lost < b.lost
                                    : a.victims.size() < b.victims.size();
                     });
    for (auto& choice : choices)
    {
        if (accept(choice.placement))
        {
            return std::move(choice);
        }
    }
    return std::nullopt;
}

} // namespace limpetstack
