#pragma once

#include <string_view>

namespace limpetstack
{

/// Returns true when a JSON text holds more values than any message, or nests
/// them more deeply. A parsed value takes up to 50 times the memory of its
/// text, and values are copied and written recursively, so that their depth is
/// limited by the stack. The text need not be valid JSON.
bool is_too_complex(std::string_view text);

} // namespace limpetstack
