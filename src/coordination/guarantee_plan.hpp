#pragma once

#include "coordination/guarantee.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetstack
{

/// Where the guaranteed gangs of a data centre have their place. Every
/// guaranteed gang has a home, and no two homes overlap; work inside a
/// guarantee runs at the home of its guaranteed gang and nowhere else, so that
/// stopping the other work at a home always makes room there. Homes at which
/// nothing guaranteed runs move when that spares other work.
class guarantee_plan
{
public:
    /// Takes the guarantees of the data centre. Work inside a guarantee that
    /// has not changed stays inside; returns the ids of the other jobs.
    std::vector<std::string> configure(const document& source,
                                       const std::string& data_centre);

    void put_worker(const worker_capacity& worker);
    void remove_worker(const std::string& id);
    bool enable_worker(const std::string& id, bool enabled);

    /// Gives homes to guaranteed gangs that lost theirs with a worker. Returns
    /// the number of those that find no room.
    std::size_t repair();

    /// Returns true when the account's guarantee would cover the job if
    /// nothing else ran.
    bool coverable(const std::string& account, const gang_shape& job) const;

    /// Returns true when some member of the account's guarantees is unclaimed.
    bool has_unclaimed(const std::string& account) const;

    /// Returns the guaranteed gangs that the job can run inside now: first
    /// those that other jobs use in part, then the smallest.
    std::vector<std::size_t> choices(const std::string& account,
                                     const gang_shape& job) const;

    /// Returns the shape with which a job is placed to run inside.
    gang_shape shape_inside(std::size_t gang, const gang_shape& job) const;

    /// Returns the unclaimed places of the home, by member.
    gang_placement free_home(std::size_t gang) const;

    /// Returns true when nothing runs at the home, so that it can move.
    bool movable(std::size_t gang) const { return gangs_[gang].jobs.empty(); }

    /// Moves the home so that `placement` is part of it, and other homes where
    /// nothing runs out of the way. Returns false, and changes nothing, when
    /// not all of them would have a place.
    bool move_home(std::size_t gang, const gang_placement& placement);

    /// Lets the job run at these places of the home.
    void claim(const std::string& id, std::size_t gang,
               const gang_placement& placement);
    void release(const std::string& id);
    bool holds(const std::string& id) const { return jobs_.count(id) > 0; }

    /// Returns the fleet with only the homes taken at which something
    /// guaranteed runs.
    const worker_index& pinned() const { return pinned_; }

private:
    struct guaranteed_gang
    {
        std::string account;
        gang_shape shape;
        gang_placement home; // Empty: there is no room for it.
        std::map<std::string, gang_placement> jobs;
        std::uint32_t claimed = 0; // Members.
    };

    void set_home(std::size_t gang, gang_placement home);
    bool home_stands(const guaranteed_gang& gang) const;
    std::optional<gang_placement> extended(std::size_t gang,
                                           const gang_placement& part,
                                           const worker_index& room) const;
    bool replan(std::size_t fixed, const gang_placement& home,
                std::size_t orders);

    std::string data_centre_;
    std::vector<guaranteed_gang> gangs_;
    std::map<std::string, std::vector<std::size_t>> by_account_;
    std::map<std::string, std::size_t> jobs_; // Position of the gang, by id.
    worker_index pinned_; // Homes at which something runs are taken.
    worker_index homes_;  // All homes are taken.
    bool damaged_ = false;
};

} // namespace limpetstack
