#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetstack
{

/// Reads typed fields of one JSON object and keeps the first error.
class json_reader
{
public:
    explicit json_reader(const std::string& body);
    explicit json_reader(const nlohmann::json& object);

    /// A required text of 1 to 256 bytes without control characters.
    std::string text(const char* name);

    /// A text of at most `limit` bytes; empty when the field is missing.
    std::string optional_text(const char* name, std::size_t limit);

    /// A required integer between `low` and `high`.
    std::uint64_t number(const char* name, std::uint64_t low,
                         std::uint64_t high);

    /// The same with a value for a missing field.
    std::uint64_t number_or(const char* name, std::uint64_t low,
                            std::uint64_t high, std::uint64_t missing);

    /// A fraction between 0 and 1; 0 when the field is missing.
    double fraction(const char* name);

    /// One of `choices`, separated by `|`; the first one when missing.
    std::string choice(const char* name, std::string_view choices);

    /// An array; empty when missing.
    nlohmann::json array(const char* name);

    void fail(const std::string& message);

    const absl::Status& status() const { return status_; }

private:
    const nlohmann::json* find(const char* name) const;

    nlohmann::json object_;
    absl::Status status_;
};

} // namespace limpetstack
