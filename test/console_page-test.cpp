#include "transport/console_page.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against errors that stand far from their field.
TEST(console_page, errors_stand_beside_their_fields)
{
    console_page page;
    page.form = form_of_fields({{"client_accounts[0].name", "a"},
                                {"client_accounts[0].weight", "none"}});
    page.errors = {{3, 5, "client_accounts[0].weight", "must be a number"},
                   {0, 0, "", "not feasible"}};
    const auto html = render(page);
    const auto field = html.find("name=\"client_accounts[0].weight\"");
    const auto error = html.find("must be a number");
    ASSERT_NE(field, std::string::npos);
    ASSERT_NE(error, std::string::npos);
    EXPECT_LT(field, error);
    EXPECT_LT(error, html.find("</div>", field));
    EXPECT_NE(html.find("not feasible"), std::string::npos);
}

// Guards against input that becomes markup of the page.
TEST(console_page, escapes_what_was_entered)
{
    console_page page;
    page.form = form_of_fields(
        {{"client_accounts[0].name", "\"><script>alert(1)</script>"}});
    page.notice = "<b>";
    page.operator_name = "'\"<";
    const auto html = render(page);
    EXPECT_EQ(html.find("<script"), std::string::npos);
    EXPECT_EQ(html.find("<b>"), std::string::npos);
}

} // namespace
} // namespace limpetstack
