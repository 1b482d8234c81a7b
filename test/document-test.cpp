#include "limpetstack/document.hpp"
#include "protocol/document_limits.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace limpetstack
{
namespace
{

const std::string valid = R"(fleet:
  - data_centre: dc1
    racks: 2
    workers_per_rack: 6
    cores: 32
    memory_gib: 128
    accelerators: 8
client_accounts:
  - name: addis
    weight: 4
    guarantees:
      - data_centre: dc1
        count: 1
        members: 4
        accelerators: 8
        cores: 8
        memory_gib: 32
        adjacency: rack
    services:
      - name: appraisal
        idempotent: false
        timeout: 5s
        max_attempts: 1
)";

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = valid;
    return text.replace(text.find(from), from.size(), to);
}

// The only error of the text, as `line:column path: message`.
std::string only_error(const std::string& yaml)
{
    const auto result = parse_document(yaml);
    if (result.value || result.errors.size() != 1)
    {
        return std::to_string(result.errors.size()) + " errors";
    }
    const auto& error = result.errors.front();
    return std::to_string(error.line) + ":" + std::to_string(error.column) +
           " " + error.path + ": " + error.message;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Guards against values that are lost or get the wrong unit.
TEST(document, example_of_the_design_page_is_read_whole)
{
    const auto result = parse_document(valid);
    ASSERT_TRUE(result.value);
    const document expected{
        {{"dc1", 2, 6, 32, 131072, 8}},
        {{"addis",
          4,
          {{"dc1", 1, 4, 8, 8, 32768, adjacency::rack}},
          {{"appraisal", false, std::chrono::milliseconds(5000), 1}}}}};
    EXPECT_EQ(*result.value, expected);
    const auto* account = find_account(*result.value, "addis");
    ASSERT_NE(account, nullptr);
    EXPECT_NE(find_service(*account, "appraisal"), nullptr);
    EXPECT_EQ(find_service(*account, "none"), nullptr);
    EXPECT_EQ(find_account(*result.value, "none"), nullptr);
}

// Guards against an operator who must repair and submit once for each error.
TEST(document, all_errors_are_reported_with_their_places)
{
    auto text = replaced("weight: 4", "wieght: 4");
    text.replace(text.find("timeout: 5s"), 11, "timeout: 5h");
    text.replace(text.find("racks: 2"), 8, "racks: 0");
    const auto errors = parse_document(text).errors;
    ASSERT_EQ(errors.size(), 3U);
    EXPECT_EQ(errors[0].path, "fleet[0].racks");
    EXPECT_EQ(errors[0].line, 3);
    EXPECT_EQ(errors[0].column, 12);
    EXPECT_EQ(errors[1].path, "client_accounts[0].wieght");
    EXPECT_TRUE(contains(errors[1].message, "did you mean weight?"));
    EXPECT_EQ(errors[2].path, "client_accounts[0].services[0].timeout");
    EXPECT_TRUE(contains(errors[2].message, "unit ms, s or min"));
}

// Guards against wrong values that are taken as defaults.
TEST(document, wrong_values_are_refused)
{
    EXPECT_TRUE(contains(
        only_error(replaced("idempotent: false", "idempotent: \"no\"")),
        "must be true or false, but is \"no\""));
    EXPECT_TRUE(contains(only_error(replaced("weight: 4", "weight: 1001")),
                         "from 1 to 1000"));
    EXPECT_TRUE(contains(only_error(replaced("weight: 4", "weight: -1")),
                         "whole number"));
    EXPECT_TRUE(contains(only_error(replaced("weight: 4", "weight: \"4\"")),
                         "without a unit and quotes"));
    EXPECT_TRUE(contains(only_error(replaced("timeout: 5s", "timeout: 5")),
                         "for example 30s, but is \"5\""));
    EXPECT_TRUE(contains(
        only_error(replaced("timeout: 5s", "timeout: 99999999999999999min")),
        "from 1ms to 60min"));
    EXPECT_TRUE(
        contains(only_error(replaced("memory_gib: 32", "memory_gib: 32GiB")),
                 "without a unit"));
    EXPECT_TRUE(contains(only_error(replaced("name: addis", "name: a/b")),
                         "must be a name"));
    EXPECT_TRUE(
        contains(only_error(replaced("adjacency: rack", "adjacency: row")),
                 "must be rack"));
    EXPECT_TRUE(
        contains(only_error(replaced("weight: 4", "weight: 4\n    weight: 5")),
                 "appears twice"));
    EXPECT_EQ(only_error(replaced("name: addis", "weight: 1")), "2 errors");
    EXPECT_TRUE(contains(only_error("client_accounts: []"),
                         "the key fleet is missing"));
}

// Guards against two accounts or services that share slots by accident.
TEST(document, repeated_names_are_refused)
{
    EXPECT_TRUE(contains(only_error(valid + "  - name: addis\n"),
                         "two client accounts are named addis"));
    EXPECT_TRUE(contains(only_error(valid + "      - name: appraisal\n"
                                            "        idempotent: true\n"),
                         "two services named appraisal"));
}

// Guards against guarantees that no state of the fleet can honour.
TEST(document, shape_must_fit_the_declared_racks)
{
    EXPECT_TRUE(contains(
        only_error(replaced("data_centre: dc1\n        count",
                            "data_centre: dc2\n        count")),
        "12:22 client_accounts[0].guarantees[0].data_centre: no rack of dc2"));
    EXPECT_TRUE(contains(only_error(replaced("members: 4", "members: 7")),
                         "the largest rack of dc1 holds 6; use fewer or "
                         "smaller members or adjacency: any"));
    EXPECT_TRUE(contains(only_error(replaced("cores: 8\n        memory",
                                             "cores: 33\n        memory")),
                         "no declared worker of dc1 has that much"));
    auto any = replaced("members: 4", "members: 12");
    any.replace(any.find("adjacency: rack"), 15, "adjacency: any");
    EXPECT_TRUE(parse_document(any).value);
    any.replace(any.find("members: 12"), 11, "members: 13");
    EXPECT_TRUE(contains(only_error(any), "all racks of dc1 hold 12"));
}

// Guards against second errors that only follow from a first one.
TEST(document, error_in_the_fleet_is_not_repeated_for_its_users)
{
    EXPECT_TRUE(contains(only_error(replaced("racks: 2", "racks: two")),
                         "fleet[0].racks"));
    EXPECT_EQ(only_error(replaced("fleet:\n", "fleet: 3\nx:\n")), "2 errors");
}

// Guards against texts that cost far more memory or stack than their size.
TEST(document, expensive_texts_are_refused)
{
    EXPECT_TRUE(
        contains(only_error(valid + "#" + std::string(max_document_bytes, ' ')),
                 "bytes; at most 1048576"));
    EXPECT_TRUE(contains(only_error(replaced("weight: 4", "weight: &w 4")),
                         "anchors are not supported"));
    EXPECT_TRUE(contains(only_error("fleet: &f []\nclient_accounts: *f\n"),
                         "anchors are not supported"));
    EXPECT_TRUE(contains(only_error(std::string(100000, '[')), "levels deep"));
    EXPECT_TRUE(contains(only_error(replaced("weight: 4", "weight: !x 4")),
                         "tags are not supported"));
    EXPECT_TRUE(contains(only_error(valid + "---\n" + valid),
                         "more than one document"));
    EXPECT_TRUE(contains(only_error("fleet: \xff"), "1:8 : this byte"));
    EXPECT_TRUE(contains(only_error("fleet: [\n"), "not valid YAML"));
    EXPECT_TRUE(contains(only_error(""), "empty"));
    std::string keys;
    for (int i = 0; i < 5000; ++i)
    {
        keys += "unknown" + std::to_string(i) + ": 1\n";
    }
    EXPECT_EQ(parse_document(keys).errors.size(), 1001U);
}

// Guards against limits below the size planned for.
TEST(document, holds_1000_accounts)
{
    std::string text = "fleet: []\nclient_accounts:\n";
    for (int i = 0; i < 1000; ++i)
    {
        text += "  - name: team" + std::to_string(i) +
                "\n    services: [{name: s, idempotent: true}]\n";
    }
    EXPECT_TRUE(parse_document(text).value);
    EXPECT_TRUE(
        contains(only_error(text + "  - name: one-more\n"), "at most 1000"));
}

// Guards against damaged texts that crash the parser or pass without a value.
RC_GTEST_PROP(document, damaged_text_gives_a_value_or_errors, ())
{
    auto text = valid;
    const auto changes = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string(" :-[]{}&*!|>'\"\n\t#0a\xc3\xff")));
    for (const auto change : changes)
    {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = change;
    }
    const auto result = parse_document(text);
    RC_ASSERT(result.value.has_value() == result.errors.empty());
}

} // namespace
} // namespace limpetstack
