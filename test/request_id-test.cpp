#include "state/request_id.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against an id whose home data centre or age is read wrongly.
TEST(request_id, parses_what_it_makes)
{
    const auto text = make_request_id("dc-north-1", 7, 1700000000000, "0af3");
    EXPECT_EQ(text, "dc-north-1-7-18bcfe56800-0af3");
    const auto id = parse_request_id(text);
    ASSERT_TRUE(id.ok());
    EXPECT_EQ(*id, (request_id{"dc-north-1", 7, 1700000000000, "0af3"}));
}

// Guards against two spellings of one id, which would be two journal keys, and
// against ids made up by callers.
TEST(request_id, refuses_other_text)
{
    for (const char* text :
         {"", "dc1", "dc1-1-ff", "-1-ff-0a", "dc1-01-ff-0a", "dc1-1-0ff-0a",
          "dc1-1-FF-0a", "dc1-+1-ff-0a", "dc1-1--ff-0a", "dc1-1-ff-",
          "dc1-1-ff-zz", "dc1-1-ffffffffffffffffff-0a"})
    {
        EXPECT_FALSE(parse_request_id(text).ok()) << text;
    }
}

} // namespace
} // namespace limpetstack
