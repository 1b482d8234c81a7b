#pragma once

#include "base/clock.hpp"

#include <functional>
#include <memory>

namespace limpetstack
{

/// Keeps a timer subscribed; its destruction cancels the timer and waits for a
/// callback that is running on another thread.
using timer_subscription = std::shared_ptr<void>;

/// Calls subscribers when their time has come.
class timer_service
{
public:
    using callback = std::function<void(time_point)>;

    virtual ~timer_service() = default;

    /// Returns the current time of this service's clock.
    virtual time_point now() const = 0;

    /// Calls `run` every `period` (milliseconds, above 0), first after one
    /// period. Calls of one subscription never overlap.
    [[nodiscard]] virtual timer_subscription every(milliseconds period,
                                                   callback run) = 0;

    /// Calls `run` once after `delay`.
    [[nodiscard]] virtual timer_subscription after(milliseconds delay,
                                                   callback run) = 0;
};

} // namespace limpetstack
