#pragma once

#include <cstddef>
#include <string_view>

namespace limpetstack
{

constexpr std::size_t max_name_length = 63;

/// What `is_name` asks for, for error messages.
constexpr std::string_view name_expectation =
    "a name of 1 to 63 letters, digits, '.', '-' or '_' that starts with a "
    "letter or digit";

/// Returns true when `text` may name a host, a data centre or an account.
bool is_name(std::string_view text);

} // namespace limpetstack
