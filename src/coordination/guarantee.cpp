#include "coordination/guarantee.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace limpetstack
{
namespace
{

// Orders tried before a document is refused. The first three are sorted, the
// others are shuffles with fixed seeds.
constexpr std::size_t check_orders = 24;

using sort_key = std::tuple<bool, std::uint64_t, std::uint64_t>;

sort_key key_of(const shape_demand& demand, std::size_t order)
{
    const auto& shape = demand.shape;
    const bool loose = shape.placement == adjacency::any && shape.members > 1;
    const auto all = std::uint64_t{shape.members} * shape.each.accelerators;
    switch (order)
    {
    case 0:
        return {loose, all, shape.each.accelerators};
    case 1:
        return {loose, shape.each.accelerators, all};
    default:
        return {loose, std::uint64_t{shape.members} * shape.each.cores,
                shape.each.memory_mib};
    }
}

/// Returns the positions of the demands in the order in which their gangs are
/// placed, once for each gang.
std::vector<std::size_t> ordered(const std::vector<shape_demand>& demands,
                                 std::size_t order)
{
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < demands.size(); ++i)
    {
        positions.insert(positions.end(), demands[i].count, i);
    }
    if (order > 2)
    {
        std::mt19937_64 random(order);
        std::shuffle(positions.begin(), positions.end(), random);
        return positions;
    }
    // Demands that are hardest to place come first.
    std::stable_sort(positions.begin(), positions.end(),
                     [&demands, order](auto a, auto b)
                     {
                         const auto x = key_of(demands[a], order);
                         const auto y = key_of(demands[b], order);
                         return std::get<0>(x) != std::get<0>(y)
                                    ? std::get<0>(x) < std::get<0>(y)
                                    : x > y;
                     });
    return positions;
}

struct placed_demand
{
    std::size_t demand = 0;
    gang_placement placement;
};

/// Places the demands one after the other. Returns what was placed before
/// the first that found no room.
std::vector<placed_demand>
place_in_order(worker_index& index, const std::string& data_centre,
               const std::vector<shape_demand>& demands, std::size_t order)
{
    std::vector<placed_demand> placed;
    placement_options options;
    options.use_held = true;
    for (const auto i : ordered(demands, order))
    {
        auto placement = index.place(data_centre, demands[i].shape, options);
        if (!placement)
        {
            return placed;
        }
        index.take(*placement, demands[i].shape.each);
        placed.push_back({i, std::move(*placement)});
    }
    return placed;
}

using account_demands =
    std::vector<std::pair<std::string, std::vector<shape_demand>>>;

/// Tests whether the first `count` accounts and the `fixed` ones fit.
bool fits(worker_index& index, const std::string& data_centre,
          const account_demands& accounts, std::size_t count,
          const account_demands& fixed)
{
    std::vector<shape_demand> all;
    for (std::size_t i = 0; i < count; ++i)
    {
        all.insert(all.end(), accounts[i].second.begin(),
                   accounts[i].second.end());
    }
    for (const auto& entry : fixed)
    {
        all.insert(all.end(), entry.second.begin(), entry.second.end());
    }
    return fit_side_by_side(index, data_centre, all, check_orders);
}

/// Returns accounts that do not fit together; without any one of them the
/// others are not known to clash. Each round finds by bisection the account
/// whose addition makes the set too large.
account_demands clashing(worker_index& index, const std::string& data_centre,
                         const account_demands& accounts)
{
    account_demands found;
    auto end = accounts.size();
    while (end > 0 && fits(index, data_centre, accounts, 0, found))
    {
        std::size_t low = 0;
        while (low + 1 < end)
        {
            const auto middle = low + (end - low) / 2;
            const bool ok = fits(index, data_centre, accounts, middle, found);
            (ok ? low : end) = middle;
        }
        found.push_back(accounts[end - 1]);
        --end;
    }
    return found;
}

std::string describe(const shape_demand& demand)
{
    const auto& shape = demand.shape;
    return std::to_string(demand.count) + " x " +
           std::to_string(shape.members) + " members with " +
           std::to_string(shape.each.accelerators) + " accelerators, " +
           std::to_string(shape.each.cores) + " cores, " +
           std::to_string(shape.each.memory_mib) + " MiB" +
           (shape.placement == adjacency::rack ? " in one rack" : "");
}

guarantee_conflict conflict_of(const std::string& data_centre,
                               const account_demands& accounts)
{
    guarantee_conflict result;
    result.data_centre = data_centre;
    result.message =
        "the guaranteed shapes of these client accounts do not fit side by "
        "side on the declared fleet of data centre " +
        data_centre + ":";
    const char* separator = " ";
    for (const auto& [account, demands] : accounts)
    {
        result.accounts.push_back(account);
        for (const auto& demand : demands)
        {
            result.message +=
                separator + account + " (" + describe(demand) + ")";
            separator = ", ";
        }
    }
    std::sort(result.accounts.begin(), result.accounts.end());
    return result;
}

} // namespace

gang_shape shape_of(const guaranteed_shape& guarantee)
{
    return {guarantee.members,
            {guarantee.accelerators, guarantee.cores, guarantee.memory_mib},
            guarantee.placement};
}

bool covers(const gang_shape& guarantee, const gang_shape& job)
{
    const bool adjacent = guarantee.placement == adjacency::rack ||
                          job.placement == adjacency::any || job.members == 1;
    return adjacent && job.members <= guarantee.members &&
           job.each.accelerators <= guarantee.each.accelerators &&
           job.each.cores <= guarantee.each.cores &&
           job.each.memory_mib <= guarantee.each.memory_mib;
}

worker_index declared_fleet(const document& source,
                            const std::string& data_centre)
{
    worker_index index;
    std::size_t group_number = 0;
    for (const auto& group : source.fleet)
    {
        ++group_number;
        if (group.data_centre != data_centre)
        {
            continue;
        }
        for (std::uint32_t r = 0; r < group.racks; ++r)
        {
            const auto rack =
                std::to_string(group_number) + "-" + std::to_string(r);
            for (std::uint32_t w = 0; w < group.workers_per_rack; ++w)
            {
                index.put(
                    {rack + "-" + std::to_string(w),
                     data_centre,
                     rack,
                     {group.accelerators, group.cores, group.memory_mib}});
            }
        }
    }
    return index;
}

std::optional<std::vector<gang_placement>>
place_side_by_side(worker_index& index, const std::string& data_centre,
                   const std::vector<shape_demand>& demands, std::size_t orders)
{
    std::size_t gangs = 0;
    for (const auto& demand : demands)
    {
        gangs += demand.count;
    }
    for (std::size_t order = 0; order < orders; ++order)
    {
        auto placed = place_in_order(index, data_centre, demands, order);
        for (const auto& [demand, placement] : placed)
        {
            index.give(placement, demands[demand].shape.each);
        }
        if (placed.size() == gangs)
        {
            std::stable_sort(placed.begin(), placed.end(),
                             [](const auto& a, const auto& b)
                             {
                                 return a.demand < b.demand;
                             });
            std::vector<gang_placement> result;
            result.reserve(gangs);
            for (auto& entry : placed)
            {
                result.push_back(std::move(entry.placement));
            }
            return result;
        }
    }
    return std::nullopt;
}

bool fit_side_by_side(worker_index& index, const std::string& data_centre,
                      const std::vector<shape_demand>& demands,
                      std::size_t orders)
{
    return place_side_by_side(index, data_centre, demands, orders).has_value();
}

std::vector<guarantee_conflict> check_guarantees(const document& source)
{
    std::map<std::string, account_demands> by_data_centre;
    for (const auto& account : source.client_accounts)
    {
        for (const auto& guarantee : account.guarantees)
        {
            auto& accounts = by_data_centre[guarantee.data_centre];
            if (accounts.empty() || accounts.back().first != account.name)
            {
                accounts.emplace_back(account.name,
                                      std::vector<shape_demand>());
            }
            accounts.back().second.push_back(
                {account.name, shape_of(guarantee), guarantee.count});
        }
    }
    std::vector<guarantee_conflict> result;
    for (const auto& [data_centre, accounts] : by_data_centre)
    {
        auto index = declared_fleet(source, data_centre);
        if (!fits(index, data_centre, accounts, accounts.size(), {}))
        {
            result.push_back(conflict_of(
                data_centre, clashing(index, data_centre, accounts)));
        }
    }
    return result;
}

} // namespace limpetstack
