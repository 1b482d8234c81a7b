#include "protocol/yaml_reader.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against suggestions that have nothing to do with the typed key.
TEST(yaml_reader, closest_suggests_only_similar_words)
{
    EXPECT_EQ(closest("wieght", {"name", "weight"}), "weight");
    EXPECT_EQ(closest("nam", {"name", "weight"}), "name");
    EXPECT_FALSE(closest("colour", {"name", "weight"}));
    EXPECT_FALSE(closest("", {"name"}));
}

// Guards against names or ports that fail only when they are first used.
TEST(yaml_reader, addresses_are_ip_and_port)
{
    EXPECT_TRUE(is_address("10.0.0.1:7003", false));
    EXPECT_TRUE(is_address("[fe80::1]:1", false));
    EXPECT_TRUE(is_address("127.0.0.1:0", true));
    for (const auto* wrong :
         {"127.0.0.1:0", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
          "127.0.0.1:7x", "localhost:1", "::1:1", "[]:1", ":1", "256.0.0.1:1"})
    {
        EXPECT_FALSE(is_address(wrong, false)) << wrong;
    }
}

} // namespace
} // namespace limpetstack
