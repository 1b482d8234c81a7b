#include "protocol/document_form.hpp"

#include "experiment/deployment.hpp"
#include "limpetstack/document.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against a console that loses or changes parts of the document.
TEST(document_form, keeps_a_document_unchanged)
{
    const auto text = test::sample_document();
    const auto form = form_of_document(text);
    ASSERT_TRUE(form.ok());
    const auto before = parse_document(text);
    const auto after = parse_document(document_of_form(*form));
    ASSERT_TRUE(before.value && after.value);
    EXPECT_EQ(*before.value, *after.value);
}

// Guards against fields that end in another entry.
TEST(document_form, reads_fields_by_place)
{
    const auto form =
        form_of_fields({{"client_accounts[1].name", "b"},
                        {"client_accounts[0].name", "a"},
                        {"client_accounts[1].services[0].timeout", "5s"},
                        {"client_accounts[1].unknown", "x"},
                        {"client_accounts[99999999].name", "far"},
                        {"nonsense[0].name", "x"}});
    const auto& accounts = form.lists.at("client_accounts");
    ASSERT_EQ(accounts.size(), 2U);
    EXPECT_EQ(accounts[0].values.at("name"), "a");
    EXPECT_EQ(accounts[1].values.at("name"), "b");
    EXPECT_EQ(accounts[1].values.count("unknown"), 0U);
    EXPECT_EQ(accounts[1].lists.at("services")[0].values.at("timeout"), "5s");
}

// Guards against buttons that act on another entry, or on none and say so not.
TEST(document_form, adds_and_removes_entries)
{
    auto form = *form_of_document(test::sample_document());
    EXPECT_TRUE(add_entry(form, "client_accounts"));
    EXPECT_TRUE(add_entry(form, "client_accounts[1].services"));
    EXPECT_EQ(form.lists["client_accounts"][1].lists["services"].size(), 1U);
    EXPECT_TRUE(remove_entry(form, "client_accounts[0]"));
    EXPECT_EQ(form.lists["client_accounts"].size(), 1U);
    EXPECT_FALSE(remove_entry(form, "client_accounts[5]"));
    EXPECT_FALSE(add_entry(form, "client_accounts[5].services"));
    EXPECT_FALSE(add_entry(form, "nonsense"));
}

// Guards against text of an operator that becomes structure of the document.
TEST(document_form, text_stays_text)
{
    auto form =
        form_of_fields({{"client_accounts[0].name", "a: b\nfleet: []\n- x"}});
    const auto again = form_of_document(document_of_form(form));
    ASSERT_TRUE(again.ok());
    EXPECT_EQ(again->lists.at("client_accounts")[0].values.at("name"),
              "a: b\nfleet: []\n- x");
}

} // namespace
} // namespace limpetstack
