#include "settings.hpp"

#include <gtest/gtest.h>

#include <string>

namespace limpetstack::platform
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

std::string settings_with(const std::string& limits)
{
    return R"({"node_name":"core-1","ip":"127.0.0.1","zone":"z",
        "listen":{"control":"127.0.0.1:1"},"port_range":[7000,7015],
        "seeds":["127.0.0.1:1"],"data_dir":"data","limits":)" +
           limits + "}";
}

TEST(platform_settings, limits_are_read)
{
    const auto settings = decode_settings(
        settings_with(R"({"memory_mb":256,"disk_mb":128,"max_fds":4096})"));
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->memory_bytes, 256 * mebibyte);
    EXPECT_EQ(settings->disk_bytes, 128 * mebibyte);
    EXPECT_EQ(settings->max_descriptors, 4096U);
}

TEST(platform_settings, disk_without_a_limit)
{
    const auto settings = decode_settings(settings_with("{}"));
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->disk_bytes, 0U);
}

// Guards against a host that starts with limits under which it can accept no
// job.
TEST(platform_settings, limits_that_are_too_small_are_refused)
{
    for (const char* const limits :
         {R"({"memory_mb":31})", R"({"disk_mb":15})", R"({"disk_mb":-1})",
          R"({"disk_mb":"128"})", R"({"max_fds":63})"})
    {
        EXPECT_FALSE(decode_settings(settings_with(limits)).ok()) << limits;
    }
}

// Guards against bounds on pacing that the deployment sets and nobody reads.
TEST(platform_settings, limits_of_pacing_are_read)
{
    auto text = settings_with("{}");
    text.insert(1, R"("bounds":{"pacing_ms":250,"impact_ms":9000},)");
    const auto settings = decode_settings(text);
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->workers.pace.delay, milliseconds(250));
    EXPECT_EQ(settings->workers.pace.impact_limit, milliseconds(9000));
}

} // namespace
} // namespace limpetstack::platform
