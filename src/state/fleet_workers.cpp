// Implements the part of `fleet_state` that holds the workers and the evacuated
// data centres.
#include "state/fleet_state.hpp"
#include "state/worker_cost.hpp"

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// Number of gone worker incarnations that are remembered. A delayed report
// arrives within minutes of the departure; a fleet of thousands of workers
// replaces fewer than this in that time.
constexpr std::size_t max_gone_workers = 8192;

} // namespace

bool fleet_state::is_gone(const worker_incarnation& incarnation) const
{
    const auto found = gone_born_ms_.find(incarnation.worker);
    return found != gone_born_ms_.end() && incarnation.born_ms > 0 &&
           incarnation.born_ms <= found->second;
}

void fleet_state::remember_gone(const worker_incarnation& incarnation)
{
    if (incarnation.born_ms <= 0)
    {
        return;
    }
    auto& born_ms = gone_born_ms_[incarnation.worker];
    born_ms = std::max(born_ms, incarnation.born_ms);
    gone_workers_.push_back(incarnation);
    if (gone_workers_.size() > max_gone_workers)
    {
        const auto oldest = gone_workers_.front();
        gone_workers_.pop_front();
        const auto found = gone_born_ms_.find(oldest.worker);
        if (found != gone_born_ms_.end() && found->second == oldest.born_ms)
        {
            gone_born_ms_.erase(found);
        }
    }
}

apply_result fleet_state::put_worker(const worker_record& worker)
{
    if (is_gone({worker.id(), worker.born_ms()}))
    {
        return apply_result::refused;
    }
    const auto found = workers_.find(worker.id());
    if (found == workers_.end())
    {
        workers_.emplace(worker.id(), worker);
        workers_cost_ += worker_cost(worker);
        return apply_result::changed;
    }
    // A report of an earlier incarnation may arrive late, after the first
    // report of the next incarnation.
    if (worker.born_ms() < found->second.born_ms())
    {
        return apply_result::refused;
    }
    workers_cost_ += worker_cost(worker);
    workers_cost_ -= worker_cost(found->second);
    found->second = worker;
    return apply_result::changed;
}

apply_result fleet_state::remove_worker(const worker_ref& worker)
{
    const auto found = workers_.find(worker.id());
    if (found == workers_.end() || found->second.born_ms() != worker.born_ms())
    {
        return apply_result::unchanged;
    }
    workers_cost_ -= worker_cost(found->second);
    workers_.erase(found);
    if (worker.gone())
    {
        remember_gone({worker.id(), worker.born_ms()});
    }
    return apply_result::changed;
}

// Refuses a further evacuation when the limit is reached.
apply_result fleet_state::set_evacuated(const evacuation& change)
{
    const auto& name = change.data_centre();
    if (!change.active())
    {
        return evacuated_.erase(name) > 0 ? apply_result::changed
                                          : apply_result::unchanged;
    }
    if (is_evacuated(name))
    {
        return apply_result::unchanged;
    }
    if (evacuated_.size() >= max_evacuations)
    {
        return apply_result::refused;
    }
    evacuated_.insert(name);
    return apply_result::changed;
}

} // namespace limpetstack::fleet
