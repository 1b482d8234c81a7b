#include "protocol/yaml_errors.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against error lines that people can not find in their file.
TEST(yaml_errors, error_text_leaves_out_what_is_unset)
{
    EXPECT_EQ(error_text({3, 5, "a.b", "is wrong"}),
              "line 3, column 5: a.b: is wrong");
    EXPECT_EQ(error_text({0, 0, "", "is wrong"}), "is wrong");
}

// Guards against a report that is larger than the file, and against errors out
// of the order of the text.
TEST(yaml_errors, sorted_and_bounded)
{
    yaml_errors errors;
    errors.add(0, 0, "", "whole");
    errors.add(9, 1, "", "late");
    errors.add(2, 5, "", "early");
    EXPECT_EQ(errors.sorted().front().message, "early");
    EXPECT_EQ(errors.sorted().back().message, "whole");
    for (std::size_t i = 0; i < 2 * max_reported_errors; ++i)
    {
        errors.add(1, 1, "", "more");
    }
    EXPECT_EQ(errors.size(), max_reported_errors + 1);
    EXPECT_EQ(errors.sorted().back().message, "further errors are not shown");
}

} // namespace
} // namespace limpetstack
