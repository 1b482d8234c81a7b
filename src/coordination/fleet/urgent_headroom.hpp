#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/worker_fleet.hpp"

#include <cstdint>
#include <deque>

namespace limpetstack::fleet
{

/// Room on a service's workers that less urgent work leaves to urgent work: as
/// much as urgent work took during the last window, and at most a quarter of
/// the capacity, so that work which fits twice into a half-empty service always
/// starts. Without it each urgent gang on a full service waits until other runs
/// have been stopped for it. For one thread.
class urgent_headroom
{
public:
    explicit urgent_headroom(milliseconds window)
        : window_(window)
    {
    }

    /// Records urgent work that was placed.
    void note(const resource_amounts& placed, time_point now);

    /// Drops what was placed before the window; `capacity` is the service's.
    void refresh(const resource_amounts& capacity, time_point now);

    /// Returns the room to leave.
    const resource_amounts& kept() const { return kept_; }

    /// Returns how many subtasks of `need`, at most `count`, fit into `free`
    /// beside the headroom.
    std::uint32_t allowed(const resource_amounts& free,
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
    resource_amounts kept_;
};

} // namespace limpetstack::fleet
