#pragma once

#include "base/timer_service.hpp"

#include <map>

namespace limpetstack
{

/// Timer service whose clock moves only by `advance`. It runs callbacks on the
/// calling thread, in the order of their due times.
class manual_timer_service : public timer_service
{
public:
    time_point now() const override { return now_; }
    timer_subscription every(milliseconds period, callback run) override;
    timer_subscription after(milliseconds delay, callback run) override;

    /// Moves the clock forward and runs every callback that becomes due.
    void advance(milliseconds step);

private:
    struct timer
    {
        milliseconds period;
        callback run;
    };

    timer_subscription schedule(milliseconds delay, milliseconds period,
                                callback run);

    time_point now_{};
    std::multimap<time_point, std::weak_ptr<timer>> queue_;
};

} // namespace limpetstack
