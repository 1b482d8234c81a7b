#include "coordination/upstream_health.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace limpetstack
{
namespace
{

const time_point start{};

void fail(upstream_health& health, const std::string& id, time_point now,
          int times = 3)
{
    for (int i = 0; i < times; ++i)
    {
        health.started(id);
        health.failed(id, now);
    }
}

// Guards against a failing upstream that keeps its share of the requests, and
// against one that never returns or gets a flood at once.
TEST(upstream_health, failing_upstream_returns_through_a_probe)
{
    upstream_health health;
    health.retain({"a", "b", "c"});
    fail(health, "a", start);
    EXPECT_EQ(health.standing("a", start), upstream_standing::ejected);
    const auto later = start + milliseconds(1000);
    EXPECT_EQ(health.standing("a", later), upstream_standing::probe);
    health.started("a");
    EXPECT_EQ(health.standing("a", later), upstream_standing::ejected)
        << "one probe at a time";
    health.failed("a", later);
    EXPECT_EQ(health.standing("a", later + milliseconds(1999)),
              upstream_standing::ejected);
    const auto second = later + milliseconds(2000);
    EXPECT_EQ(health.standing("a", second), upstream_standing::probe);
    health.started("a");
    health.succeeded("a", milliseconds(10), second);
    EXPECT_EQ(health.standing("a", second), upstream_standing::admitted);
    EXPECT_EQ(health.ejected(), 0U);
}

// Guards against an upstream that answers, but so slowly that it delays its
// share of the requests.
TEST(upstream_health, slow_upstream_is_ejected)
{
    upstream_health health;
    health.retain({"a", "b", "c", "d"});
    for (int i = 0; i < 20; ++i)
    {
        for (const char* id : {"a", "b", "c"})
        {
            health.succeeded(id, milliseconds(40 + i % 5), start);
        }
        health.succeeded("d", milliseconds(400), start);
    }
    EXPECT_EQ(health.standing("d", start), upstream_standing::ejected);
    EXPECT_EQ(health.ejected(), 1U);
}

// Guards against a fault of the whole service that leaves no upstreams.
RC_GTEST_PROP(upstream_health, at_most_half_are_ejected, ())
{
    const int count = *rc::gen::inRange(1, 9);
    std::set<std::string> ids;
    for (int i = 0; i < count; ++i)
    {
        ids.insert("u" + std::to_string(i));
    }
    upstream_health health;
    health.retain(ids);
    auto now = start;
    for (int i = 0; i < 200; ++i)
    {
        now += milliseconds(100);
        const auto id = "u" + std::to_string(*rc::gen::inRange(0, count));
        health.started(id);
        if (*rc::gen::inRange(0, 10) == 0)
        {
            health.succeeded(id, milliseconds(*rc::gen::inRange(1, 1000)), now);
        }
        else
        {
            health.failed(id, now);
        }
        std::size_t ejected = 0;
        for (const auto& each : ids)
        {
            ejected +=
                health.standing(each, start) == upstream_standing::admitted ? 0
                                                                            : 1;
        }
        RC_ASSERT(ejected == health.ejected());
        RC_ASSERT(2 * ejected <= ids.size());
    }
}

} // namespace
} // namespace limpetstack
