#include "state/request_id.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>

#include <charconv>

namespace limpetstack
{
namespace
{

constexpr std::size_t max_caller_id_bytes = 128;

constexpr std::size_t max_id_length = 256;

// Returns whether the whole text is a number without sign in the given base.
template <class Number>
bool read_number(std::string_view text, int base, Number& value)
{
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, base);
    return error == std::errc() && stop == end && value >= 0;
}

// Cuts the part after the last '-' off the text.
std::string_view take_last_part(std::string_view& text)
{
    const auto dash = text.rfind('-');
    if (dash == std::string_view::npos)
    {
        return {};
    }
    const auto part = text.substr(dash + 1);
    text = text.substr(0, dash);
    return part;
}

} // namespace

std::string to_string(const request_id& id)
{
    return make_request_id(id.data_centre, id.incarnation, id.issued_ms,
                           id.random);
}

std::string make_request_id(std::string_view data_centre,
                            std::uint64_t incarnation, std::int64_t now_ms,
                            std::string_view random)
{
    return absl::StrCat(std::string(data_centre), "-", incarnation, "-",
                        absl::Hex(now_ms), "-", std::string(random));
}

absl::StatusOr<request_id> parse_request_id(std::string_view text)
{
    request_id id;
    auto rest = text;
    id.random = take_last_part(rest);
    const auto issued = take_last_part(rest);
    const auto incarnation = take_last_part(rest);
    id.data_centre = rest;
    const bool valid =
        text.size() <= max_id_length && !id.data_centre.empty() &&
        !id.random.empty() &&
        id.random.find_first_not_of("0123456789abcdef") == std::string::npos &&
        read_number(issued, 16, id.issued_ms) &&
        read_number(incarnation, 10, id.incarnation);
    if (!valid)
    {
        return absl::InvalidArgumentError("not a request id");
    }
    // Another spelling of the same id would be another key in the journal.
    if (to_string(id) != text)
    {
        return absl::InvalidArgumentError("request id is not in normal form");
    }
    return id;
}

bool usable_request_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_caller_id_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return c > ' ' && c < 127;
                       });
}

} // namespace limpetstack
