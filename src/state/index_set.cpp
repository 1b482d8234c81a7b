#include "state/index_set.hpp"

#include <algorithm>
#include <iterator>

namespace limpetstack::fleet
{

bool index_set::contains(std::uint32_t index) const
{
    return first_missing(index) != index;
}

std::uint32_t index_set::first_missing(std::uint32_t index) const
{
    const auto next = ranges_.upper_bound(index);
    if (next == ranges_.begin())
    {
        return index;
    }
    return std::max(index, std::prev(next)->second);
}

void index_set::insert(std::uint32_t first, std::uint32_t end)
{
    if (first >= end)
    {
        return;
    }
    // Merges the ranges that overlap or adjoin the new one.
    auto at = ranges_.upper_bound(first);
    if (at != ranges_.begin() && std::prev(at)->second >= first)
    {
        --at;
    }
    while (at != ranges_.end() && at->first <= end)
    {
        first = std::min(first, at->first);
        end = std::max(end, at->second);
        size_ -= at->second - at->first;
        at = ranges_.erase(at);
    }
    ranges_.emplace(first, end);
    size_ += end - first;
}

void index_set::erase(std::uint32_t first, std::uint32_t end)
{
    if (first >= end)
    {
        return;
    }
    auto at = ranges_.upper_bound(first);
    if (at != ranges_.begin() && std::prev(at)->second > first)
    {
        --at;
    }
    while (at != ranges_.end() && at->first < end)
    {
        const auto [range_first, range_end] = *at;
        at = ranges_.erase(at);
        size_ -= range_end - range_first;
        if (range_first < first)
        {
            ranges_.emplace(range_first, first);
            size_ += first - range_first;
        }
        if (range_end > end)
        {
            ranges_.emplace(end, range_end);
            size_ += range_end - end;
        }
    }
}

void index_set::erase(const index_set& other)
{
    for (const auto& [first, end] : other.ranges_)
    {
        erase(first, end);
    }
}

index_set intersection(const index_set& a, const index_set& b)
{
    auto only_in_a = a;
    only_in_a.erase(b);
    auto in_both = a;
    in_both.erase(only_in_a);
    return in_both;
}

} // namespace limpetstack::fleet
