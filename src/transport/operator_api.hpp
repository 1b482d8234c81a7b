#pragma once

#include "transport/http_listener.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace limpetstack
{

struct config_change;
struct document_error;

/// Status and body of a response to an operator.
struct operator_answer;

/// An operator's call to start or end the evacuation of a data centre.
struct evacuation_change
{
    std::string data_centre; // As it was sent; may be no valid name.
    bool active = false;
    std::string operator_name; // Empty when none was given.
    std::string request_id;    // Empty when none was given.
};

/// What the daemon does for operators. Calls come from several threads; each
/// may block.
struct operator_handlers
{
    std::function<operator_answer()> config;
    std::function<operator_answer(const config_change&)> change_config;
    /// Returns every error of a document, without changing anything.
    std::function<std::vector<document_error>(const std::string&)>
        check_document;
    std::function<nlohmann::json()> evacuations;
    std::function<operator_answer(const evacuation_change&)> change_evacuation;
    std::function<nlohmann::json()> accounts;
    std::function<nlohmann::json()> upstreams;
    std::function<nlohmann::json()> workers;
    std::function<nlohmann::json()> jobs;
    std::function<nlohmann::json()> hosts;
    std::function<operator_answer()> members;
    /// Takes the sequence after which records begin, and how many at most (0:
    /// the server's limit).
    std::function<operator_answer(std::uint64_t, std::uint32_t)> audit;
    std::function<std::string()> metrics;
    std::function<std::string()> not_ready; // Empty when ready, else why not.
};

/// Opens the listener for operators: JSON for limpetctl, metrics and health.
absl::StatusOr<std::unique_ptr<http_listener>>
open_operator_api(const std::string& address,
                  const http_listener_options& options,
                  const operator_handlers& handlers);

} // namespace limpetstack
