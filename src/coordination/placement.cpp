#include "limpetstack/placement.hpp"

#include <algorithm>
#include <limits>

namespace limpetstack
{
namespace
{

// Number of racks that a best-fit decision compares. Comparing more does not
// improve the result, because racks are visited in order of the free capacity
// that would remain.
constexpr std::size_t compared_racks = 8;

std::uint32_t saturating(std::uint64_t value)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        value, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

std::uint32_t fit_count(const resources& space, const resources& each)
{
    auto count = std::numeric_limits<std::uint32_t>::max();
    if (each.accelerators > 0)
    {
        count = std::min(count, space.accelerators / each.accelerators);
    }
    if (each.cores > 0)
    {
        count = std::min(count, space.cores / each.cores);
    }
    if (each.memory_mib > 0)
    {
        count = std::min(count, saturating(space.memory_mib / each.memory_mib));
    }
    return count;
}

resources operator+(const resources& a, const resources& b)
{
    return {a.accelerators + b.accelerators, a.cores + b.cores,
            a.memory_mib + b.memory_mib};
}

resources operator*(std::uint32_t count, const resources& each)
{
    return {count * each.accelerators, count * each.cores,
            count * each.memory_mib};
}

resources worker_index::free_of(const worker& w)
{
    if (!w.present || !w.enabled)
    {
        return {};
    }
    // A worker that came back smaller can have more taken than it has.
    const auto less = [](auto total, auto taken)
    {
        return total > taken ? total - taken : 0;
    };
    return {less(w.total.accelerators, w.taken.accelerators),
            less(w.total.cores, w.taken.cores),
            less(w.total.memory_mib, w.taken.memory_mib)};
}

std::size_t worker_index::rack_at(const std::string& data_centre,
                                  const std::string& name)
{
    auto& dc = data_centres_[data_centre];
    const auto found = dc.racks.find(name);
    if (found != dc.racks.end())
    {
        return found->second;
    }
    const auto index = racks_.size();
    racks_.push_back({data_centre, name, {}, {}, false});
    dc.racks.emplace(name, index);
    for (auto& keys : dc.by_key)
    {
        keys.emplace(0, index);
    }
    return index;
}

void worker_index::update_keys(std::size_t index)
{
    auto& r = racks_[index];
    rack_keys keys{};
    for (const auto w : r.workers)
    {
        const auto space = free_of(workers_[w]);
        keys[0] += space.cores;
        for (std::size_t a = 1; a <= tracked_accelerators; ++a)
        {
            keys[a] += space.accelerators / static_cast<std::uint32_t>(a);
        }
    }
    auto& dc = data_centres_.at(r.data_centre);
    for (std::size_t a = 0; a <= tracked_accelerators; ++a)
    {
        if (keys[a] != r.keys[a])
        {
            dc.by_key[a].erase({r.keys[a], index});
            dc.by_key[a].emplace(keys[a], index);
        }
    }
    r.keys = keys;
}

std::size_t worker_index::add_entry(const std::string& id)
{
    auto index = workers_.size();
    if (unused_.empty())
    {
        workers_.emplace_back();
    }
    else
    {
        index = unused_.back();
        unused_.pop_back();
    }
    workers_[index] = worker();
    workers_[index].id = id;
    return index;
}

void worker_index::put(const worker_capacity& given)
{
    auto at = ids_.find(given.id);
    if (at == ids_.end())
    {
        at = ids_.emplace(given.id, add_entry(given.id)).first;
    }
    auto& w = workers_[at->second];
    const auto rack = rack_at(given.data_centre, given.rack);
    if (w.present && w.rack == rack && w.total == given.total)
    {
        return;
    }
    const auto old = w.rack;
    const bool was_listed = old != no_rack;
    w.total = given.total;
    w.present = true;
    w.rack = rack;
    if (was_listed && old != rack)
    {
        auto& list = racks_[old].workers;
        list.erase(std::remove(list.begin(), list.end(), at->second),
                   list.end());
        update_keys(old);
    }
    if (!was_listed || old != rack)
    {
        racks_[rack].workers.push_back(at->second);
    }
    update_keys(rack);
}

void worker_index::remove(const std::string& id)
{
    const auto found = ids_.find(id);
    if (found != ids_.end() && workers_[found->second].present)
    {
        const auto index = found->second;
        workers_[index].present = false;
        update_keys(workers_[index].rack);
        forget_if_unused(index);
    }
}

void worker_index::forget_if_unused(std::size_t index)
{
    // Replaced workers do not come back under their old id.
    const auto& w = workers_[index];
    if (!w.present && w.taken == resources{})
    {
        if (w.rack != no_rack)
        {
            auto& list = racks_[w.rack].workers;
            list.erase(std::remove(list.begin(), list.end(), index),
                       list.end());
        }
        ids_.erase(w.id);
        unused_.push_back(index);
    }
}

bool worker_index::enable(const std::string& id, bool enabled)
{
    const auto found = ids_.find(id);
    if (found == ids_.end() || workers_[found->second].enabled == enabled)
    {
        return false;
    }
    workers_[found->second].enabled = enabled;
    if (workers_[found->second].rack != no_rack)
    {
        update_keys(workers_[found->second].rack);
    }
    return true;
}

bool worker_index::usable(const std::string& id) const
{
    const auto found = ids_.find(id);
    return found != ids_.end() && workers_[found->second].present &&
           workers_[found->second].enabled;
}

void worker_index::hold(const std::string& data_centre, const std::string& rack,
                        bool held)
{
    racks_[rack_at(data_centre, rack)].held = held;
}

void worker_index::change(const gang_placement& placement,
                          const resources& each, bool take)
{
    std::set<std::size_t> changed;
    for (const auto& id : placement)
    {
        auto found = ids_.find(id);
        if (found == ids_.end())
        {
            // A gang may run on a worker that has not announced itself yet.
            found = ids_.emplace(id, add_entry(id)).first;
        }
        auto& w = workers_[found->second];
        if (take)
        {
            w.taken = w.taken + each;
        }
        else
        {
            w.taken = {w.taken.accelerators - each.accelerators,
                       w.taken.cores - each.cores,
                       w.taken.memory_mib - each.memory_mib};
        }
        if (w.rack != no_rack)
        {
            changed.insert(w.rack);
        }
        if (!take)
        {
            forget_if_unused(found->second);
        }
    }
    for (const auto rack : changed)
    {
        update_keys(rack);
    }
}

void worker_index::take(const gang_placement& placement, const resources& each)
{
    change(placement, each, true);
}

void worker_index::give(const gang_placement& placement, const resources& each)
{
    change(placement, each, false);
}

std::uint32_t worker_index::rack_fit(const rack& r, const resources& each) const
{
    std::uint64_t count = 0;
    for (const auto w : r.workers)
    {
        if (workers_[w].present && workers_[w].enabled)
        {
            count += fit_count(free_of(workers_[w]), each);
        }
    }
    return saturating(count);
}

worker_index::candidate worker_index::fill(std::size_t index,
                                           std::uint32_t members,
                                           const resources& each) const
{
    candidate result;
    result.rack = index;
    std::vector<std::tuple<std::uint32_t, std::uint32_t, std::size_t>> order;
    std::uint64_t room = 0;
    for (const auto w : racks_[index].workers)
    {
        const auto space = free_of(workers_[w]);
        const bool usable = workers_[w].present && workers_[w].enabled;
        const auto count = usable ? fit_count(space, each) : 0;
        if (count > 0)
        {
            room += count;
            order.emplace_back(space.accelerators, space.cores, w);
        }
    }
    // Workers that are already in use come first, so that whole free workers
    // stay for members that need all of their accelerators.
    std::sort(order.begin(), order.end());
    for (const auto& [accelerators, cores, w] : order)
    {
        const auto count =
            std::min(members, fit_count(free_of(workers_[w]), each));
        if (count == 0)
        {
            break;
        }
        const auto total = workers_[w].total.accelerators;
        result.whole_taken += total > 0 && accelerators == total ? 1 : 0;
        result.members.emplace_back(w, count);
        room -= count;
        members -= count;
    }
    result.left = saturating(room);
    return result;
}

std::optional<worker_index::candidate>
worker_index::best_rack(const data_centre& dc, std::uint32_t members,
                        const resources& each, const placement_options& options,
                        const std::vector<std::size_t>& except) const
{
    const auto key =
        std::min<std::size_t>(each.accelerators, tracked_accelerators);
    const auto need =
        key > 0 ? std::uint64_t{members} : std::uint64_t{members} * each.cores;
    std::optional<candidate> best;
    std::size_t compared = 0;
    const auto limit = options.best_fit ? compared_racks : 1;
    const auto& keys = dc.by_key[key];
    for (auto at = keys.lower_bound({saturating(need), 0});
         at != keys.end() && compared < limit; ++at)
    {
        const auto& r = racks_[at->second];
        if ((r.held && !options.use_held) ||
            std::find(except.begin(), except.end(), at->second) !=
                except.end() ||
            rack_fit(r, each) < members)
        {
            continue;
        }
        ++compared;
        auto next = fill(at->second, members, each);
        if (!best || std::tie(next.whole_taken, next.left, r.name) <
                         std::tie(best->whole_taken, best->left,
                                  racks_[best->rack].name))
        {
            best = std::move(next);
        }
    }
    return best;
}

void worker_index::append(gang_placement& placement,
                          const candidate& part) const
{
    for (const auto& [w, count] : part.members)
    {
        placement.insert(placement.end(), count, workers_[w].id);
    }
}

std::optional<gang_placement>
worker_index::spread(const data_centre& dc, const gang_shape& shape,
                     const placement_options& options) const
{
    // The racks with the most room first, which gives the fewest racks; the
    // rest goes where it fits best.
    const auto key =
        std::min<std::size_t>(shape.each.accelerators, tracked_accelerators);
    gang_placement result;
    std::vector<std::size_t> used;
    auto left = shape.members;
    const auto& keys = dc.by_key[key];
    for (auto at = keys.rbegin(); at != keys.rend() && left > 0; ++at)
    {
        const auto& r = racks_[at->second];
        const auto room =
            r.held && !options.use_held ? 0 : rack_fit(r, shape.each);
        if (room == 0)
        {
            continue;
        }
        if (room >= left)
        {
            const auto last = best_rack(dc, left, shape.each, options, used);
            append(result, last ? *last : fill(at->second, left, shape.each));
            return result;
        }
        append(result, fill(at->second, room, shape.each));
        used.push_back(at->second);
        left -= room;
    }
    return std::nullopt;
}

std::optional<gang_placement>
worker_index::place(const std::string& data_centre, const gang_shape& shape,
                    const placement_options& options) const
{
    const auto found = data_centres_.find(data_centre);
    if (found == data_centres_.end() || shape.members == 0)
    {
        return std::nullopt;
    }
    const auto one =
        best_rack(found->second, shape.members, shape.each, options, {});
    if (one)
    {
        gang_placement result;
        append(result, *one);
        return result;
    }
    if (shape.placement == adjacency::rack || shape.members == 1)
    {
        return std::nullopt;
    }
    return spread(found->second, shape, options);
}

} // namespace limpetstack
