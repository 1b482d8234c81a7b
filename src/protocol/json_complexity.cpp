#include "protocol/json_complexity.hpp"

#include <cstddef>

namespace limpetstack
{
namespace
{

// Messages have fewer than ten levels.
constexpr int max_depth = 64;

// A document with 1,400 routes has some 20,000 values; parsed values take about
// 100 bytes each.
constexpr std::size_t max_values = 100000;

} // namespace

bool is_too_complex(std::string_view text)
{
    int depth = 0;
    // Each value but the first follows a comma or the begin of its container.
    std::size_t values = 1;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (in_string)
        {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        }
        else if (c == '"')
        {
            in_string = true;
        }
        else if (c == '[' || c == '{')
        {
            if (++depth > max_depth || ++values > max_values)
            {
                return true;
            }
        }
        else if (c == ',' && ++values > max_values)
        {
            return true;
        }
        else if (c == ']' || c == '}')
        {
            --depth;
        }
    }
    return false;
}

} // namespace limpetstack
