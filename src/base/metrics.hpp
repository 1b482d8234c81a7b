#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace limpetstack
{

/// Holds the counters, gauges and latency distributions of one daemon.
/// Names follow the common text exposition format; a label set is part of the
/// name, for example `requests_total{outcome="done"}`.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds `amount` to a counter, which starts at 0.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, double value);

    /// Adds a sample, in milliseconds, to a distribution.
    void observe(std::string_view name, double sample_ms);

    /// Adds a sample, in milliseconds, to a histogram with buckets that double
    /// from 0.25 ms to 16 s.
    void observe_latency(std::string_view name, double sample_ms);

    /// Returns a counter's value, 0 when it was never used.
    std::uint64_t counter(std::string_view name) const;

    /// Returns everything in the text exposition format. Distributions are
    /// summaries with the quantiles 0.5, 0.95 and 0.99.
    std::string text() const;

private:
    struct shard;
    shard& shard_of(std::string_view name) const;

    static constexpr std::size_t shard_count = 16;
    std::unique_ptr<shard[]> shards_;
};

} // namespace limpetstack
