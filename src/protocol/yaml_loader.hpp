#pragma once

#include <yaml-cpp/node/node.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace limpetstack
{

class yaml_errors;

/// Levels of nesting that a YAML text may have; ours need 5.
constexpr int max_yaml_depth = 16;

/// Parses a YAML text of at most `max_bytes` bytes. Refuses anchors, aliases,
/// tags, more than one document, deep nesting, and bytes that are not UTF-8
/// text.
std::optional<YAML::Node> load_yaml(std::string_view text,
                                    std::size_t max_bytes, yaml_errors& errors);

} // namespace limpetstack
