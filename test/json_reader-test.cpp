#include "protocol/json_reader.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <string>

namespace limpetstack
{
namespace
{

// Guards against a daemon that ends when it copies a deeply nested value of a
// message.
TEST(json_reader, deeply_nested_messages_are_refused)
{
    constexpr std::size_t levels = 100000;
    json_reader reader(absl::StrCat(R"({"tasks":)", std::string(levels, '['),
                                    std::string(levels, ']'), "}"));
    EXPECT_TRUE(reader.array("tasks").empty());
    EXPECT_FALSE(reader.status().ok());
}

// Guards against a limit that refuses valid messages.
TEST(json_reader, brackets_in_texts_are_not_nested_values)
{
    json_reader reader(absl::StrCat(R"({"name":")", std::string(200, '['),
                                    R"(","tasks":[{"a":[1]}]})"));
    EXPECT_EQ(reader.text("name").size(), 200U);
    EXPECT_EQ(reader.array("tasks").size(), 1U);
    EXPECT_TRUE(reader.status().ok());
}

} // namespace
} // namespace limpetstack
