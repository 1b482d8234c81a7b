#include "base/name_rule.hpp"

#include <algorithm>

namespace limpetstack
{

bool is_name(std::string_view text)
{
    const auto letter_or_digit = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9');
    };
    return !text.empty() && text.size() <= max_name_length &&
           letter_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [&](char c)
                       {
                           return letter_or_digit(c) || c == '.' || c == '-' ||
                                  c == '_';
                       });
}

} // namespace limpetstack
