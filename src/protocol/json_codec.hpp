#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace limpetstack::wire
{
class audit_record;
class host_entry;
class job_record;
class job_submission;
class members_response;
class upstream_entry;
class worker_entry;
} // namespace limpetstack::wire

namespace limpetstack
{

struct client_account;
struct document_error;

/// What an operator sends to change the configuration.
struct config_change
{
    std::uint64_t base_version = 0;
    std::string document;
    std::string operator_name;
    std::string request_id;
};

// Each parse function returns kInvalidArgument with the field's name when the
// body is not JSON, a field is missing, has the wrong type or is out of range.

/// Parses an upstream's announcement.
absl::StatusOr<wire::upstream_entry> parse_upstream(const std::string& body);

/// Parses a worker's announcement.
absl::StatusOr<wire::worker_entry> parse_worker(const std::string& body);

/// Parses a job of client account `account`. `data_centre` stays empty when
/// the body names none.
absl::StatusOr<wire::job_submission> parse_job(const std::string& account,
                                               const std::string& body);

/// Parses an operator's change of the configuration.
absl::StatusOr<config_change> parse_config_change(const std::string& body);

nlohmann::json to_json(const client_account& account);
nlohmann::json to_json(const wire::upstream_entry& entry);
nlohmann::json to_json(const wire::worker_entry& entry);
nlohmann::json to_json(const wire::host_entry& entry, bool up);
nlohmann::json to_json(const wire::job_record& record,
                       const std::string& data_centre);
nlohmann::json to_json(const wire::members_response& members);
nlohmann::json to_json(const wire::audit_record& record);
nlohmann::json to_json(const std::vector<document_error>& errors);

} // namespace limpetstack
