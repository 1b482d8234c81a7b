#include "ctl/audit_json.hpp"

#include "peer.pb.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>

namespace limpetstack
{
namespace
{

wire::command_code code_of(const nlohmann::json& value)
{
    if (value.is_number_integer())
    {
        return static_cast<wire::command_code>(value.get<int>());
    }
    static const std::array<std::string, 5> names = {
        "accepted", "conflict", "invalid", "unavailable", "unknown"};
    const auto& name = value.get_ref<const std::string&>();
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == name)
        {
            return static_cast<wire::command_code>(i);
        }
    }
    // Another number than any code, so that verification fails.
    return static_cast<wire::command_code>(names.size());
}

} // namespace

absl::StatusOr<wire::audit_record> audit_from_json(const nlohmann::json& value)
{
    try
    {
        wire::audit_record record;
        record.set_sequence(value.at("sequence").get<std::uint64_t>());
        record.set_time_ms(value.at("time_ms").get<std::int64_t>());
        record.set_operator_name(value.at("operator").get<std::string>());
        record.set_host(value.at("host").get<std::string>());
        record.set_action(value.at("action").get<std::string>());
        record.set_base_version(value.at("base_version").get<std::uint64_t>());
        record.set_version(value.at("version").get<std::uint64_t>());
        record.set_code(code_of(value.at("code")));
        record.set_message(value.at("message").get<std::string>());
        record.set_request_id(value.at("request_id").get<std::string>());
        record.set_previous_hash(value.at("previous_hash").get<std::string>());
        record.set_hash(value.at("hash").get<std::string>());
        return record;
    }
    catch (const nlohmann::json::exception& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace limpetstack
