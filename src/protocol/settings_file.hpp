#pragma once

#include "limpetstack/document.hpp"
#include "limpetstack/settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetstack
{

/// Settings, or every error that was found in them.
struct parsed_settings
{
    std::optional<settings> value;
    std::vector<document_error> errors;
};

/// Parses and validates the YAML text of a settings file; docs/settings.md
/// lists the keys. `peers` of the result does not contain the host itself.
parsed_settings parse_settings(std::string_view yaml);

/// Reads and parses a settings file. An error that has no place in the file
/// names the file.
parsed_settings load_settings(const std::string& path);

} // namespace limpetstack
