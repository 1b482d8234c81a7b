#include "coordination/fleet/fleet_scheduler.hpp"

#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

namespace limpetstack::fleet
{
namespace
{

constexpr const char* wait_gauge = "longest_wait_ms{queue=\"normal\"}";

// Returns the line of the metric in the exposition format.
std::string gauge_line(const fleet_fixture& fixture, const std::string& name)
{
    const auto text = fixture.counters.text();
    const auto begin = text.find(name);
    return begin == std::string::npos
               ? std::string()
               : text.substr(begin, text.find('\n', begin) - begin);
}

// Guards against a step that waits without a trace in the metrics, and against
// a wait that is shown after it has ended.
TEST(fleet_waits, longest_wait_of_a_queue_is_shown_until_it_ends)
{
    fleet_fixture fixture;
    fixture.submit("job", make_step(1, 8));
    fixture.schedule();
    fixture.advance(milliseconds(3000));
    fixture.schedule();
    EXPECT_EQ(gauge_line(fixture, wait_gauge),
              std::string(wait_gauge) + " 3000");
    add_ready_worker(fixture, "w1", "r1");
    fixture.schedule();
    ASSERT_EQ(fixture.port.starts.size(), 1U);
    fixture.advance(milliseconds(1000));
    fixture.schedule();
    EXPECT_EQ(gauge_line(fixture, wait_gauge), std::string(wait_gauge) + " 0");
}

} // namespace
} // namespace limpetstack::fleet
