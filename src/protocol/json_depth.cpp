#include "protocol/json_depth.hpp"

#include <cstddef>

namespace limpetstack
{
namespace
{

// Messages have fewer than ten levels.
constexpr int max_depth = 64;

} // namespace

bool is_nested_too_deeply(std::string_view text)
{
    int depth = 0;
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
            if (++depth > max_depth)
            {
                return true;
            }
        }
        else if (c == ']' || c == '}')
        {
            --depth;
        }
    }
    return false;
}

} // namespace limpetstack
