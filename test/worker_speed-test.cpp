#include "coordination/fleet/worker_speed.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr std::ptrdiff_t gang_size = 5;

// A fleet whose workers run gangs of five, drawn anew in each round. The
// subtasks of a step differ, 3% of them take seven times as long, and 10% of
// the runs fail.
class simulated_fleet
{
public:
    simulated_fleet(std::vector<double> worker_speeds, double deviation,
                    unsigned seed)
        : estimates(worker_speeds.size())
        , speeds_(std::move(worker_speeds))
        , noise_(0, deviation)
        , random_(seed)
    {
    }

    void run_rounds(int rounds)
    {
        std::vector<std::size_t> order(speeds_.size());
        std::iota(order.begin(), order.end(), 0);
        for (int round = 0; round < rounds; ++round)
        {
            std::shuffle(order.begin(), order.end(), random_);
            for (auto at = order.begin(); order.end() - at >= gang_size;
                 at += gang_size)
            {
                run_gang({at, at + gang_size});
            }
            now += milliseconds(2000);
        }
    }
    speed_classes classes() const { return classify_speeds(estimates, now); }

    std::vector<speed_estimate> estimates;
    time_point now{milliseconds(1000)};

private:
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }
    void run_gang(const std::vector<std::size_t>& members)
    {
        std::vector<std::size_t> done;
        std::vector<run_time> runs;
        const double step_time = std::log(2000) + noise_(random_);
        for (const auto worker : members)
        {
            const auto time = step_time - std::log(speeds_[worker]) +
                              noise_(random_) +
                              (chance(0.03) ? std::log(7) : 0);
            if (!chance(0.1))
            {
                done.push_back(worker);
                runs.push_back({time, estimates[worker].log_speed,
                                certainty_of(estimates[worker], now), false});
            }
        }
        for (std::size_t i = 0; i < done.size(); ++i)
        {
            auto others = runs;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            if (!others.empty())
            {
                record_speed(estimates[done[i]],
                             observed_speed(runs[i], others), now);
            }
        }
    }

    std::vector<double> speeds_;
    std::normal_distribution<double> noise_;
    std::mt19937 random_;
};

// Guards against classes that order workers wrongly, in any fleet of three
// speeds of which each has at least a tenth of the workers.
RC_GTEST_PROP(worker_speed, three_speeds_are_ordered_in_30_observations, ())
{
    const auto slow = *rc::gen::inRange<std::ptrdiff_t>(10, 46);
    const auto fast = *rc::gen::inRange<std::ptrdiff_t>(10, 46);
    const auto deviation = *rc::gen::inRange(15, 31) / 100.0;
    const auto seed = *rc::gen::arbitrary<unsigned>();
    std::vector<double> speeds(100, 1.0);
    std::fill(speeds.begin(), speeds.begin() + slow, 0.6);
    std::fill(speeds.end() - fast, speeds.end(), 1.6);
    simulated_fleet fleet(speeds, deviation, seed);
    fleet.run_rounds(30);
    const auto classes = fleet.classes();
    RC_ASSERT(classes.count() == 3U);
    std::size_t right = 0;
    for (std::size_t i = 0; i < speeds.size(); ++i)
    {
        const std::size_t wanted = speeds[i] < 0.8   ? 0
                                   : speeds[i] < 1.3 ? 1
                                                     : 2;
        right += class_of(fleet.estimates[i], classes, fleet.now) == wanted;
    }
    RC_ASSERT(right >= 95U);
}

// Guards against classes that appear only long after the start of a leader.
TEST(worker_speed, five_observations_order_most_workers)
{
    std::vector<double> speeds;
    for (std::size_t i = 0; i < 345; ++i)
    {
        speeds.push_back(i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1.0 : 1.6);
    }
    for (unsigned seed = 0; seed < 20; ++seed)
    {
        simulated_fleet fleet(speeds, 0.15, seed);
        fleet.run_rounds(5);
        const auto classes = fleet.classes();
        ASSERT_EQ(classes.count(), 3U);
        std::size_t right = 0;
        for (std::size_t i = 0; i < speeds.size(); ++i)
        {
            right += class_of(fleet.estimates[i], classes, fleet.now) == i % 3;
        }
        EXPECT_GE(right, 345U * 8 / 10) << seed;
    }
}

// Guards against classes made of noise, at any time and in fleets of any size.
RC_GTEST_PROP(worker_speed, fleet_of_one_speed_is_never_split, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(5, 400);
    const auto deviation = *rc::gen::inRange(5, 31) / 100.0;
    simulated_fleet fleet(std::vector<double>(size, 1.0), deviation,
                          *rc::gen::arbitrary<unsigned>());
    for (int round = 0; round < 40; ++round)
    {
        fleet.run_rounds(1);
        RC_ASSERT(fleet.classes().count() == 1U);
    }
}

// Guards against an estimate that keeps the speed of a worker's better days.
RC_GTEST_PROP(worker_speed, slowed_worker_moves_within_six_observations, ())
{
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    std::normal_distribution<double> noise(0, 0.15);
    speed_estimate estimate;
    time_point now;
    for (int i = 0; i < 40; ++i)
    {
        record_speed(estimate, std::log(1.6) + noise(random), now);
    }
    for (int i = 0; i < 6; ++i)
    {
        record_speed(estimate, std::log(0.6) + noise(random), now);
    }
    RC_ASSERT(std::exp(estimate.log_speed) < 0.8);
}

// Guards against one subtask that takes seven times as long as others and
// makes its worker look slow.
TEST(worker_speed, one_late_subtask_changes_little)
{
    speed_estimate estimate;
    for (int i = 0; i < 4; ++i)
    {
        record_speed(estimate, 0.1 * (i % 2), time_point());
    }
    const auto before = estimate.log_speed;
    record_speed(estimate, -std::log(7), time_point());
    EXPECT_NEAR(estimate.log_speed, before, 0.1);
}

// Guards against gangs on workers of like speed that make each member look like
// the median worker.
TEST(worker_speed, runs_are_compared_through_the_speeds_of_their_workers)
{
    const run_time run{std::log(1000), 0, 0, false};
    const std::vector<run_time> others(
        4, {std::log(1000), std::log(1.6), 10, false});
    EXPECT_NEAR(observed_speed(run, others), std::log(1.6), 1e-9);
}

// Guards against an estimate that counts as certain after a long silence, and
// against speeds that are not relative to the median worker.
TEST(worker_speed, certainty_decays_and_speeds_are_centred)
{
    std::vector<double> speeds(90, 1.6);
    std::fill(speeds.begin(), speeds.begin() + 30, 0.6);
    simulated_fleet fleet(speeds, 0.15, 7);
    fleet.run_rounds(20);
    const auto classes = fleet.classes();
    ASSERT_EQ(classes.count(), 2U);
    EXPECT_NEAR(speed_of(fleet.estimates[80], classes, fleet.now), 1.0, 0.15);
    EXPECT_LT(speed_of(fleet.estimates[0], classes, fleet.now), 0.5);
    const auto later = fleet.now + milliseconds(3600000);
    EXPECT_EQ(speed_of(fleet.estimates[0], classes, later), 1.0);
    EXPECT_EQ(classify_speeds(fleet.estimates, later).count(), 1U);
    EXPECT_EQ(speed_of(speed_estimate{}, classes, fleet.now), 1.0);
}

} // namespace
} // namespace limpetstack::fleet
