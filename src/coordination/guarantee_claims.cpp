#include "coordination/guarantee_claims.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{

std::vector<std::string>
guarantee_claims::configure(const document& source,
                            const std::string& data_centre)
{
    gangs_.clear();
    for (const auto& account : source.client_accounts)
    {
        auto& list = gangs_[account.name];
        for (const auto& guarantee : account.guarantees)
        {
            if (guarantee.data_centre == data_centre)
            {
                list.insert(list.end(), guarantee.count,
                            {shape_of(guarantee), 0});
            }
        }
    }
    std::vector<std::string> lost;
    const auto before = std::exchange(claims_, {});
    for (const auto& [id, record] : before)
    {
        if (!claim(id, record.account, record.job))
        {
            lost.push_back(id);
        }
    }
    return lost;
}

bool guarantee_claims::coverable(const std::string& account,
                                 const gang_shape& job) const
{
    const auto found = gangs_.find(account);
    return found != gangs_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&job](const auto& gang)
                       {
                           return covers(gang.shape, job);
                       });
}

bool guarantee_claims::claim(const std::string& id, const std::string& account,
                             const gang_shape& job)
{
    const auto found = gangs_.find(account);
    if (found == gangs_.end() || claims_.count(id) > 0)
    {
        return false;
    }
    auto& list = found->second;
    std::size_t best = list.size();
    std::uint64_t best_size = 0;
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        const auto left = list[i].shape.members - list[i].claimed;
        // Left-over members first, then small shapes: large ones stay whole.
        const auto size =
            (std::uint64_t{left} << 32U) + list[i].shape.each.accelerators;
        if (left >= job.members && covers(list[i].shape, job) &&
            (best == list.size() || size < best_size))
        {
            best = i;
            best_size = size;
        }
    }
    if (best == list.size())
    {
        return false;
    }
    list[best].claimed += job.members;
    claims_[id] = {account, best, job};
    return true;
}

void guarantee_claims::release(const std::string& id)
{
    const auto found = claims_.find(id);
    if (found != claims_.end())
    {
        gangs_[found->second.account][found->second.gang].claimed -=
            found->second.job.members;
        claims_.erase(found);
    }
}

bool guarantee_claims::holds(const std::string& id) const
{
    return claims_.count(id) > 0;
}

bool guarantee_claims::has_unclaimed(const std::string& account) const
{
    const auto found = gangs_.find(account);
    return found != gangs_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [](const auto& gang)
                       {
                           return gang.claimed < gang.shape.members;
                       });
}

std::vector<shape_demand> guarantee_claims::unclaimed() const
{
    std::vector<shape_demand> result;
    for (const auto& [account, list] : gangs_)
    {
        for (const auto& gang : list)
        {
            if (gang.claimed < gang.shape.members)
            {
                auto rest = gang.shape;
                rest.members -= gang.claimed;
                result.push_back({account, rest, 1});
            }
        }
    }
    return result;
}

} // namespace limpetstack
