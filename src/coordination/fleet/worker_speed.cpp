#include "coordination/fleet/worker_speed.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr double unit = 1000; // Stored units per logarithm.
constexpr double max_log_speed = 3;

// Successive observations that differ from the estimate by more than this
// show a change of speed. Four of a step whose subtasks differ by 30% do so by
// chance less than once in 10,000 times.
constexpr std::size_t change_length = 4;
constexpr double change_distance = 0.4;

constexpr milliseconds half_life{600000};

// Fewer observations do not order workers whose subtasks differ by 30%.
constexpr double min_certainty = 1.5;

// With fewer workers, chance alone may look like a difference of speed.
constexpr std::size_t min_workers = 8;

// Smaller differences are not worth a class of their own.
constexpr double min_spread = 0.15; // Standard deviation.
constexpr double min_gap = 0.25;    // Between the means of adjacent classes.

// The transformed correlation of the two halves of the observations must be
// this many times its standard error, so that a split by chance needs more
// tries than a leader makes.
constexpr double min_significance = 5;

// Some workers get several subtasks that take seven times as long by chance.
// So many of those that raise the correlation most do not count as evidence.
constexpr std::size_t max_chance_outliers = 2;
constexpr double max_chance_share = 0.02;

constexpr double max_correlation = 0.9999; // Its transform is finite.

// Halving a normal distribution gives means that are 1.6 deviations apart.
constexpr double min_gap_in_noise = 2;

// Larger differences count as this one: two subtasks that take seven times as
// long must not make one worker the evidence for a fleet.
constexpr double max_deviation = 0.7;

constexpr double min_class_share = 0.05;
constexpr std::size_t min_class_size = 3;

double median(std::vector<double> values)
{
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
    {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

// Returns the mean of the middle half of the values: less noise than the
// median, and still without the tail.
double middle_mean(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto cut = static_cast<std::ptrdiff_t>(values.size() / 4);
    const auto first = values.begin() + cut;
    const auto end = values.end() - cut;
    return values.size() < 4 ? median(std::move(values))
                             : std::accumulate(first, end, 0.0) /
                                   static_cast<double>(end - first);
}

double mean(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(values.size());
}

// Returns the observation `age` steps back; 0 is the last one.
double observation(const speed_estimate& estimate, std::size_t age)
{
    const auto at = (estimate.next + 2 * speed_estimate::window - 1 - age) %
                    speed_estimate::window;
    return estimate.observed[at] / unit;
}

// Returns true when the last observations all lie far off the estimate, on the
// same side.
bool has_changed(const speed_estimate& estimate)
{
    if (estimate.count <= change_length)
    {
        return false;
    }
    double lowest = max_log_speed;
    double highest = -max_log_speed;
    for (std::size_t age = 0; age < change_length; ++age)
    {
        lowest = std::min(lowest, observation(estimate, age));
        highest = std::max(highest, observation(estimate, age));
    }
    return lowest > estimate.log_speed + change_distance ||
           highest < estimate.log_speed - change_distance;
}

// Spread of the estimates of equal and of different workers.
struct speed_spread
{
    double between = 0;      // Variance of the true speeds.
    double significance = 0; // Of the difference of `between` from 0.
    double noise = 0; // Standard deviation of the estimates of equal workers.
};

// The two halves of a worker's observations share its speed and not their
// noise, so their covariance over the workers is the variance of the speeds.
speed_spread spread_of(const std::vector<speed_estimate>& workers,
                       const std::vector<double>& speeds)
{
    std::vector<double> odd;
    std::vector<double> even;
    const auto centre = median(speeds);
    const auto bounded = [centre](std::vector<double> half)
    {
        return std::clamp(middle_mean(std::move(half)), centre - max_deviation,
                          centre + max_deviation);
    };
    for (const auto& worker : workers)
    {
        std::vector<double> halves[2];
        for (std::size_t age = 0; age < worker.count; ++age)
        {
            halves[age % 2].push_back(observation(worker, age));
        }
        even.push_back(bounded(std::move(halves[0])));
        odd.push_back(bounded(std::move(halves[1])));
    }
    const auto count = static_cast<double>(workers.size());
    const auto odd_mean = mean(odd);
    const auto even_mean = mean(even);
    double odd_squares = 0;
    double even_squares = 0;
    speed_spread spread;
    std::vector<double> products;
    for (std::size_t i = 0; i < odd.size(); ++i)
    {
        products.push_back((odd[i] - odd_mean) * (even[i] - even_mean) / count);
        odd_squares += std::pow(odd[i] - odd_mean, 2) / count;
        even_squares += std::pow(even[i] - even_mean, 2) / count;
    }
    spread.between = std::accumulate(products.begin(), products.end(), 0.0);
    std::sort(products.begin(), products.end());
    const auto doubtful = max_chance_outliers +
                          static_cast<std::size_t>(max_chance_share * count);
    const auto covariance = std::accumulate(
        products.begin(),
        products.end() - static_cast<std::ptrdiff_t>(doubtful), 0.0);
    const auto all = std::sqrt(odd_squares * even_squares);
    spread.significance =
        std::atanh(std::clamp(all > 0 ? covariance / all : 0, -max_correlation,
                              max_correlation)) *
        std::sqrt(count - 3);
    std::vector<double> whole;
    whole.reserve(speeds.size());
    for (const auto speed : speeds)
    {
        whole.push_back(
            std::clamp(speed, centre - max_deviation, centre + max_deviation));
    }
    const auto whole_mean = mean(whole);
    double squares = 0;
    for (const auto speed : whole)
    {
        squares += std::pow(speed - whole_mean, 2) / count;
    }
    spread.noise = std::sqrt(std::max(0.0, squares - spread.between));
    return spread;
}

// Returns the ends of `class_count` classes of the sorted speeds with the least
// sum of squares within classes. Speeds are grouped into steps of a fixed width
// before, so that the time hardly depends on the number of workers.
std::vector<std::size_t> best_ends(const std::vector<double>& sorted,
                                   std::size_t class_count)
{
    constexpr double width = 0.05;
    std::vector<std::size_t> ends{0}; // Of the groups.
    for (std::size_t i = 1; i < sorted.size(); ++i)
    {
        if (std::floor(sorted[i] / width) != std::floor(sorted[i - 1] / width))
        {
            ends.push_back(i);
        }
    }
    ends.push_back(sorted.size());
    std::vector<double> sums{0};
    std::vector<double> squares{0};
    for (const auto speed : sorted)
    {
        sums.push_back(sums.back() + speed);
        squares.push_back(squares.back() + speed * speed);
    }
    const auto cost = [&](std::size_t first, std::size_t end)
    {
        const auto sum = sums[end] - sums[first];
        return squares[end] - squares[first] -
               sum * sum / static_cast<double>(end - first);
    };
    const auto groups = ends.size() - 1;
    if (groups < class_count)
    {
        return {};
    }
    using table = std::vector<std::vector<double>>;
    table least(class_count + 1,
                std::vector<double>(groups + 1,
                                    std::numeric_limits<double>::infinity()));
    std::vector<std::vector<std::size_t>> from(
        class_count + 1, std::vector<std::size_t>(groups + 1));
    least[0][0] = 0;
    for (std::size_t k = 1; k <= class_count; ++k)
    {
        for (std::size_t end = k; end <= groups; ++end)
        {
            for (std::size_t first = k - 1; first < end; ++first)
            {
                const auto total =
                    least[k - 1][first] + cost(ends[first], ends[end]);
                if (total < least[k][end])
                {
                    least[k][end] = total;
                    from[k][end] = first;
                }
            }
        }
    }
    std::vector<std::size_t> result;
    for (auto k = class_count, end = groups; k > 0; end = from[k][end], --k)
    {
        result.push_back(ends[end]);
    }
    std::reverse(result.begin(), result.end());
    return result;
}

// Returns the bounds between the classes, or none when two classes are too
// close or one is too small.
std::vector<double> bounds_of(const std::vector<double>& sorted,
                              std::size_t class_count, double smallest_gap)
{
    const auto least_size =
        std::max(min_class_size,
                 static_cast<std::size_t>(min_class_share *
                                          static_cast<double>(sorted.size())));
    std::vector<double> bounds;
    std::size_t first = 0;
    double previous_mean = 0;
    for (const auto end : best_ends(sorted, class_count))
    {
        const auto class_mean =
            std::accumulate(sorted.begin() + static_cast<std::ptrdiff_t>(first),
                            sorted.begin() + static_cast<std::ptrdiff_t>(end),
                            0.0) /
            static_cast<double>(end - first);
        if (end - first < least_size ||
            (first > 0 && class_mean - previous_mean < smallest_gap))
        {
            return {};
        }
        if (first > 0)
        {
            bounds.push_back((class_mean + previous_mean) / 2);
        }
        previous_mean = class_mean;
        first = end;
    }
    return bounds;
}

bool is_certain(const speed_estimate& estimate, time_point now)
{
    return certainty_of(estimate, now) >= min_certainty;
}

} // namespace

void record_speed(speed_estimate& estimate, double log_speed, time_point now)
{
    const auto bounded = std::clamp(log_speed, -max_log_speed, max_log_speed);
    estimate.observed[estimate.next] =
        static_cast<std::int16_t>(std::lround(bounded * unit));
    estimate.next =
        static_cast<std::uint8_t>((estimate.next + 1) % speed_estimate::window);
    estimate.count = static_cast<std::uint8_t>(
        std::min<std::size_t>(estimate.count + 1U, speed_estimate::window));
    estimate.last = now;
    if (has_changed(estimate))
    {
        estimate.count = change_length;
    }
    std::vector<double> values;
    for (std::size_t age = 0; age < estimate.count; ++age)
    {
        values.push_back(observation(estimate, age));
    }
    estimate.log_speed = static_cast<float>(middle_mean(std::move(values)));
}

double certainty_of(const speed_estimate& estimate, time_point now)
{
    const auto silence = std::max(milliseconds::zero(), now - estimate.last);
    return estimate.count * std::exp2(-static_cast<double>(silence.count()) /
                                      static_cast<double>(half_life.count()));
}

double observed_speed(const run_time& run, const std::vector<run_time>& others)
{
    std::vector<std::pair<double, double>> expected; // Time and weight.
    double total = 0;
    for (const auto& other : others)
    {
        // Workers without an observation count too: a new leader knows none.
        const auto weight = 0.25 + other.certainty / (other.certainty + 2);
        expected.emplace_back(other.log_time + other.log_speed, weight);
        total += weight;
    }
    std::sort(expected.begin(), expected.end());
    double below = 0;
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        below += expected[i].second;
        if (2 * below > total)
        {
            return expected[i].first - run.log_time;
        }
        if (2 * below == total)
        {
            return (expected[i].first + expected[i + 1].first) / 2 -
                   run.log_time;
        }
    }
    return run.log_speed;
}

speed_classes classify_speeds(const std::vector<speed_estimate>& workers,
                              time_point now)
{
    std::vector<speed_estimate> certain;
    std::vector<double> speeds;
    for (const auto& worker : workers)
    {
        if (worker.count >= 2 && is_certain(worker, now))
        {
            certain.push_back(worker);
            speeds.push_back(worker.log_speed);
        }
    }
    speed_classes classes;
    if (speeds.empty())
    {
        return classes;
    }
    classes.centre = median(speeds);
    if (speeds.size() < min_workers)
    {
        return classes;
    }
    const auto spread = spread_of(certain, speeds);
    if (spread.between < min_spread * min_spread ||
        spread.significance < min_significance)
    {
        return classes;
    }
    std::sort(speeds.begin(), speeds.end());
    for (auto count = max_speed_classes; count > 1 && classes.bounds.empty();
         --count)
    {
        classes.bounds = bounds_of(
            speeds, count, std::max(min_gap, min_gap_in_noise * spread.noise));
    }
    return classes;
}

std::size_t class_of(const speed_estimate& estimate,
                     const speed_classes& classes, time_point now)
{
    const auto speed = is_certain(estimate, now)
                           ? static_cast<double>(estimate.log_speed)
                           : classes.centre;
    return static_cast<std::size_t>(
        std::upper_bound(classes.bounds.begin(), classes.bounds.end(), speed) -
        classes.bounds.begin());
}

double speed_of(const speed_estimate& estimate, const speed_classes& classes,
                time_point now)
{
    return is_certain(estimate, now)
               ? std::exp(estimate.log_speed - classes.centre)
               : 1;
}

} // namespace limpetstack::fleet
