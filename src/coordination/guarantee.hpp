#pragma once

#include "base/clock.hpp"
#include "limpetstack/document.hpp"
#include "limpetstack/placement.hpp"

#include <functional>
#include <string>
#include <vector>

namespace limpetstack
{

/// Client accounts whose guaranteed shapes can not all run at once.
struct guarantee_conflict
{
    std::string data_centre;
    std::vector<std::string> accounts;
    std::string message; // Names the accounts and their shapes.
};

/// A gang that must find room beside others.
struct shape_demand
{
    std::string account;
    gang_shape shape;
    std::uint32_t count = 1; // Gangs of this shape.
};

/// Returns the shape of one gang of the guarantee.
gang_shape shape_of(const guaranteed_shape& guarantee);

/// Returns true when a job of this shape runs inside one gang of the
/// guarantee: a rack guarantee covers any adjacency, an `any` guarantee does
/// not cover rack gangs of several members.
bool covers(const gang_shape& guarantee, const gang_shape& job);

/// Returns the conflicts of a document: for every data centre whose
/// guaranteed shapes can not be placed side by side on the declared fleet, a
/// small set of accounts that clash already by themselves. The search tries
/// several orders and is bounded, so that it can refuse a document that only
/// an exhaustive search would fit; it never accepts one that does not fit.
std::vector<guarantee_conflict> check_guarantees(const document& source);

/// Returns the declared fleet of a data centre, empty of work.
worker_index declared_fleet(const document& source,
                            const std::string& data_centre);

/// Returns a placement for every gang of the demands, beside what is taken
/// already, or nothing when none is found. They come in the order of the
/// demands, `count` for each. `index` is changed during the call and is the
/// same afterwards. `orders` is the number of orders tried.
std::optional<std::vector<gang_placement>>
place_side_by_side(worker_index& index, const std::string& data_centre,
                   const std::vector<shape_demand>& demands,
                   std::size_t orders);

/// Returns true when place_side_by_side finds placements.
bool fit_side_by_side(worker_index& index, const std::string& data_centre,
                      const std::vector<shape_demand>& demands,
                      std::size_t orders);

/// A running gang that its own account's guarantee does not cover.
struct borrowing_gang
{
    std::string id;
    gang_placement placement;
    resources each;
    double size = 0;       // Accelerators, and a hundredth for each core.
    time_point saved_at{}; // Start of the attempt or last checkpoint.

    /// Returns the progress that a stop at `now` loses, in accelerator
    /// seconds.
    double lost(time_point now) const;
};

/// Returns the size of a gang as in borrowing_gang.
double gang_size(const gang_shape& shape);

/// The borrowing gangs on each worker.
class borrowing_table
{
public:
    void insert(const borrowing_gang& gang);
    void erase(const std::string& id);
    void saved(const std::string& id, time_point at);

    /// Returns the gang or null.
    const borrowing_gang* find(const std::string& id) const;

    /// Returns the ids of the gangs that have members on the worker.
    std::vector<std::string> on_worker(const std::string& worker) const;

    std::size_t size() const { return gangs_.size(); }

private:
    std::unordered_map<std::string, borrowing_gang> gangs_;
    std::unordered_map<std::string, std::set<std::string>> by_worker_;
};

/// Where a guaranteed gang can start, and which gangs stop for it.
struct reclaim_choice
{
    std::vector<std::string> victims; // Empty: there is room already.
    gang_placement placement;
    double lost = 0; // Sum over the victims.
};

/// What a reclaim decision looks at.
struct reclaim_view
{
    const worker_index& all;        // Everything that runs is taken.
    const worker_index& guaranteed; // Only guaranteed work is taken.
    const borrowing_table& borrowing;
    std::string data_centre;
    time_point now{};
};

/// Chooses the borrowing gangs whose stop makes room for `shape` with the
/// least loss among the racks that it compares. Returns nothing when no choice
/// passes `accept`, which is called from the least loss upwards. Guaranteed
/// work is never chosen. At most `reclaim_racks` racks are compared.
std::optional<reclaim_choice>
choose_reclaim(const reclaim_view& view, const gang_shape& shape,
               const std::function<bool(const gang_placement&)>& accept);

/// Returns the choice that stops the cheapest gangs on each worker until the
/// members fit exactly at `placement`; nothing when guaranteed work is in the
/// way.
std::optional<reclaim_choice> reclaim_at(const reclaim_view& view,
                                         const resources& each,
                                         const gang_placement& placement);

constexpr std::size_t reclaim_racks = 32;

} // namespace limpetstack
