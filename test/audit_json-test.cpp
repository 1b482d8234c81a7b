#include "ctl/audit_json.hpp"

#include "peer.pb.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace limpetstack
{
namespace
{

// Guards against fields that are mixed up, which would fail every
// verification, and against codes that pass for another.
TEST(audit_json, fields_and_codes_are_read)
{
    auto value = nlohmann::json::parse(R"({"sequence":1,"time_ms":2,
        "operator":"o","host":"h","action":"a","base_version":3,"version":4,
        "code":"invalid","message":"m","request_id":"r","previous_hash":"p",
        "hash":"x"})");
    const auto record = audit_from_json(value);
    ASSERT_TRUE(record.ok());
    EXPECT_EQ(record->sequence(), 1U);
    EXPECT_EQ(record->time_ms(), 2);
    EXPECT_EQ(record->operator_name(), "o");
    EXPECT_EQ(record->host(), "h");
    EXPECT_EQ(record->action(), "a");
    EXPECT_EQ(record->base_version(), 3U);
    EXPECT_EQ(record->version(), 4U);
    EXPECT_EQ(record->code(), wire::command_invalid);
    EXPECT_EQ(record->message(), "m");
    EXPECT_EQ(record->request_id(), "r");
    EXPECT_EQ(record->previous_hash(), "p");
    EXPECT_EQ(record->hash(), "x");
    value["code"] = 1;
    EXPECT_EQ(audit_from_json(value)->code(), wire::command_conflict);
    value["code"] = "other";
    EXPECT_FALSE(wire::command_code_IsValid(audit_from_json(value)->code()));
    value.erase("host");
    EXPECT_FALSE(audit_from_json(value).ok());
}

} // namespace
} // namespace limpetstack
