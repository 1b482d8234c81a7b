// Checks that no run is alive on a worker any more when a leader's clock says
// that the worker's leases are over.
#include "coordination/fleet/lease_clock.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>

namespace limpetstack::fleet
{
namespace
{

constexpr double max_drift = 0.02;
constexpr milliseconds max_lease{6000};

// The longest time after its sending at which a worker carries out an order.
constexpr int max_late_ms = 12000;

// A worker's timer ends its runs at most this long after their lease.
constexpr milliseconds timer_delay{50};

// A worker's clock and the end of its leases. All leases are absolute times of
// that clock; the worker shortens those that are longer than it accepts.
class worker_model
{
public:
    explicit worker_model(std::int64_t rate_permille)
        : rate_permille_(rate_permille)
    {
    }

    std::int64_t clock(time_point now) const
    {
        return 1 + now.time_since_epoch().count() * rate_permille_ / 1000;
    }

    void carry_out(std::int64_t lease_end_ms, time_point now)
    {
        if (lease_end_ms > clock(now))
        {
            lease_end_ms_ = std::max(
                lease_end_ms_,
                std::min(lease_end_ms, clock(now) + max_lease.count()));
        }
    }

    bool runs_at(time_point now) const
    {
        return clock(now - timer_delay) < lease_end_ms_;
    }

private:
    std::int64_t rate_permille_;
    std::int64_t lease_end_ms_ = 0;
};

int drawn(int first, int last)
{
    return *rc::gen::inRange(first, last + 1);
}

// Reads the worker's clock some time before `now`; the reading may have been
// delayed on its way.
void read_clock(lease_clock& clock, const worker_model& worker, time_point now)
{
    const auto arrived = now - milliseconds(drawn(0, 60000));
    const auto read = arrived - milliseconds(drawn(0, 3000));
    clock.sample(worker.clock(read), arrived);
}

// Guards against a new leader that starts a subtask elsewhere while a lease of
// an earlier leader is still valid: leases grow with the age of the reading
// that they are computed from, and orders are carried out late.
RC_GTEST_PROP(lease_bounds, no_run_outlasts_the_bound_of_a_new_leader, ())
{
    worker_model worker(drawn(980, 1000));
    const time_point takeover{milliseconds(1000000)};
    lease_clock earlier(max_drift, max_lease);
    lease_clock later(max_drift, max_lease);
    later.inherit_leases(takeover);
    const auto sent = takeover - milliseconds(drawn(0, 200));
    read_clock(earlier, worker, sent);
    worker.carry_out(earlier.worker_time(sent) + max_lease.count(),
                     sent + milliseconds(drawn(0, max_late_ms)));
    RC_ASSERT(!worker.runs_at(*later.expiry_time()));
}

// Guards against a leader that ends runs by its own record of granted leases
// while one of them is still valid.
RC_GTEST_PROP(lease_bounds, no_run_outlasts_the_bound_of_its_leader, ())
{
    worker_model worker(drawn(980, 1000));
    lease_clock clock(max_drift, max_lease);
    time_point now{milliseconds(1000000)};
    read_clock(clock, worker, now);
    const auto orders = drawn(1, 5);
    for (int i = 0; i < orders; ++i)
    {
        now += milliseconds(drawn(0, 3000));
        if (drawn(0, 1) == 1)
        {
            clock.sample(worker.clock(now - milliseconds(drawn(0, 3000))), now);
        }
        const auto lease_end = clock.worker_time(now) + drawn(500, 6000);
        clock.grant(lease_end);
        worker.carry_out(lease_end, now + milliseconds(drawn(0, max_late_ms)));
    }
    RC_ASSERT(!worker.runs_at(*clock.expiry_time()));
}

} // namespace
} // namespace limpetstack::fleet
