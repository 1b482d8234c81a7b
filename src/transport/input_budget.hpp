#pragma once

#include <algorithm>
#include <cstddef>

namespace limpetstack
{

/// Counts the bytes that the connections of a listener keep, against a limit.
/// For one thread.
class input_budget
{
public:
    explicit input_budget(std::size_t limit_bytes)
        : limit_(limit_bytes)
    {
    }

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }

    /// Returns true when a connection that keeps `before` bytes may keep
    /// `after` bytes.
    bool fits(std::size_t before, std::size_t after) const
    {
        return used_ - std::min(before, used_) + after <= limit_;
    }

    /// Records that a connection which kept `before` bytes keeps `after`.
    void change(std::size_t before, std::size_t after)
    {
        used_ = used_ - std::min(before, used_) + after;
    }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace limpetstack
