#include "coordination/fleet/filler_pace.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace limpetstack::fleet
{
namespace
{

const pace_limits limits{milliseconds(100), milliseconds(4000)};
const time_point start{milliseconds(1000)};

// A sample that was requested half a second before it arrived.
tail_sample sample_at(milliseconds after_start, std::optional<double> load)
{
    const auto received = start + after_start;
    return {load, received - milliseconds(500), received};
}

filler_pace pace_of(int percent)
{
    auto pace = restarted_pace(std::nullopt, start);
    pace.percent = percent;
    return pace;
}

// Guards against fillers that begin at full pace beside an unknown tail, or
// that are raised because another run has joined.
TEST(filler_pace, begins_cautiously)
{
    EXPECT_EQ(restarted_pace(std::nullopt, start).percent, cautious_pace);
    EXPECT_EQ(restarted_pace(pace_of(90), start).percent, cautious_pace);
    EXPECT_EQ(restarted_pace(pace_of(5), start).percent, 5);
}

// Guards against a pace that does not follow the tail.
TEST(filler_pace, follows_the_tail)
{
    const auto percent_at = [](double load)
    {
        return pace_after(pace_of(40), sample_at(milliseconds(1000), load),
                          limits)
            .percent;
    };
    EXPECT_EQ(percent_at(0.5), 50);
    EXPECT_EQ(percent_at(0.8), 40);
    EXPECT_EQ(percent_at(0.9), 30);
    EXPECT_EQ(percent_at(1.1), 20);
    EXPECT_EQ(
        pace_after(pace_of(100), sample_at(milliseconds(1000), 0.1), limits)
            .percent,
        100);
}

// Guards against a second change because of figures from before the first one.
TEST(filler_pace, waits_for_the_effect_of_a_change)
{
    const auto pace = pace_of(40);
    EXPECT_EQ(
        pace_after(pace, sample_at(milliseconds(550), 0.1), limits).percent,
        40);
    const tail_sample requested_before{0.1, start - milliseconds(1),
                                       start + milliseconds(1000)};
    EXPECT_EQ(pace_after(pace, requested_before, limits).percent, 40);
}

// Guards against a tail that stays over its target for the impact limit while
// the pace falls step by step.
TEST(filler_pace, is_zero_after_a_quarter_of_the_impact_limit)
{
    auto pace =
        pace_after(pace_of(80), sample_at(milliseconds(100), 2), limits);
    EXPECT_EQ(pace.percent, 80);
    pace = pace_after(pace, sample_at(milliseconds(1100), 1.2), limits);
    EXPECT_EQ(pace.percent, 0);
    EXPECT_EQ(pace.stopped_since, start + milliseconds(1100));
    pace = pace_after(pace, sample_at(milliseconds(2200), 0.4), limits);
    EXPECT_EQ(pace.percent, 2);
    EXPECT_FALSE(pace.stopped_since);
}

// Guards against full pace beside a tail that is not listed any more.
TEST(filler_pace, falls_when_the_tail_is_unknown)
{
    const auto pace = pace_of(90);
    EXPECT_EQ(
        pace_after(pace, sample_at(milliseconds(1900), std::nullopt), limits)
            .percent,
        90);
    EXPECT_EQ(
        pace_without_sample(pace, start + milliseconds(2000), limits).percent,
        cautious_pace);
}

// Guards against fillers that ignore their pace and harm beyond the limit, and
// against stopping one that has time left to accept it.
TEST(filler_pace, filler_without_a_pace_is_stopped_in_time)
{
    auto pace = pace_of(80);
    pace = pace_after(pace, sample_at(milliseconds(0), 2), limits);
    EXPECT_FALSE(must_stop_filler(pace, false, start, limits));
    pace = pace_after(pace, sample_at(milliseconds(1000), 2), limits);
    const auto zero_at = start + milliseconds(1000);
    EXPECT_TRUE(must_stop_filler(pace, false, zero_at, limits));
    EXPECT_FALSE(must_stop_filler(pace, true, zero_at, limits));
    EXPECT_TRUE(
        must_stop_filler(pace, true, zero_at + milliseconds(500), limits));
    pace = pace_after(pace, sample_at(milliseconds(1400), 0.8), limits);
    EXPECT_FALSE(
        must_stop_filler(pace, true, zero_at + milliseconds(500), limits));
}

} // namespace
} // namespace limpetstack::fleet
