#include "protocol/yaml_reader.hpp"
#include "base/name_rule.hpp"
#include "protocol/yaml_errors.hpp"

#include <yaml-cpp/yaml.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <set>
#include <utility>

namespace limpetstack
{
namespace
{

struct unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr unit duration_units[] = {{"ms", 1}, {"s", 1000}, {"min", 60000}};
constexpr unit size_units[] = {
    {"B", 1}, {"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"GiB", 1U << 30U}};

std::string quote(std::string_view text)
{
    constexpr std::size_t shown = 40;
    if (text.size() > shown)
    {
        return "\"" + std::string(text.substr(0, shown)) + "...\"";
    }
    return "\"" + std::string(text) + "\"";
}

std::optional<std::uint64_t> whole_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (text.empty() || failure != std::errc() || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

// Reads a number directly followed by one of the units.
template <std::size_t Count>
std::optional<std::uint64_t> with_unit(std::string_view text,
                                       const unit (&units)[Count])
{
    const auto digits =
        std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = whole_number(text.substr(0, digits));
    for (const auto& [suffix, factor] : units)
    {
        if (number && text.substr(digits) == suffix)
        {
            const auto limit = std::uint64_t(-1) / factor;
            return *number > limit ? std::uint64_t(-1) : *number * factor;
        }
    }
    return std::nullopt;
}

std::string size_text(std::uint64_t bytes)
{
    std::string text;
    for (const auto& [suffix, factor] : size_units)
    {
        if (bytes % factor == 0)
        {
            text = std::to_string(bytes / factor) + std::string(suffix);
        }
    }
    return text;
}

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        auto diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const auto replace = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replace, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

std::string_view expectation(text_rule rule)
{
    switch (rule)
    {
    case text_rule::name:
        return name_expectation;
    case text_rule::any:
        return "a text that is not empty";
    case text_rule::address:
        return "an address IP:port with a port from 1 to 65535, for example "
               "10.0.0.1:7003";
    case text_rule::listen:
        return "an address IP:port, for example 10.0.0.1:7001";
    }
    return "";
}

bool fits(std::string_view text, text_rule rule)
{
    switch (rule)
    {
    case text_rule::name:
        return is_name(text);
    case text_rule::any:
        return !text.empty();
    case text_rule::address:
        return is_address(text, false);
    case text_rule::listen:
        return is_address(text, true);
    }
    return false;
}

std::string kind_of(const YAML::Node& node)
{
    switch (node.Type())
    {
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a mapping";
    case YAML::NodeType::Scalar:
        return quote(node.Scalar());
    default:
        return "empty";
    }
}

std::string join(std::initializer_list<std::string_view> words)
{
    std::string text;
    for (const auto word : words)
    {
        text += (text.empty() ? "" : ", ") + std::string(word);
    }
    return text;
}

} // namespace

yaml_map::yaml_map(yaml_errors& errors, const YAML::Node& node,
                   std::string path,
                   std::initializer_list<std::string_view> keys)
    : errors_(&errors)
    , node_(node)
    , path_(std::move(path))
{
    if (!node.IsMap())
    {
        errors.add(node, path_,
                   "must be a mapping with the keys " + join(keys) +
                       ", but is " + kind_of(node));
        return;
    }
    std::set<std::string> seen;
    for (const auto& pair : node)
    {
        const auto key = pair.first.IsScalar() ? pair.first.Scalar() : "";
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
        {
            const auto near = closest(key, keys);
            errors.add(pair.first, path_of(key),
                       "unknown key " + quote(key) + "; " +
                           (near ? "did you mean " + std::string(*near) + "?"
                                 : "known keys: " + join(keys)));
            continue;
        }
        if (!seen.insert(key).second)
        {
            errors.add(pair.first, path_of(key),
                       "the key appears twice; remove one of them");
            continue;
        }
        entries_.push_back({key, pair.second});
    }
}

const YAML::Node* yaml_map::find(std::string_view key) const
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const entry& e)
                                    {
                                        return e.key == key;
                                    });
    return found == entries_.end() ? nullptr : &found->value;
}

const YAML::Node* yaml_map::find(std::string_view key, presence need) const
{
    const auto* node = find(key);
    // A value that is no mapping has been reported by the constructor.
    if (node == nullptr && need == presence::required && node_.IsMap())
    {
        errors_->add(node_, path_of(key),
                     "the key " + std::string(key) + " is missing; add it");
    }
    return node;
}

bool yaml_map::has(std::string_view key) const
{
    return find(key) != nullptr;
}

std::string yaml_map::path_of(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void yaml_map::error(std::string_view key, std::string message) const
{
    const auto* node = find(key);
    errors_->add(node == nullptr ? node_ : *node, path_of(key),
                 std::move(message));
}

std::optional<std::string> yaml_map::scalar(std::string_view key, presence need,
                                            std::string_view expected) const
{
    const auto* node = find(key, need);
    if (node == nullptr)
    {
        return std::nullopt;
    }
    if (!node->IsScalar())
    {
        error(key, "must be " + std::string(expected) + ", but is " +
                       kind_of(*node));
        return std::nullopt;
    }
    return node->Scalar();
}

void yaml_map::read(std::string_view key, presence need, text_rule rule,
                    std::string& value) const
{
    const auto text = scalar(key, need, expectation(rule));
    if (text && !fits(*text, rule))
    {
        error(key, "must be " + std::string(expectation(rule)) + ", but is " +
                       quote(*text));
        return;
    }
    value = text.value_or(value);
}

void yaml_map::read(std::string_view key, presence need, bool& value) const
{
    const auto text = scalar(key, need, "true or false");
    if (text && *text != "true" && *text != "false")
    {
        error(key, "must be true or false, but is " + quote(*text));
        return;
    }
    value = text ? *text == "true" : value;
}

void yaml_map::read(std::string_view key, presence need, std::uint64_t low,
                    std::uint64_t high, std::uint64_t& value) const
{
    const auto expected = "a whole number from " + std::to_string(low) +
                          " to " + std::to_string(high) + " without a unit";
    const auto text = scalar(key, need, expected);
    if (!text)
    {
        return;
    }
    const auto number = whole_number(*text);
    if (!number || *number < low || *number > high || find(key)->Tag() == "!")
    {
        const bool quoted = number && find(key)->Tag() == "!";
        error(key, "must be " + expected + (quoted ? " and quotes" : "") +
                       ", but is " + quote(*text));
        return;
    }
    value = *number;
}

void yaml_map::read(std::string_view key, presence need, std::uint32_t low,
                    std::uint32_t high, std::uint32_t& value) const
{
    std::uint64_t wide = value;
    read(key, need, std::uint64_t(low), std::uint64_t(high), wide);
    value = static_cast<std::uint32_t>(wide);
}

void yaml_map::read(std::string_view key, presence need,
                    std::chrono::milliseconds low,
                    std::chrono::milliseconds high,
                    std::chrono::milliseconds& value) const
{
    const auto expected =
        "a duration from " + duration_text(low) + " to " + duration_text(high) +
        " with the unit ms, s or min, for example " + duration_text(value);
    const auto text = scalar(key, need, expected);
    if (!text)
    {
        return;
    }
    const auto number = with_unit(*text, duration_units);
    if (!number || *number < std::uint64_t(low.count()) ||
        *number > std::uint64_t(high.count()))
    {
        error(key, "must be " + expected + ", but is " + quote(*text));
        return;
    }
    value = std::chrono::milliseconds(*number);
}

void yaml_map::read_size(std::string_view key, presence need, std::uint64_t low,
                         std::uint64_t high, std::uint64_t& value) const
{
    const auto expected =
        "a size from " + size_text(low) + " to " + size_text(high) +
        " with the unit B, KiB, MiB or GiB, for example " + size_text(value);
    const auto text = scalar(key, need, expected);
    if (!text)
    {
        return;
    }
    const auto number = with_unit(*text, size_units);
    if (!number || *number < low || *number > high)
    {
        error(key, "must be " + expected + ", but is " + quote(*text));
        return;
    }
    value = *number;
}

std::vector<yaml_item> yaml_map::list(std::string_view key, presence need,
                                      std::size_t max_length) const
{
    std::vector<yaml_item> items;
    const auto* node = find(key, need);
    if (node == nullptr)
    {
        return items;
    }
    if (!node->IsSequence())
    {
        error(key, "must be a list (each element starts with \"- \", or [] "
                   "for none), but is " +
                       kind_of(*node));
        return items;
    }
    if (node->size() > max_length)
    {
        error(key, "has " + std::to_string(node->size()) +
                       " elements; at most " + std::to_string(max_length) +
                       " are allowed");
        return items;
    }
    for (const auto& element : *node)
    {
        items.push_back(
            {element, path_of(key) + "[" + std::to_string(items.size()) + "]"});
    }
    return items;
}

std::optional<yaml_map>
yaml_map::map(std::string_view key, presence need,
              std::initializer_list<std::string_view> keys) const
{
    const auto* node = find(key, need);
    if (node == nullptr)
    {
        return std::nullopt;
    }
    return yaml_map(*errors_, *node, path_of(key), keys);
}

std::optional<std::string_view>
closest(std::string_view word, std::initializer_list<std::string_view> known)
{
    // Two slips of the keyboard, or one in a short word.
    constexpr std::size_t long_word = 5;
    const std::size_t allowed = word.size() < long_word ? 1 : 2;
    std::optional<std::string_view> best;
    std::size_t best_distance = allowed + 1;
    for (const auto candidate : known)
    {
        const auto longer = std::max(word.size(), candidate.size());
        const auto shorter = std::min(word.size(), candidate.size());
        if (longer - shorter > allowed)
        {
            continue;
        }
        const auto distance = edit_distance(word, candidate);
        if (distance < best_distance)
        {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

bool is_address(std::string_view text, bool allow_port_0)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    const auto port = whole_number(text.substr(colon + 1));
    if (!port || *port > 65535 || (*port == 0 && !allow_port_0))
    {
        return false;
    }
    std::string host(text.substr(0, colon));
    unsigned char buffer[sizeof(in6_addr)];
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), buffer) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buffer) == 1;
}

std::string duration_text(std::chrono::milliseconds value)
{
    std::string text;
    for (const auto& [suffix, factor] : duration_units)
    {
        const auto count = static_cast<std::uint64_t>(value.count());
        if (count % factor == 0)
        {
            text = std::to_string(count / factor) + std::string(suffix);
        }
    }
    return text;
}

} // namespace limpetstack
