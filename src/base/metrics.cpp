#include "base/metrics.hpp"

// extended_p_square_quantile.hpp uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <functional>
#include <map>
#include <mutex>

namespace limpetstack
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.95, 0.99};

using distribution =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// Splits `name{labels}` into the name and the labels without braces.
std::pair<std::string, std::string> split_labels(const std::string& name)
{
    const auto brace = name.find('{');
    if (brace == std::string::npos)
    {
        return {name, ""};
    }
    return {name.substr(0, brace),
            name.substr(brace + 1, name.size() - brace - 2)};
}

constexpr double lowest_bound_ms = 0.25;
constexpr std::size_t bound_count = 17;

struct histogram
{
    std::array<std::uint64_t, bound_count> counts{}; // Not cumulative.
    std::uint64_t total = 0;
    double sum = 0;
};

void write_type(std::ostream& out, std::string& last, const std::string& name,
                const char* type)
{
    const auto base = split_labels(name).first;
    if (base != last)
    {
        out << "# TYPE limpetstack_" << base << ' ' << type << '\n';
        last = base;
    }
}

void write_summary(std::ostream& out, const std::string& name,
                   const distribution& values)
{
    const auto [base, labels] = split_labels(name);
    const std::string separator = labels.empty() ? "" : ",";
    for (const double q : quantiles)
    {
        out << "limpetstack_" << base << '{' << labels << separator
            << "quantile=\"" << q << "\"} "
            << acc::quantile(values, acc::quantile_probability = q) << '\n';
    }
    const std::string suffix = labels.empty() ? "" : "{" + labels + "}";
    out << "limpetstack_" << base << "_sum" << suffix << ' ' << acc::sum(values)
        << '\n';
    out << "limpetstack_" << base << "_count" << suffix << ' '
        << acc::count(values) << '\n';
}

void write_histogram(std::ostream& out, const std::string& name,
                     const histogram& values)
{
    const auto [base, labels] = split_labels(name);
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t below = 0;
    double bound = lowest_bound_ms;
    for (const auto count : values.counts)
    {
        below += count;
        out << "limpetstack_" << base << "_bucket{" << labels << separator
            << "le=\"" << bound << "\"} " << below << '\n';
        bound *= 2;
    }
    out << "limpetstack_" << base << "_bucket{" << labels << separator
        << "le=\"+Inf\"} " << values.total << '\n';
    const std::string suffix = labels.empty() ? "" : "{" + labels + "}";
    out << "limpetstack_" << base << "_sum" << suffix << ' ' << values.sum
        << '\n';
    out << "limpetstack_" << base << "_count" << suffix << ' ' << values.total
        << '\n';
}

} // namespace

struct metrics::shard
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, distribution, std::less<>> distributions;
    std::map<std::string, histogram, std::less<>> histograms;
};

metrics::metrics()
    : shards_(new shard[shard_count])
{
}

metrics::~metrics() = default;

metrics::shard& metrics::shard_of(std::string_view name) const
{
    return shards_[std::hash<std::string_view>{}(name) % shard_count];
}

void metrics::add(std::string_view name, std::uint64_t amount)
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    const auto found = part.counters.find(name);
    if (found == part.counters.end())
    {
        part.counters.emplace(name, amount);
        return;
    }
    found->second += amount;
}

void metrics::set(std::string_view name, double value)
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    part.gauges.insert_or_assign(std::string(name), value);
}

void metrics::observe(std::string_view name, double sample_ms)
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    auto found = part.distributions.find(name);
    if (found == part.distributions.end())
    {
        distribution empty(acc::extended_p_square_probabilities = quantiles);
        found = part.distributions.emplace(name, empty).first;
    }
    found->second(sample_ms);
}

void metrics::observe_latency(std::string_view name, double sample_ms)
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    auto found = part.histograms.find(name);
    if (found == part.histograms.end())
    {
        found = part.histograms.emplace(name, histogram()).first;
    }
    auto& values = found->second;
    ++values.total;
    values.sum += sample_ms;
    std::size_t index = 0;
    for (double bound = lowest_bound_ms;
         index < bound_count && sample_ms > bound; bound *= 2)
    {
        ++index;
    }
    if (index < bound_count)
    {
        ++values.counts.at(index);
    }
}

std::uint64_t metrics::counter(std::string_view name) const
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    const auto found = part.counters.find(name);
    return found == part.counters.end() ? 0 : found->second;
}

std::string metrics::text() const
{
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, distribution> distributions;
    std::map<std::string, histogram> histograms;
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        const std::lock_guard lock(shards_[i].mutex);
        counters.insert(shards_[i].counters.begin(), shards_[i].counters.end());
        gauges.insert(shards_[i].gauges.begin(), shards_[i].gauges.end());
        distributions.insert(shards_[i].distributions.begin(),
                             shards_[i].distributions.end());
        histograms.insert(shards_[i].histograms.begin(),
                          shards_[i].histograms.end());
    }
    std::ostringstream out;
    std::string last;
    for (const auto& [name, value] : counters)
    {
        write_type(out, last, name, "counter");
        out << "limpetstack_" << name << ' ' << value << '\n';
    }
    for (const auto& [name, value] : gauges)
    {
        write_type(out, last, name, "gauge");
        out << "limpetstack_" << name << ' ' << value << '\n';
    }
    for (const auto& [name, values] : distributions)
    {
        write_type(out, last, name, "summary");
        write_summary(out, name, values);
    }
    for (const auto& [name, values] : histograms)
    {
        write_type(out, last, name, "histogram");
        write_histogram(out, name, values);
    }
    return out.str();
}

} // namespace limpetstack
