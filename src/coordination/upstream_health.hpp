#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace limpetstack
{

/// Whether an upstream takes requests.
enum class upstream_standing
{
    admitted,
    probe,  // Ejected, but due for one request that decides on its return.
    ejected // Takes no requests.
};

/// Ejects upstreams that fail, or that are slow compared with the others, and
/// returns them through single probes with back-off. At most half of the
/// upstreams are ejected at once. Pure and not synchronized.
class upstream_health
{
public:
    /// Forgets all other upstreams and admits new ones.
    void retain(const std::set<std::string>& ids);

    upstream_standing standing(const std::string& id, time_point now) const;

    /// Records that a request was sent; for an ejected upstream it is the
    /// probe.
    void started(const std::string& id);

    void succeeded(const std::string& id, milliseconds latency, time_point now);
    void failed(const std::string& id, time_point now);

    /// Records an attempt that says nothing about the upstream's health.
    void inconclusive(const std::string& id);

    std::size_t ejected() const { return ejected_; }

private:
    struct record
    {
        std::uint32_t failures_in_row = 0;
        double failure_rate = 0; // Moving average, 0 to 1.
        double latency_ms = 0;   // Moving average.
        std::uint32_t samples = 0;
        bool out = false;
        bool probing = false;
        time_point probe_at;
        milliseconds back_off{0};
    };

    bool slow(const std::string& id, const record& subject) const;
    double median_latency_of_others(const std::string& id) const;
    void eject(record& subject, time_point now);
    static void extend(record& subject, time_point now);
    void readmit(record& subject);

    std::map<std::string, record> records_;
    std::size_t ejected_ = 0;
};

} // namespace limpetstack
