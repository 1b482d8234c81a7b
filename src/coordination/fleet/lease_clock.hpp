#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace limpetstack::fleet
{

/// Maps a worker's steady clock, which may run slow, to the clock of this host,
/// and computes when a lease on the worker's clock has certainly expired.
class lease_clock
{
public:
    /// `max_drift` is the largest fraction by which the worker's clock may run
    /// slow; `max_lease` is the longest lease that a worker accepts.
    lease_clock(double max_drift, milliseconds max_lease)
        : max_drift_(max_drift)
        , max_lease_(max_lease)
    {
    }

    /// Records a reading of the worker's clock that arrived at `now`. It may
    /// have been delayed on its way, so it tells only which time the clock has
    /// at least. A reading that tells less than an earlier one is ignored.
    void sample(std::int64_t worker_time_ms, time_point now)
    {
        if (worker_time_ms <= 0)
        {
            return;
        }
        latest_reading_ = std::max(latest_reading_, worker_time_ms);
        if (!bound_ || worker_time_ms >= earliest_time(now))
        {
            bound_ = reading{worker_time_ms, now};
        }
    }

    /// Returns true when the worker's clock has been read.
    bool has_reading() const { return latest_reading_ > 0; }

    /// Returns the highest reading in milliseconds, 0 without one.
    std::int64_t latest_reading() const { return latest_reading_; }

    /// Returns a time that the worker's clock has reached even if it runs as
    /// slow as allowed; 0 without a reading. A lease that counts from it is
    /// over when a later leader expects, however old the reading is.
    std::int64_t worker_time(time_point now) const
    {
        return bound_ ? earliest_time(now) : 0;
    }

    /// Records a lease up to `lease_end_ms` on the worker's clock. It counts
    /// from when the order is sent, whether or not the worker answers.
    void grant(std::int64_t lease_end_ms)
    {
        granted_end_ = std::max(granted_end_, lease_end_ms);
    }

    /// Records that others may have granted leases up to `now`: an earlier
    /// leader, or this one to another incarnation of the worker.
    void inherit_leases(time_point now)
    {
        inherited_ = inherited_ ? std::max(*inherited_, now) : now;
    }

    /// Returns true when no lease that others granted is left.
    bool inherited_leases_expired(time_point now) const
    {
        return !inherited_ || now >= inherited_expiry();
    }

    /// Returns when every lease has expired even if the worker's clock runs as
    /// slow as allowed. Returns nothing when no lease is known, or when the
    /// only known lease was granted and the clock has not been read.
    std::optional<time_point> expiry_time() const
    {
        std::optional<time_point> latest;
        if (inherited_)
        {
            latest = inherited_expiry();
        }
        if (granted_end_ > 0 && bound_)
        {
            // The margin also passes on the worker's clock, so that readings in
            // quick succession do not put off the expiry.
            const auto remaining_ms = std::max<std::int64_t>(
                granted_end_ + margin.count() - bound_->worker_time_ms, 0);
            const auto at = bound_->at + stretched(remaining_ms);
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

    // Covers rounding and timers that fire late on the worker.
    static constexpr milliseconds margin{100};

    time_point inherited_expiry() const
    {
        return *inherited_ + stretched(max_lease_.count()) + margin;
    }

    // Returns the time on this host in which the slowest allowed worker clock
    // advances by `duration_ms`.
    milliseconds stretched(std::int64_t duration_ms) const
    {
        return milliseconds(static_cast<milliseconds::rep>(
            static_cast<double>(duration_ms) / (1 - max_drift_)));
    }

    // Returns the lowest possible time of the worker's clock if it runs as slow
    // as allowed.
    std::int64_t earliest_time(time_point now) const
    {
        return bound_->worker_time_ms +
               static_cast<std::int64_t>(
                   static_cast<double>((now - bound_->at).count()) *
                   (1 - max_drift_));
    }

    double max_drift_; // A fraction of the elapsed time.
    milliseconds max_lease_;
    std::int64_t latest_reading_ = 0;
    // The reading from which the highest lower bound of the clock follows.
    std::optional<reading> bound_;
    std::int64_t granted_end_ = 0;
    std::optional<time_point> inherited_;
};

} // namespace limpetstack::fleet
