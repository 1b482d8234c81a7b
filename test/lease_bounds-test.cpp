// Checks that no run is alive on a worker any more when a leader's clock says
// that the worker's leases are over.
#include "coordination/fleet/lease_clock.hpp"

#include "coordination/fleet/leader_permission.hpp"
#include "coordination/fleet/worker_fleet.hpp"
#include "support/fleet_fixture.hpp"

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
constexpr milliseconds leadership_overlap =
    max_leadership_overlap(milliseconds(600));

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

// Returns 0 in half of the cases, otherwise up to `last`.
int drawn_or_none(int last)
{
    return drawn(0, 1) == 0 ? 0 : drawn(0, last);
}

// Reads the worker's clock some time before `now`; the reading may have been
// delayed on its way.
void read_clock(lease_clock& clock, const worker_model& worker, time_point now)
{
    const auto arrived = now - milliseconds(drawn_or_none(60000));
    const auto read = arrived - milliseconds(drawn_or_none(3000));
    clock.sample(worker.clock(read), arrived);
}

// Returns when a leader that takes over at `fixture.now` takes all leases of
// the worker "w1" for expired.
time_point expiry_after_takeover(fleet_fixture& fixture)
{
    worker_fleet_options options;
    options.leadership_overlap = leadership_overlap;
    const worker_fleet later(
        options, fixture.state, fixture.port, [](const fleet_command&) {},
        [&fixture]
        {
            return fixture.now;
        },
        [&fixture]
        {
            return fixture.wall_ms;
        },
        2, fixture.counters);
    return *later.workers().at("w1").clock.expiry_time();
}

// Guards against a new leader that starts a subtask elsewhere while a lease of
// an earlier leader is still valid: that leader may act beside the new one for
// a while, leases grow with the age of the reading that they are computed from,
// and orders are carried out late.
RC_GTEST_PROP(lease_bounds, no_run_outlasts_the_bound_of_a_new_leader, ())
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    const auto expiry = expiry_after_takeover(fixture);
    worker_model worker(drawn(980, 1000));
    lease_clock earlier(max_drift, max_lease);
    const auto sent =
        fixture.now + leadership_overlap - milliseconds(drawn(0, 800));
    read_clock(earlier, worker, sent);
    worker.carry_out(earlier.worker_time(sent) + max_lease.count(),
                     sent + milliseconds(drawn_or_none(max_late_ms)));
    RC_ASSERT(!worker.runs_at(expiry));
}

// Guards against a leader that waits for leases of others when it has begun
// later than they could act.
TEST(lease_bounds, new_leader_waits_for_one_lease_and_the_overlap)
{
    fleet_fixture fixture;
    fixture.add_worker("w1", "r1");
    EXPECT_LE(expiry_after_takeover(fixture) - fixture.now,
              milliseconds(6300) + leadership_overlap);
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
