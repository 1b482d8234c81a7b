#include "coordination/fleet/gang_hold.hpp"

#include <algorithm>
#include <cstddef>

namespace limpetstack::fleet
{
namespace
{

// A worker that is not held yet takes the place of a held one when its missing
// capacity is smaller by this part of a worker.
constexpr double exchange_threshold = 0.3;

// A gang of which more subtasks fit on one worker finds capacity without a
// hold. The limit bounds the time of a choice.
constexpr std::uint32_t max_slots_per_worker = 8;

// Capacity for one subtask on a worker, which may still be in use.
struct worker_slot
{
    std::size_t candidate = 0;
    double missing = 0; // Part of the worker that has to become free.
};

double missing_part(const resource_amounts& need, const resource_amounts& free,
                    const resource_amounts& capacity)
{
    const auto part =
        [](std::int64_t wanted, std::int64_t available, std::int64_t all)
    {
        return wanted <= available || all <= 0
                   ? 0.0
                   : static_cast<double>(wanted - available) /
                         static_cast<double>(all);
    };
    return part(need.cpu_milli, free.cpu_milli, capacity.cpu_milli) +
           part(need.memory_mb, free.memory_mb, capacity.memory_mb) +
           part(need.accelerators, free.accelerators, capacity.accelerators);
}

std::vector<worker_slot> slots_on(const placement_candidate& candidate,
                                  std::size_t index,
                                  const amounts_by_worker& lasting_use,
                                  const placement_request& request, bool held)
{
    const auto& capacity = candidate.worker->capacity;
    auto usable = capacity;
    const auto lasting = lasting_use.find(candidate.worker->record.id());
    if (lasting != lasting_use.end())
    {
        usable = usable - lasting->second;
    }
    std::vector<worker_slot> slots;
    auto free = candidate.free;
    const auto count = std::min(count_fitting(candidate, usable, request),
                                max_slots_per_worker);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        slots.push_back({index, missing_part(request.need, free, capacity) -
                                    (held ? exchange_threshold : 0)});
        free = free - request.need;
    }
    return slots;
}

// Moves the `count` slots that lack the least to the front, and returns what
// they lack together.
double select_slots(std::vector<worker_slot>& slots, std::uint32_t count)
{
    std::stable_sort(slots.begin(), slots.end(),
                     [](const worker_slot& a, const worker_slot& b)
                     {
                         return a.missing < b.missing;
                     });
    double sum = 0;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        sum += slots[i].missing;
    }
    return sum;
}

} // namespace

amounts_by_worker
choose_workers_to_hold(const std::vector<placement_candidate>& candidates,
                       const amounts_by_worker& lasting_use,
                       const placement_request& request,
                       const amounts_by_worker& previous)
{
    // Without a limit to one rack, all slots are in one list.
    const bool one_rack = is_limited_to_one_rack(request);
    std::map<std::string, std::vector<worker_slot>> racks;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& record = candidates[i].worker->record;
        if (candidates[i].last_resort || !is_eligible(candidates[i], request) ||
            (one_rack && !request.preferred_rack.empty() &&
             record.rack() != request.preferred_rack))
        {
            continue;
        }
        const auto slots = slots_on(candidates[i], i, lasting_use, request,
                                    previous.count(record.id()) > 0);
        auto& rack = racks[one_rack ? record.rack() : std::string()];
        rack.insert(rack.end(), slots.begin(), slots.end());
    }
    const std::vector<worker_slot>* best = nullptr;
    double least_missing = 0;
    for (auto& [rack, slots] : racks)
    {
        if (slots.size() < request.count)
        {
            continue;
        }
        const auto missing = select_slots(slots, request.count);
        if (best == nullptr || missing < least_missing)
        {
            best = &slots;
            least_missing = missing;
        }
    }
    amounts_by_worker chosen;
    for (std::uint32_t i = 0; best != nullptr && i < request.count; ++i)
    {
        auto& held =
            chosen[candidates[(*best)[i].candidate].worker->record.id()];
        held = held + request.need;
    }
    return chosen;
}

} // namespace limpetstack::fleet
