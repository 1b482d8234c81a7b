#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetstack
{

/// Finds workers that fail far more starts than the rest of the fleet and
/// keeps work away from them. Counts several failures of one job on a worker
/// as one, compares with the rate of all other workers, and never has more
/// than a third of a group out of use, so that a bad job can not quarantine
/// the fleet. A quarantined worker is probed with one start at a time; the
/// wait doubles after each failed probe.
class worker_quarantine
{
public:
    /// Adds a worker to a group of equal workers, or moves it there.
    void put(const std::string& worker, const std::string& group);
    void remove(const std::string& worker);

    /// Records the outcome of a member's start on the worker. Returns true
    /// when the worker became quarantined by it.
    bool record(const std::string& worker, const std::string& job, bool failed,
                time_point now);

    /// Tells that a member is being started on the worker: a probe, when the
    /// worker is on probation.
    void started(const std::string& worker, time_point now);

    /// Returns true when the worker may get work at `now`.
    bool usable(const std::string& worker, time_point now) const;

    /// Returns the quarantined workers, also those that are being probed.
    std::vector<std::string> quarantined() const;

private:
    struct counts
    {
        double starts = 0;
        double failures = 0;
        time_point at{};

        void decay(time_point now);
    };

    struct entry
    {
        std::string group;
        counts recent;
        std::set<std::string> failed_jobs; // Distinct jobs counted.
        bool quarantined = false;
        time_point probe_at{};
        milliseconds wait{0};
    };

    bool far_above_fleet(const entry& e) const;
    bool group_has_room(const std::string& group) const;

    std::unordered_map<std::string, entry> workers_;
    std::map<std::string, std::size_t> group_sizes_;
    std::map<std::string, std::size_t> group_quarantined_;
    counts fleet_;
};

} // namespace limpetstack
