#pragma once

#include "base/clock.hpp"

#include <optional>

namespace limpetstack::fleet
{

/// What the leader knows of the pace at which a filler works.
struct run_pace
{
    // The percentage that the worker accepted last. Empty while another one may
    // be in force: an earlier leader or an unanswered order may have set it.
    std::optional<int> accepted = 100;
    int sent = 100; // The percentage of the last order.
    bool order_open = false;
    time_point sent_at;
    // Until then an unanswered order may still be carried out.
    std::optional<time_point> unsure_until;
    int failures = 0;    // Orders in a row that were not accepted.
    time_point retry_at; // No order is sent before this time.
};

inline bool operator==(const run_pace& a, const run_pace& b)
{
    return a.accepted == b.accepted && a.sent == b.sent &&
           a.order_open == b.order_open && a.sent_at == b.sent_at &&
           a.unsure_until == b.unsure_until && a.failures == b.failures &&
           a.retry_at == b.retry_at;
}

inline bool operator!=(const run_pace& a, const run_pace& b)
{
    return !(a == b);
}

/// Returns true when an order with `percent` is to be sent now.
bool is_pace_due(const run_pace& pace, int percent, time_point now);

/// Returns the state after an order with `percent` was sent.
run_pace pace_sent(const run_pace& pace, int percent, time_point now);

/// Returns the state after the worker accepted the open order.
run_pace pace_accepted(const run_pace& pace, time_point now);

/// Returns the state after the open order was refused, or got no answer, so
/// that it may be carried out later.
run_pace pace_failed(const run_pace& pace, bool answered, time_point now);

} // namespace limpetstack::fleet
