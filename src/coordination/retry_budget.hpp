#pragma once

#include <algorithm>

namespace limpetstack
{

/// Limits retries to a fraction of the requests, so that a failing upstream
/// does not multiply the load. Not synchronized.
class retry_budget
{
public:
    /// Allows `ratio` retries per request, and `reserve` retries at once after
    /// a quiet time.
    explicit retry_budget(double ratio = 0.1, double reserve = 10)
        : ratio_(ratio)
        , reserve_(reserve)
        , tokens_(reserve)
    {
    }

    /// Counts a request.
    void deposit() { tokens_ = std::min(reserve_, tokens_ + ratio_); }

    /// Takes one retry; returns false when none is left.
    bool withdraw()
    {
        // Ten deposits of 0.1 add up to a little less than 1.
        constexpr double rounding = 1e-9;
        if (tokens_ + rounding < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double ratio_;
    double reserve_;
    double tokens_;
};

} // namespace limpetstack
