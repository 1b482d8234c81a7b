#include "coordination/request_id.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <charconv>

namespace limpetstack
{
namespace
{

constexpr std::size_t longest_id = 128;
constexpr int random_bytes = 16;

} // namespace

bool usable_request_id(std::string_view text)
{
    return !text.empty() && text.size() <= longest_id &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return c > ' ' && c < 127;
                       });
}

std::optional<request_id> parse_request_id(std::string_view text)
{
    if (!usable_request_id(text))
    {
        return std::nullopt;
    }
    const auto second = text.rfind('-');
    if (second == std::string_view::npos || second == 0)
    {
        return std::nullopt;
    }
    const auto first = text.rfind('-', second - 1);
    if (first == std::string_view::npos || first == 0)
    {
        return std::nullopt;
    }
    request_id out;
    out.data_centre = std::string(text.substr(0, first));
    out.random = std::string(text.substr(second + 1));
    const auto* const begin = text.data() + first + 1;
    const auto* const end = text.data() + second;
    const auto parsed = std::from_chars(begin, end, out.incarnation);
    if (parsed.ec != std::errc() || parsed.ptr != end || out.random.empty() ||
        out.random.find_first_not_of("0123456789abcdef") != std::string::npos)
    {
        return std::nullopt;
    }
    return out;
}

std::string make_request_id(const std::string& data_centre,
                            std::uint64_t incarnation)
{
    return data_centre + '-' + std::to_string(incarnation) + '-' +
           random_hex(random_bytes);
}

} // namespace limpetstack
