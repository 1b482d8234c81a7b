#include "coordination/upstream_health.hpp"

#include <algorithm>
#include <vector>

namespace limpetstack
{
namespace
{

constexpr std::uint32_t failures_to_eject = 3;
constexpr double failure_rate_to_eject = 0.5;
constexpr std::uint32_t samples_for_rate = 10;
constexpr double average_weight = 0.2; // Of the newest sample.

// An upstream is slow when it takes three times the median of the others and
// at least 20 ms more, so that noise among fast upstreams ejects none.
constexpr double slow_factor = 3;
constexpr double slow_margin_ms = 20;

constexpr milliseconds first_back_off{1000};
constexpr milliseconds longest_back_off{30000};

} // namespace

void upstream_health::retain(const std::set<std::string>& ids)
{
    for (auto i = records_.begin(); i != records_.end();)
    {
        if (ids.count(i->first) > 0)
        {
            ++i;
            continue;
        }
        ejected_ -= i->second.out ? 1 : 0;
        i = records_.erase(i);
    }
    for (const auto& id : ids)
    {
        records_.emplace(id, record{});
    }
}

upstream_standing upstream_health::standing(const std::string& id,
                                            time_point now) const
{
    const auto found = records_.find(id);
    if (found == records_.end() || !found->second.out)
    {
        return upstream_standing::admitted;
    }
    if (!found->second.probing && now >= found->second.probe_at)
    {
        return upstream_standing::probe;
    }
    return upstream_standing::ejected;
}

void upstream_health::started(const std::string& id)
{
    const auto found = records_.find(id);
    if (found != records_.end() && found->second.out)
    {
        found->second.probing = true;
    }
}

void upstream_health::succeeded(const std::string& id, milliseconds latency,
                                time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return;
    }
    auto& subject = found->second;
    const auto sample = static_cast<double>(latency.count());
    subject.failures_in_row = 0;
    subject.failure_rate *= 1 - average_weight;
    if (subject.samples == 0)
    {
        subject.latency_ms = sample;
    }
    subject.latency_ms += average_weight * (sample - subject.latency_ms);
    ++subject.samples;
    if (subject.out)
    {
        if (!subject.probing)
        {
            return; // Sent before the ejection.
        }
        subject.probing = false;
        subject.latency_ms = sample;
        if (slow(id, subject))
        {
            extend(subject, now);
            return;
        }
        readmit(subject);
        return;
    }
    if (subject.samples >= samples_for_rate && slow(id, subject))
    {
        eject(subject, now);
    }
}

void upstream_health::failed(const std::string& id, time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
    {
        return;
    }
    auto& subject = found->second;
    ++subject.failures_in_row;
    subject.failure_rate += average_weight * (1 - subject.failure_rate);
    ++subject.samples;
    if (subject.out)
    {
        if (subject.probing)
        {
            subject.probing = false;
            extend(subject, now);
        }
        return;
    }
    if (subject.failures_in_row >= failures_to_eject ||
        (subject.samples >= samples_for_rate &&
         subject.failure_rate > failure_rate_to_eject))
    {
        eject(subject, now);
    }
}

void upstream_health::inconclusive(const std::string& id)
{
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        found->second.probing = false;
    }
}

bool upstream_health::slow(const std::string& id, const record& subject) const
{
    const double median = median_latency_of_others(id);
    return median > 0 && subject.latency_ms > slow_factor * median &&
           subject.latency_ms > median + slow_margin_ms;
}

double upstream_health::median_latency_of_others(const std::string& id) const
{
    std::vector<double> values;
    for (const auto& item : records_)
    {
        if (item.first != id && !item.second.out &&
            item.second.samples >= samples_for_rate)
        {
            values.push_back(item.second.latency_ms);
        }
    }
    if (values.empty())
    {
        return 0;
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void upstream_health::eject(record& subject, time_point now)
{
    if ((ejected_ + 1) * 2 > records_.size())
    {
        return;
    }
    ++ejected_;
    subject.out = true;
    subject.probing = false;
    subject.back_off = first_back_off;
    subject.probe_at = now + subject.back_off;
}

void upstream_health::extend(record& subject, time_point now)
{
    subject.back_off = std::min(longest_back_off, 2 * subject.back_off);
    subject.probe_at = now + subject.back_off;
}

void upstream_health::readmit(record& subject)
{
    --ejected_;
    const double latency = subject.latency_ms;
    subject = record{};
    subject.latency_ms = latency;
    subject.samples = 1;
}

} // namespace limpetstack
