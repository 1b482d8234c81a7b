#include "limpetstack/placement.hpp"

#include <algorithm>

namespace limpetstack
{

std::vector<std::string>
worker_index::roomy_racks(const std::string& data_centre,
                          const gang_shape& shape, std::size_t limit) const
{
    std::vector<std::string> result;
    const auto found = data_centres_.find(data_centre);
    if (found == data_centres_.end())
    {
        return result;
    }
    const auto key =
        std::min<std::size_t>(shape.each.accelerators, tracked_accelerators);
    const auto& keys = found->second.by_key[key];
    for (auto at = keys.rbegin(); at != keys.rend() && result.size() < limit;
         ++at)
    {
        if (key > 0 && at->first < shape.members)
        {
            break;
        }
        if (rack_fit(racks_[at->second], shape.each) >= shape.members)
        {
            result.push_back(racks_[at->second].name);
        }
    }
    return result;
}

std::uint32_t worker_index::room(const std::string& data_centre,
                                 const std::string& rack,
                                 const resources& each) const
{
    const auto dc = data_centres_.find(data_centre);
    if (dc == data_centres_.end())
    {
        return 0;
    }
    const auto found = dc->second.racks.find(rack);
    return found == dc->second.racks.end()
               ? 0
               : rack_fit(racks_[found->second], each);
}

std::vector<std::string> worker_index::workers(const std::string& data_centre,
                                               const std::string& rack) const
{
    std::vector<std::string> result;
    const auto found = data_centres_.find(data_centre);
    if (found == data_centres_.end())
    {
        return result;
    }
    for (const auto& [name, index] : found->second.racks)
    {
        if (!rack.empty() && rack != name)
        {
            continue;
        }
        for (const auto w : racks_[index].workers)
        {
            if (workers_[w].present && workers_[w].enabled)
            {
                result.push_back(workers_[w].id);
            }
        }
    }
    return result;
}

std::optional<resources> worker_index::free(const std::string& worker) const
{
    const auto found = ids_.find(worker);
    if (found == ids_.end())
    {
        return std::nullopt;
    }
    return free_of(workers_[found->second]);
}

bool worker_index::overcommitted(const std::string& worker) const
{
    const auto found = ids_.find(worker);
    if (found == ids_.end())
    {
        return false;
    }
    const auto& w = workers_[found->second];
    return w.taken.accelerators > w.total.accelerators ||
           w.taken.cores > w.total.cores ||
           w.taken.memory_mib > w.total.memory_mib;
}

resources worker_index::total() const
{
    resources sum;
    for (const auto& entry : ids_)
    {
        const auto& w = workers_[entry.second];
        if (w.present && w.enabled)
        {
            sum = sum + w.total;
        }
    }
    return sum;
}

std::string worker_index::rack_of(const std::string& worker) const
{
    const auto found = ids_.find(worker);
    if (found == ids_.end() || workers_[found->second].rack == no_rack)
    {
        return {};
    }
    return racks_[workers_[found->second].rack].name;
}

std::uint32_t worker_index::largest_rack_gang(const std::string& data_centre,
                                              const resources& each) const
{
    const auto found = data_centres_.find(data_centre);
    std::uint32_t largest = 0;
    if (found == data_centres_.end())
    {
        return largest;
    }
    for (const auto& [name, index] : found->second.racks)
    {
        largest = std::max(largest, rack_fit(racks_[index], each));
    }
    return largest;
}

} // namespace limpetstack
