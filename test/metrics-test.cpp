#include "base/metrics.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against counters that lose increments or leak into other names.
TEST(metrics, counters_are_kept_apart_by_label)
{
    metrics values;
    values.add("requests_total{outcome=\"done\"}");
    values.add("requests_total{outcome=\"done\"}", 2);
    values.add("requests_total{outcome=\"unknown\"}");
    EXPECT_EQ(values.counter("requests_total{outcome=\"done\"}"), 3U);
    EXPECT_EQ(values.counter("requests_total{outcome=\"unknown\"}"), 1U);
    EXPECT_EQ(values.counter("requests_total"), 0U);
}

// Guards against output that a scraper can not parse.
TEST(metrics, text_has_one_type_line_per_name_and_labelled_quantiles)
{
    metrics values;
    values.add("requests_total{outcome=\"done\"}");
    values.add("requests_total{outcome=\"unknown\"}");
    for (int i = 1; i <= 100; ++i)
    {
        values.observe("wait_ms{service=\"a\"}", i);
    }
    const auto text = values.text();
    const std::string type = "# TYPE limpetstack_requests_total counter\n";
    EXPECT_NE(text.find(type), std::string::npos);
    EXPECT_EQ(text.find(type, text.find(type) + 1), std::string::npos);
    EXPECT_NE(text.find("limpetstack_wait_ms{service=\"a\",quantile=\"0.99\"}"),
              std::string::npos);
    EXPECT_NE(text.find("limpetstack_wait_ms_count{service=\"a\"} 100\n"),
              std::string::npos);
}

// Guards against buckets that a scraper would take for something else: they
// are cumulative and the last holds every sample.
TEST(metrics, histogram_buckets_are_cumulative)
{
    metrics values;
    values.observe_latency("call_ms{method=\"GET\"}", 0.2);
    values.observe_latency("call_ms{method=\"GET\"}", 3);
    values.observe_latency("call_ms{method=\"GET\"}", 99999);
    const auto text = values.text();
    const auto has = [&](const std::string& line)
    {
        return text.find(line) != std::string::npos;
    };
    EXPECT_TRUE(has("# TYPE limpetstack_call_ms histogram\n"));
    EXPECT_TRUE(
        has("limpetstack_call_ms_bucket{method=\"GET\",le=\"0.25\"} 1\n"));
    EXPECT_TRUE(has("limpetstack_call_ms_bucket{method=\"GET\",le=\"4\"} 2\n"));
    EXPECT_TRUE(
        has("limpetstack_call_ms_bucket{method=\"GET\",le=\"+Inf\"} 3\n"));
    EXPECT_TRUE(has("limpetstack_call_ms_count{method=\"GET\"} 3\n"));
}

} // namespace
} // namespace limpetstack
