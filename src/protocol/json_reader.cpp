#include "protocol/json_reader.hpp"

#include "protocol/json_complexity.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace limpetstack
{
namespace
{

constexpr std::size_t name_limit_bytes = 256;

bool has_control_character(const std::string& value)
{
    return std::any_of(value.begin(), value.end(),
                       [](unsigned char c)
                       {
                           return c < 0x20 || c == 0x7F;
                       });
}

} // namespace

json_reader::json_reader(const std::string& body)
    : object_(is_too_complex(body)
                  ? nlohmann::json()
                  : nlohmann::json::parse(body, nullptr, false))
{
    if (!object_.is_object())
    {
        fail("the body must be one JSON object");
    }
}

json_reader::json_reader(const nlohmann::json& object)
    : object_(object)
{
    if (!object_.is_object())
    {
        fail("each entry must be a JSON object");
    }
}

void json_reader::fail(const std::string& message)
{
    if (status_.ok())
    {
        status_ = absl::InvalidArgumentError(message);
    }
}

const nlohmann::json* json_reader::find(const char* name) const
{
    if (!object_.is_object())
    {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

std::string json_reader::text(const char* name)
{
    auto value = optional_text(name, name_limit_bytes);
    if (value.empty())
    {
        fail(absl::StrCat(name, ": a text is required"));
    }
    else if (has_control_character(value))
    {
        fail(absl::StrCat(name, ": control characters are not allowed"));
    }
    return value;
}

std::string json_reader::optional_text(const char* name, std::size_t limit)
{
    const auto* field = find(name);
    if (field == nullptr)
    {
        return "";
    }
    if (!field->is_string())
    {
        fail(absl::StrCat(name, ": must be a text"));
        return "";
    }
    auto value = field->get<std::string>();
    if (value.size() > limit)
    {
        fail(absl::StrCat(name, ": longer than ", limit, " bytes"));
        return "";
    }
    return value;
}

std::uint64_t json_reader::number(const char* name, std::uint64_t low,
                                  std::uint64_t high)
{
    if (find(name) == nullptr)
    {
        fail(absl::StrCat(name, ": a number is required"));
        return low;
    }
    return number_or(name, low, high, low);
}

std::uint64_t json_reader::number_or(const char* name, std::uint64_t low,
                                     std::uint64_t high, std::uint64_t missing)
{
    const auto* field = find(name);
    if (field == nullptr)
    {
        return missing;
    }
    const bool valid = field->is_number_unsigned() &&
                       field->get<std::uint64_t>() >= low &&
                       field->get<std::uint64_t>() <= high;
    if (!valid)
    {
        fail(absl::StrCat(name, ": must be an integer from ", low, " to ",
                          high));
        return missing;
    }
    return field->get<std::uint64_t>();
}

double json_reader::fraction(const char* name)
{
    const auto* field = find(name);
    if (field == nullptr)
    {
        return 0;
    }
    if (!field->is_number() || field->get<double>() < 0 ||
        field->get<double>() > 1)
    {
        fail(absl::StrCat(name, ": must be a number from 0 to 1"));
        return 0;
    }
    return field->get<double>();
}

std::string json_reader::choice(const char* name, std::string_view choices)
{
    const std::vector<std::string> allowed =
        absl::StrSplit(absl::string_view(choices.data(), choices.size()), '|');
    const auto* field = find(name);
    if (field == nullptr)
    {
        return allowed.front();
    }
    auto value = field->is_string() ? field->get<std::string>() : "";
    if (std::find(allowed.begin(), allowed.end(), value) == allowed.end())
    {
        fail(absl::StrCat(name, ": must be one of ",
                          absl::string_view(choices.data(), choices.size())));
    }
    return value;
}

nlohmann::json json_reader::array(const char* name)
{
    const auto* field = find(name);
    if (field == nullptr)
    {
        return nlohmann::json::array();
    }
    if (!field->is_array())
    {
        fail(absl::StrCat(name, ": must be an array"));
        return nlohmann::json::array();
    }
    return *field;
}

} // namespace limpetstack
