#include "coordination/worker_quarantine.hpp"

#include <algorithm>
#include <cmath>

namespace limpetstack
{
namespace
{

// Outcomes lose half their weight in this time.
constexpr double half_life_ms = 30 * 60 * 1000;
// Failures of different jobs before a worker can be quarantined.
constexpr std::size_t least_failures = 3;
// A worker must fail this share of its starts, and this many times the share
// that all other workers fail.
constexpr double least_rate = 0.5;
constexpr double fleet_multiple = 3;
// While half of the fleet's starts fail, a worker that fails all of its own
// does not fail far more than the others.
constexpr double fleet_unusual = 0.5;
constexpr milliseconds first_wait{30 * 1000};
constexpr milliseconds longest_wait{3600 * 1000};
constexpr std::size_t group_share = 3; // At most one in three.

} // namespace

void worker_quarantine::counts::decay(time_point now)
{
    const auto age = static_cast<double>((now - at).count());
    if (age > 0)
    {
        const auto kept = std::exp2(-age / half_life_ms);
        starts *= kept;
        failures *= kept;
        at = now;
    }
}

void worker_quarantine::put(const std::string& worker, const std::string& group)
{
    const auto [at, added] = workers_.try_emplace(worker);
    auto& e = at->second;
    if (!added && e.group == group)
    {
        return;
    }
    if (!added)
    {
        --group_sizes_[e.group];
        group_quarantined_[e.group] -= e.quarantined ? 1 : 0;
        group_quarantined_[group] += e.quarantined ? 1 : 0;
    }
    e.group = group;
    ++group_sizes_[group];
}

void worker_quarantine::remove(const std::string& worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end())
    {
        --group_sizes_[found->second.group];
        group_quarantined_[found->second.group] -=
            found->second.quarantined ? 1 : 0;
        workers_.erase(found);
    }
}

bool worker_quarantine::far_above_fleet(const entry& e) const
{
    const auto starts = std::max(1.0, fleet_.starts - e.recent.starts);
    const auto fleet =
        std::max(0.0, fleet_.failures - e.recent.failures) / starts;
    const auto own = e.recent.failures / std::max(1.0, e.recent.starts);
    return fleet < fleet_unusual && own >= least_rate &&
           own >= std::min(fleet_multiple * fleet, 0.95);
}

bool worker_quarantine::group_has_room(const std::string& group) const
{
    const auto size = group_sizes_.find(group);
    const auto used = group_quarantined_.find(group);
    const auto count = used == group_quarantined_.end() ? 0 : used->second;
    return size != group_sizes_.end() &&
           (count + 1) * group_share <= size->second;
}

bool worker_quarantine::record(const std::string& worker,
                               const std::string& job, bool failed,
                               time_point now)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
    {
        return false;
    }
    auto& e = found->second;
    if (e.quarantined)
    {
        if (!failed)
        {
            --group_quarantined_[e.group];
            e.quarantined = false;
            e.recent = {};
            e.failed_jobs.clear();
            e.wait = milliseconds(0);
            return false;
        }
        e.wait = std::min(2 * e.wait, longest_wait);
        e.probe_at = now + e.wait;
        return false;
    }
    if (failed && e.failed_jobs.count(job) > 0)
    {
        return false;
    }
    fleet_.decay(now);
    e.recent.decay(now);
    for (auto* c : {&fleet_, &e.recent})
    {
        c->starts += 1;
        c->failures += failed ? 1 : 0;
    }
    if (!failed)
    {
        e.failed_jobs.erase(job);
        return false;
    }
    if (e.recent.failures < 1.5)
    {
        e.failed_jobs.clear(); // Earlier failures have lost their weight.
    }
    e.failed_jobs.insert(job);
    if (e.failed_jobs.size() < least_failures || !far_above_fleet(e) ||
        !group_has_room(e.group))
    {
        return false;
    }
    ++group_quarantined_[e.group];
    e.quarantined = true;
    e.wait = first_wait;
    e.probe_at = now + e.wait;
    return true;
}

void worker_quarantine::started(const std::string& worker, time_point now)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && found->second.quarantined)
    {
        // No second probe before the first has an outcome; a probe that is
        // never decided is repeated after the longest wait.
        found->second.probe_at = now + longest_wait;
    }
}

bool worker_quarantine::usable(const std::string& worker, time_point now) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() || !found->second.quarantined ||
           now >= found->second.probe_at;
}

std::vector<std::string> worker_quarantine::quarantined() const
{
    std::vector<std::string> result;
    for (const auto& [worker, e] : workers_)
    {
        if (e.quarantined)
        {
            result.push_back(worker);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace limpetstack
