#pragma once

#include <yaml-cpp/node/node.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetstack
{

class yaml_errors;

enum class presence
{
    required,
    optional
};

/// What a text value must look like.
enum class text_rule
{
    name,    // 1 to 63 of letters, digits, dot, hyphen and underscore.
    any,     // Any text that is not empty.
    address, // IP:port.
    listen   // IP:port, where port 0 takes a free one.
};

struct yaml_item;

/// One mapping of a YAML text. Each read function stores a valid value in its
/// last argument, and otherwise adds an error and leaves the argument as it
/// is. A missing optional key is no error.
class yaml_map
{
public:
    /// Reports unknown and repeated keys.
    yaml_map(yaml_errors& errors, const YAML::Node& node, std::string path,
             std::initializer_list<std::string_view> keys);

    bool has(std::string_view key) const;
    std::string path_of(std::string_view key) const;

    /// Adds an error at the key's value, or at the mapping without one.
    void error(std::string_view key, std::string message) const;

    void read(std::string_view key, presence need, text_rule rule,
              std::string& value) const;
    void read(std::string_view key, presence need, bool& value) const;
    void read(std::string_view key, presence need, std::uint64_t low,
              std::uint64_t high, std::uint64_t& value) const;
    void read(std::string_view key, presence need, std::uint32_t low,
              std::uint32_t high, std::uint32_t& value) const;
    /// Reads a duration such as 250ms, 5s or 2min.
    void read(std::string_view key, presence need,
              std::chrono::milliseconds low, std::chrono::milliseconds high,
              std::chrono::milliseconds& value) const;
    /// Reads a size such as 512KiB into bytes.
    void read_size(std::string_view key, presence need, std::uint64_t low,
                   std::uint64_t high, std::uint64_t& value) const;

    /// Returns the elements of a list of at most `max_length`.
    std::vector<yaml_item> list(std::string_view key, presence need,
                                std::size_t max_length) const;

    /// Returns the mapping under the key.
    std::optional<yaml_map>
    map(std::string_view key, presence need,
        std::initializer_list<std::string_view> keys) const;

private:
    struct entry
    {
        std::string key;
        YAML::Node value;
    };

    const YAML::Node* find(std::string_view key) const;
    const YAML::Node* find(std::string_view key, presence need) const;
    std::optional<std::string> scalar(std::string_view key, presence need,
                                      std::string_view expected) const;

    yaml_errors* errors_;
    YAML::Node node_;
    std::string path_;
    std::vector<entry> entries_;
};

/// One element of a list, with its path.
struct yaml_item
{
    YAML::Node node;
    std::string path;
};

/// Returns the known word closest to `word`, or nothing if none is close.
std::optional<std::string_view>
closest(std::string_view word, std::initializer_list<std::string_view> known);

/// Returns true for IP:port, with an IPv6 address in brackets.
bool is_address(std::string_view text, bool allow_port_0);

/// Returns `milliseconds` with the largest unit that divides it.
std::string duration_text(std::chrono::milliseconds value);

} // namespace limpetstack
