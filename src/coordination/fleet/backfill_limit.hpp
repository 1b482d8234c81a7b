#pragma once

#include "coordination/fleet/resource_amounts.hpp"

#include <cstdint>
#include <map>

namespace limpetstack::fleet
{

/// Limits, for one service, how far the work of a queue may pass work of other
/// queues that waits. Work of priority 0 is not limited by it and not counted.
///
/// - Waiting gangs: less urgent work leaves their need free, up to an eighth of
///   the capacity. A gang needs all its capacity at one moment; without this
///   reserve, single subtasks of less urgent queues take each part of it as it
///   becomes free.
/// - Shares: each priority keeps a share of a sixth of the capacity. Its work
///   within the share is not held back for gangs, except from workers that are
///   held for one, and more urgent work leaves free
///   what its waiting work lacks of the share, but at most a quarter of the
///   capacity for all less urgent priorities together.
///
/// It must be used from one thread only.
class backfill_limit
{
public:
    /// Starts a scheduling round. `capacity` is the total capacity of the
    /// service's usable workers.
    void begin_round(const resource_amounts& capacity);

    /// Records capacity that work of the priority uses.
    void add_used(std::int64_t priority, const resource_amounts& amounts);

    /// Records the need of a step of the priority that waits: `count` subtasks
    /// of `need`, which start together or one by one. What does not fit into
    /// the rest of the share is not counted.
    void add_waiting(std::int64_t priority, const resource_amounts& need,
                     std::uint32_t count, bool all_or_nothing);

    /// Records the need of a gang that could not start in this round.
    void add_waiting_gang(std::int64_t priority,
                          const resource_amounts& amounts);

    /// Records free capacity on workers that are held for a gang of the
    /// priority. Less urgent work leaves it free as well.
    void add_held(std::int64_t priority, const resource_amounts& amounts);

    /// Ends the hold of a gang of the priority.
    void clear_held(std::int64_t priority);

    /// Returns true when the waiting gangs of the priority already need as much
    /// as is left free for them.
    bool is_gang_reserve_full(std::int64_t priority) const;

    /// Returns what work of the priority leaves free for gangs of more urgent
    /// queues.
    resource_amounts reserved_for_gangs(std::int64_t priority) const;

    /// Returns what work of the priority leaves free for the shares of less
    /// urgent queues.
    resource_amounts reserved_for_shares(std::int64_t priority) const;

    /// Returns how many subtasks of `need`, at most `count`, may start. `free`
    /// is the service's free capacity, and `headroom` the part that is reserved
    /// for urgent work.
    std::uint32_t count_allowed(std::int64_t priority,
                                const resource_amounts& free,
                                const resource_amounts& headroom,
                                const resource_amounts& need,
                                std::uint32_t count) const;

private:
    struct priority_amounts
    {
        resource_amounts used;
        resource_amounts waiting;
        resource_amounts waiting_gangs;
        resource_amounts held;
    };

    resource_amounts capacity_;
    std::map<std::int64_t, priority_amounts> priorities_;
};

} // namespace limpetstack::fleet
