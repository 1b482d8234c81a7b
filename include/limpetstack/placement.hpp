#pragma once

#include "limpetstack/document.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace limpetstack
{

/// Resources of a worker, or of one member of a gang.
struct resources
{
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint64_t memory_mib = 0;
};

struct gang_shape
{
    std::uint32_t members = 1;
    resources each; // Each member.
    adjacency placement = adjacency::any;
};

struct worker_capacity
{
    std::string id;
    std::string data_centre;
    std::string rack;
    resources total;
};

/// Worker ids by member; a worker can hold several members.
using gang_placement = std::vector<std::string>;

/// Which racks a placement may use and how it chooses between them.
struct placement_options
{
    bool use_held = false; // Racks held for another gang are allowed.
    bool best_fit = true;  // False takes the first rack that fits.
};

/// Returns how many members of this size fit into `space` at once.
std::uint32_t fit_count(const resources& space, const resources& each);

resources operator+(const resources& a, const resources& b);
resources operator*(std::uint32_t count, const resources& each);

inline bool operator==(const resources& a, const resources& b)
{
    return std::tie(a.accelerators, a.cores, a.memory_mib) ==
           std::tie(b.accelerators, b.cores, b.memory_mib);
}

inline bool operator==(const gang_shape& a, const gang_shape& b)
{
    return std::tie(a.members, a.each, a.placement) ==
           std::tie(b.members, b.each, b.placement);
}

/// Free resources of workers, indexed by data centre, rack and the number of
/// members that fit, so that a placement reads a few racks and never the whole
/// fleet. Equal sequences of calls give equal placements.
class worker_index
{
public:
    /// Adds a worker or changes its capacity; what is taken stays taken.
    void put(const worker_capacity& worker);

    /// Removes a worker. What is taken on it is remembered until it is given
    /// back, in case the worker returns.
    void remove(const std::string& id);

    /// A disabled worker gets no new members. Returns true when that changed
    /// something.
    bool enable(const std::string& id, bool enabled);

    /// Returns true when the worker is present and enabled.
    bool usable(const std::string& id) const;

    /// Racks that are held take only placements with `use_held`.
    void hold(const std::string& data_centre, const std::string& rack,
              bool held);

    /// Takes or gives back the resources of all members of a gang.
    void take(const gang_placement& placement, const resources& each);
    void give(const gang_placement& placement, const resources& each);

    /// Returns a placement of the whole gang, or nothing when there is no
    /// room. A rack gang gets one rack. Other gangs get as few racks as
    /// possible. Among racks that fit, prefers those where the fewest whole
    /// free workers are broken up and the least room is left over.
    std::optional<gang_placement> place(const std::string& data_centre,
                                        const gang_shape& shape,
                                        const placement_options& options) const;

    /// Returns racks whose free resources hold the gang, most room first.
    std::vector<std::string> roomy_racks(const std::string& data_centre,
                                         const gang_shape& shape,
                                         std::size_t limit) const;

    /// Returns how many members of this size fit into the rack now.
    std::uint32_t room(const std::string& data_centre, const std::string& rack,
                       const resources& each) const;

    /// Returns the workers of a rack, or of a whole data centre when `rack` is
    /// empty, without disabled ones.
    std::vector<std::string> workers(const std::string& data_centre,
                                     const std::string& rack) const;

    /// Returns what is free on a worker; nothing when it is unknown.
    std::optional<resources> free(const std::string& worker) const;

    /// Returns true when more is taken on the worker than it has, which
    /// happens while gangs stop for another one.
    bool overcommitted(const std::string& worker) const;

    /// Returns the worker's rack, or an empty string.
    std::string rack_of(const std::string& worker) const;

    /// Returns the largest rack gang of this member size that fits now.
    std::uint32_t largest_rack_gang(const std::string& data_centre,
                                    const resources& each) const;

    /// Returns the resources of all enabled workers together.
    resources total() const;

    std::size_t size() const { return ids_.size(); }

private:
    // Members with more accelerators than this are looked up by this number.
    static constexpr std::size_t tracked_accelerators = 16;
    // Counts by accelerators per member; entry 0 holds the free cores.
    using rack_keys = std::array<std::uint32_t, tracked_accelerators + 1>;

    static constexpr std::size_t no_rack = static_cast<std::size_t>(-1);

    struct worker
    {
        std::string id;
        std::size_t rack = no_rack; // no_rack: it was never announced.
        resources total;
        resources taken;
        bool present = false;
        bool enabled = true;
    };

    struct rack
    {
        std::string data_centre;
        std::string name;
        std::vector<std::size_t> workers;
        rack_keys keys{};
        bool held = false;
    };

    struct data_centre
    {
        std::map<std::string, std::size_t> racks;
        std::array<std::set<std::pair<std::uint32_t, std::size_t>>,
                   tracked_accelerators + 1>
            by_key;
    };

    struct candidate
    {
        std::size_t rack = 0;
        std::uint32_t whole_taken = 0;
        std::uint32_t left = 0;
        std::vector<std::pair<std::size_t, std::uint32_t>> members;
    };

    static resources free_of(const worker& w);
    std::size_t rack_at(const std::string& data_centre,
                        const std::string& name);
    std::size_t add_entry(const std::string& id);
    void update_keys(std::size_t rack);
    void forget_if_unused(std::size_t index);
    void change(const gang_placement& placement, const resources& each,
                bool take);
    std::uint32_t rack_fit(const rack& r, const resources& each) const;
    candidate fill(std::size_t rack, std::uint32_t members,
                   const resources& each) const;
    std::optional<candidate>
    best_rack(const data_centre& dc, std::uint32_t members,
              const resources& each, const placement_options& options,
              const std::vector<std::size_t>& except) const;
    std::optional<gang_placement>
    spread(const data_centre& dc, const gang_shape& shape,
           const placement_options& options) const;
    void append(gang_placement& placement, const candidate& part) const;

    std::vector<worker> workers_;
    std::vector<std::size_t> unused_; // Entries of workers_ without a worker.
    std::unordered_map<std::string, std::size_t> ids_;
    std::vector<rack> racks_;
    std::map<std::string, data_centre> data_centres_;
};

} // namespace limpetstack
