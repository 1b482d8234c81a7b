#include "coordination/job_scheduler.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace limpetstack
{
namespace
{

// Racks compared when racks are chosen for a gang that waits.
constexpr std::size_t reservation_racks = 64;

} // namespace

time_point job_scheduler::free_at(const std::string& rack,
                                  const gang_shape& shape, time_point now) const
{
    std::map<std::string, resources> room;
    std::set<std::string> ids;
    for (const auto& worker : all_.workers(data_centre_, rack))
    {
        room[worker] = all_.free(worker).value_or(resources{});
        const auto here = borrowing_.on_worker(worker);
        ids.insert(here.begin(), here.end());
    }
    std::vector<std::pair<time_point, const placed_job*>> ends;
    for (const auto& id : ids)
    {
        const auto& gang = placed_.at(id);
        const auto end = gang.start + gang.expected;
        // A gang that runs longer than expected is given half as long again.
        ends.emplace_back(end > now ? end : now + (now - gang.start) / 2,
                          &gang);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto& a, const auto& b)
              {
                  return a.first < b.first;
              });
    const auto enough = [&room, &shape]
    {
        std::uint64_t count = 0;
        for (const auto& entry : room)
        {
            count += fit_count(entry.second, shape.each);
        }
        return count >= shape.members;
    };
    auto at = now;
    for (auto next = ends.begin(); next != ends.end() && !enough(); ++next)
    {
        at = next->first;
        for (const auto& worker : next->second->placement)
        {
            const auto found = room.find(worker);
            if (found != room.end())
            {
                found->second = found->second + next->second->job.shape.each;
            }
        }
    }
    return enough() ? at : time_point::max();
}

void job_scheduler::reserve(const queued_job& job, time_point now)
{
    // Racks by the time at which each can hold its part of the gang. Room
    // taken by guaranteed work is not expected to become free.
    const bool one_rack =
        plan_.pinned().roomy_racks(data_centre_, job.shape, 1).size() == 1;
    if (!one_rack && job.shape.placement == adjacency::rack)
    {
        return;
    }
    auto part = job.shape;
    part.members = one_rack ? job.shape.members : 1;
    std::vector<std::tuple<time_point, std::string, std::uint32_t>> racks;
    for (const auto& rack :
         plan_.pinned().roomy_racks(data_centre_, part, reservation_racks))
    {
        const auto room =
            plan_.pinned().room(data_centre_, rack, job.shape.each);
        part.members = std::min(room, job.shape.members);
        racks.emplace_back(free_at(rack, part, now), rack, room);
    }
    std::sort(racks.begin(), racks.end());
    reservation made;
    made.id = job.id;
    made.made = now;
    std::uint64_t members = 0;
    for (const auto& [at, rack, room] : racks)
    {
        if (members >= job.shape.members || at == time_point::max())
        {
            break;
        }
        members += room;
        made.start = std::max(made.start, at);
        made.racks.push_back(rack);
    }
    if (members < job.shape.members)
    {
        return;
    }
    for (const auto& rack : made.racks)
    {
        all_.hold(data_centre_, rack, true);
    }
    reservation_ = std::move(made);
}

void job_scheduler::cancel_reservation()
{
    if (reservation_)
    {
        for (const auto& rack : reservation_->racks)
        {
            all_.hold(data_centre_, rack, false);
        }
        reservation_.reset();
        changed_ = true;
    }
}

} // namespace limpetstack
