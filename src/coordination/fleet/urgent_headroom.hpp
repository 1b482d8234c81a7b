#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/worker_fleet.hpp"

#include <cstdint>
#include <deque>

namespace limpetstack::fleet
{

/// Computes the capacity of a service that is reserved for urgent work: as much
/// as urgent work took during the last window, but at most a quarter of the
/// service's capacity, so that work which fits twice into a half-empty service
/// always starts. Without this reserve each urgent gang on a full service would
/// wait until other runs have been stopped for it. It must be used from one
/// thread only.
class urgent_headroom
{
public:
    explicit urgent_headroom(milliseconds window)
        : window_(window)
    {
    }

    /// Records urgent work that was placed.
    void record(const resource_amounts& placed, time_point now);

    /// Drops placements that are older than the window and recomputes the
    /// headroom. `capacity` is the total capacity of the service.
    void refresh(const resource_amounts& capacity, time_point now);

    /// Returns the capacity that is reserved for urgent work.
    const resource_amounts& reserved() const { return reserved_; }

    /// Returns how many subtasks of `need`, at most `count`, fit into `free`
    /// while the headroom stays free. Resources without headroom do not limit
    /// the result.
    std::uint32_t count_allowed(const resource_amounts& free,
                                const resource_amounts& need,
                                std::uint32_t count) const;

private:
    struct entry
    {
        time_point at;
        resource_amounts placed;
    };

    milliseconds window_;
    std::deque<entry> entries_;
    resource_amounts sum_;
    resource_amounts reserved_;
};

} // namespace limpetstack::fleet
