#pragma once

#include <cstdint>
#include <map>

namespace limpetstack::fleet
{

/// A set of indices that is stored as disjoint ranges. Its size in memory, and
/// the time of an operation on whole sets, follow the number of ranges, not of
/// the indices. Not thread-safe.
class index_set
{
public:
    /// The ranges by their first index; the mapped index is behind the last.
    using range_map = std::map<std::uint32_t, std::uint32_t>;

    index_set() = default;

    /// Creates the set of the indices from `first` up to, but without, `end`.
    index_set(std::uint32_t first, std::uint32_t end) { insert(first, end); }

    bool contains(std::uint32_t index) const;

    void insert(std::uint32_t index) { insert(index, index + 1); }
    void insert(std::uint32_t first, std::uint32_t end);

    void erase(std::uint32_t index) { erase(index, index + 1); }
    void erase(std::uint32_t first, std::uint32_t end);
    void erase(const index_set& other);

    bool empty() const { return ranges_.empty(); }
    std::uint32_t size() const { return size_; }

    /// Returns the lowest index. The set must not be empty.
    std::uint32_t front() const { return ranges_.begin()->first; }

    /// Returns the lowest index from `index` on that is not in the set.
    std::uint32_t first_missing(std::uint32_t index) const;

    const range_map& ranges() const { return ranges_; }

private:
    range_map ranges_;
    std::uint32_t size_ = 0;
};

/// Returns the indices that are in both sets.
index_set intersection(const index_set& a, const index_set& b);

inline bool operator==(const index_set& a, const index_set& b)
{
    return a.ranges() == b.ranges();
}
inline bool operator!=(const index_set& a, const index_set& b)
{
    return !(a == b);
}

} // namespace limpetstack::fleet
