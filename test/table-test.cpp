#include "ctl/table.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace limpetstack
{
namespace
{

// Guards against columns that do not line up, also with characters of several
// bytes and missing values.
TEST(table, columns_line_up)
{
    const auto rows = nlohmann::json::parse(
        R"([{"name":"Sitniš","n":7,"list":["a","b"],"up":true},
            {"name":"b","n":10,"list":[]}])");
    std::ostringstream out;
    write_table(out,
                {{"name", "NAME"}, {"n", "N"}, {"list", "LIST"}, {"up", "UP"}},
                rows, false);
    EXPECT_EQ(out.str(), "NAME    N   LIST  UP\n"
                         "Sitniš   7  a, b  yes\n"
                         "b       10  -     -\n");
}

// Guards against names from the network that move the cursor or recolour the
// terminal.
TEST(table, control_characters_are_replaced)
{
    EXPECT_EQ(cell_text("a\x1b[31mb\n", cell_format::plain), "a?[31mb?");
    std::ostringstream out;
    write_table(out, {{"a", "A"}}, nlohmann::json::array(), true);
    EXPECT_EQ(out.str(), "\x1b[1mA\n\x1b[0m");
}

// Guards against times and hashes that people can not read.
TEST(table, times_hashes_and_counts)
{
    EXPECT_EQ(cell_text(1700000000123, cell_format::time),
              "2023-11-14T22:13:20Z");
    EXPECT_EQ(cell_text(std::string(64, 'a'), cell_format::hash),
              std::string(12, 'a'));
    EXPECT_EQ(cell_text(nlohmann::json::array({1, 2}), cell_format::count),
              "2");
}

} // namespace
} // namespace limpetstack
