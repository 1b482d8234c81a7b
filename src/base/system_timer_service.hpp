#pragma once

#include "base/timer_service.hpp"

#include <memory>

namespace limpetstack
{

/// Timer service on the monotonic clock. A small pool of threads runs the
/// callbacks, so that one slow subscriber does not delay the others.
class system_timer_service : public timer_service
{
public:
    explicit system_timer_service(int threads);
    ~system_timer_service() override;

    system_timer_service(const system_timer_service&) = delete;
    system_timer_service& operator=(const system_timer_service&) = delete;

    time_point now() const override { return steady_now(); }
    timer_subscription every(milliseconds period, callback run) override;
    timer_subscription after(milliseconds delay, callback run) override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace limpetstack
