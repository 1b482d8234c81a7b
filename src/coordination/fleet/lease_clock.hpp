#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace limpetstack::fleet
{

/// Relates a worker's steady clock, which may run slow, to this host's, and
/// tells when the lease granted on the worker's clock is certainly over.
class lease_clock
{
public:
    /// `slowness` is the share by which the worker's clock may lag; `max_lease`
    /// is the longest lease that a worker accepts.
    lease_clock(double slowness, milliseconds max_lease)
        : slowness_(slowness)
        , max_lease_(max_lease)
    {
    }

    /// Notes a reading that arrived at `now`. An older reading that arrives
    /// late is ignored.
    void sample(std::int64_t worker_time_ms, time_point now)
    {
        if (worker_time_ms > 0 &&
            (!reading_ || worker_time_ms >= reading_->worker_time_ms))
        {
            reading_ = reading{worker_time_ms, now};
        }
    }

    bool known() const { return reading_.has_value(); }

    /// Returns the worker's time, not earlier than it can be if both clocks run
    /// alike; 0 without a reading.
    std::int64_t worker_time(time_point now) const
    {
        return reading_
                   ? reading_->worker_time_ms + (now - reading_->at).count()
                   : 0;
    }

    /// Notes a grant that was sent at `now`, answered or not.
    void grant(std::int64_t lease_end_ms)
    {
        granted_end_ = std::max(granted_end_, lease_end_ms);
    }

    /// Notes that an earlier leader may have granted a lease until now.
    void inherit(time_point now) { inherited_ = now; }

    /// Returns when every lease is over even on the slowest clock; nothing when
    /// it can not be told.
    std::optional<time_point> lapse_time() const
    {
        std::optional<time_point> latest;
        if (inherited_)
        {
            latest = *inherited_ + stretched(max_lease_.count());
        }
        if (granted_end_ > 0 && reading_)
        {
            const auto left = std::max<std::int64_t>(
                granted_end_ - reading_->worker_time_ms, 0);
            const auto at = reading_->at + stretched(left);
            latest = latest ? std::max(*latest, at) : at;
        }
        return latest;
    }

private:
    struct reading
    {
        std::int64_t worker_time_ms = 0;
        time_point at;
    };

    // Covers rounding and the worker's late timers.
    static constexpr milliseconds margin{100};

    milliseconds stretched(std::int64_t duration_ms) const
    {
        return milliseconds(static_cast<milliseconds::rep>(
                   static_cast<double>(duration_ms) / (1 - slowness_))) +
               margin;
    }

    double slowness_;
    milliseconds max_lease_;
    std::optional<reading> reading_;
    std::int64_t granted_end_ = 0;
    std::optional<time_point> inherited_;
};

} // namespace limpetstack::fleet
