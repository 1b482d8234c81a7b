#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace limpetstack::fleet
{

/// More speeds share classes; a fourth class would often be half of a true one.
constexpr std::size_t max_speed_classes = 3;

/// What is known of the speed of one worker incarnation. Speeds are logarithms;
/// an observed one is rounded to thousandths.
struct speed_estimate
{
    static constexpr std::size_t window = 24;

    float log_speed = 0;    // 0 without an observation.
    std::uint8_t count = 0; // Observations in the window.
    std::uint8_t next = 0;  // Where the next observation is stored.
    time_point last;        // The last observation.
    std::array<std::int16_t, window> observed{};
};
static_assert(sizeof(speed_estimate) < 100);

/// The time of one run of a step, and the estimate of its worker.
struct run_time
{
    double log_time = 0;
    double log_speed = 0;
    double certainty = 0;
    // The run took at most this time: it was first listed when it was done.
    bool is_upper_bound = false;
};

/// Speed classes of a fleet, slowest first. Speeds are relative to the median
/// worker.
struct speed_classes
{
    double centre = 0;          // Logarithm of the median worker's speed.
    std::vector<double> bounds; // Logarithms between adjacent classes.

    std::size_t count() const { return bounds.size() + 1; }
};

/// Adds an observed speed. The estimate is the median of the window, so that a
/// subtask that takes several times as long as others changes little. Several
/// successive observations far from the estimate replace the older ones.
void record_speed(speed_estimate& estimate, double log_speed, time_point now);

/// Returns the number of observations, halved for each half-life without any.
double certainty_of(const speed_estimate& estimate, time_point now);

/// Returns the logarithm of the speed that the time of `run` shows beside the
/// other runs of its step. The expected time of the step is the median of time
/// times speed over the others, which are weighted by certainty.
double observed_speed(const run_time& run, const std::vector<run_time>& others);

/// Splits the workers into classes when their estimates differ by more than
/// the noise of equal workers explains.
speed_classes classify_speeds(const std::vector<speed_estimate>& workers,
                              time_point now);

/// Returns the class of the worker; one without enough observations is in the
/// class of the median worker.
std::size_t class_of(const speed_estimate& estimate,
                     const speed_classes& classes, time_point now);

/// Returns the worker's speed relative to the median worker; 1 without enough
/// observations.
double speed_of(const speed_estimate& estimate, const speed_classes& classes,
                time_point now);

} // namespace limpetstack::fleet
