#pragma once

#include <string_view>

namespace limpetstack
{

/// Returns true when arrays and objects in a JSON text are nested more deeply
/// than any message. Parsed values are copied and written recursively, so that
/// their depth is limited by the stack. The text need not be valid JSON.
bool is_nested_too_deeply(std::string_view text);

} // namespace limpetstack
