#include "coordination/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace limpetstack
{
namespace
{

// A new sample counts at least this much, so that a service that changes is
// followed within some tens of jobs.
constexpr double least_share = 0.05;
// Samples before the learned values replace the defaults.
constexpr double trusted_samples = 5;
// About 90% of a normal distribution lies below mean + 1.28 deviations.
constexpr double deviations = 1.28;
// Declared times are wrong by a factor of ten and more.
constexpr int default_factor = 10;
constexpr milliseconds default_time{24 * 3600 * 1000};
constexpr double longest_ms = 30.0 * 24 * 3600 * 1000;

double positive_ms(milliseconds value)
{
    return std::max(1.0, static_cast<double>(value.count()));
}

milliseconds from_ms(double value)
{
    return milliseconds(
        static_cast<milliseconds::rep>(std::min(value, longest_ms)));
}

} // namespace

void run_time_estimator::moving::add(double sample)
{
    samples += 1;
    const auto share = std::max(least_share, 1 / samples);
    const auto difference = sample - mean;
    mean += share * difference;
    variance = (1 - share) * (variance + share * difference * difference);
}

void run_time_estimator::record(const std::string& service,
                                milliseconds declared, milliseconds actual)
{
    auto& known = services_[service];
    known.actual.add(std::log(positive_ms(actual)));
    if (declared.count() > 0)
    {
        known.factor.add(std::log(positive_ms(actual) / positive_ms(declared)));
    }
}

milliseconds run_time_estimator::estimate(const std::string& service,
                                          milliseconds declared) const
{
    const auto high = [](const moving& value)
    {
        return std::exp(value.mean + deviations * std::sqrt(value.variance));
    };
    const auto found = services_.find(service);
    if (found != services_.end() && declared.count() > 0 &&
        found->second.factor.samples >= trusted_samples)
    {
        return from_ms(positive_ms(declared) * high(found->second.factor));
    }
    if (found != services_.end() &&
        found->second.actual.samples >= trusted_samples)
    {
        return from_ms(high(found->second.actual));
    }
    return declared.count() > 0 ? default_factor * declared : default_time;
}

} // namespace limpetstack
