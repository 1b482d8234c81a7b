#include "base/hash.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against a wrong polynomial: the check value is the standard's own.
TEST(hash, crc32c_check_value)
{
    EXPECT_EQ(crc32c("123456789"), 0xE3069283U);
}

// Guards against a wrong digest in the audit chain.
TEST(hash, sha256_of_known_text)
{
    EXPECT_EQ(
        sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against identities that repeat.
TEST(hash, random_hex_differs_each_time)
{
    EXPECT_EQ(random_hex(8).size(), 16U);
    EXPECT_NE(random_hex(8), random_hex(8));
}

} // namespace
} // namespace limpetstack
