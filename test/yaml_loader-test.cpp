#include "protocol/yaml_errors.hpp"
#include "protocol/yaml_loader.hpp"

#include <gtest/gtest.h>

#include <string>

namespace limpetstack
{
namespace
{

bool loads(const std::string& text)
{
    yaml_errors errors;
    return load_yaml(text, 1000, errors).has_value();
}

// Guards against bytes that the messages between daemons can not carry as
// text: they would be refused after the document was accepted.
TEST(yaml_loader, only_valid_utf8_is_loaded)
{
    EXPECT_TRUE(loads("a: Sitni\xc5\xa1\t# \xe2\x82\xac \xf0\x9f\x90\x9a\r\n"));
    for (const auto* wrong : {"\x80", "\xc1\xbf", "\xc5", "\xe0\x80\x80",
                              "\xed\xa0\x80", "\xe2\x82", "\xf0\x80\x80\x80",
                              "\xf4\x90\x80\x80", "\xfe", "\x01", "\x7f"})
    {
        EXPECT_FALSE(loads("a: " + std::string(wrong)));
    }
    EXPECT_FALSE(loads(std::string("a: \0", 4)));
}

// Guards against a limit that is off by one.
TEST(yaml_loader, size_limit_is_exact)
{
    EXPECT_TRUE(loads("a: " + std::string(997, 'x')));
    EXPECT_FALSE(loads("a: " + std::string(998, 'x')));
}

} // namespace
} // namespace limpetstack
