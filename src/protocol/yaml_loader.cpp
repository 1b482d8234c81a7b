#include "protocol/yaml_loader.hpp"
#include "protocol/yaml_errors.hpp"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>
#include <utility>

namespace limpetstack
{
namespace
{

// Stops the parser at the first construct that is not supported.
struct refused_construct
{
    YAML::Mark mark;
    std::string message;
};

// Looks at the events of a text before it is loaded, so that no alias is ever
// expanded and no deep structure is built.
class construct_check : public YAML::EventHandler
{
public:
    void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        check(mark, "", anchor);
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        throw refused_construct{
            mark, "aliases are not supported; write the value out"};
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor, const std::string& /*value*/) override
    {
        check(mark, tag, anchor);
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                         YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        check(mark, tag, anchor);
        enter(mark);
    }

    void OnSequenceEnd() override { --depth_; }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag,
                    YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        check(mark, tag, anchor);
        enter(mark);
    }

    void OnMapEnd() override { --depth_; }

private:
    static void check(const YAML::Mark& mark, const std::string& tag,
                      YAML::anchor_t anchor)
    {
        if (anchor != 0)
        {
            throw refused_construct{
                mark, "anchors are not supported; remove the &name"};
        }
        // "?" marks a plain and "!" a quoted value without a tag of its own.
        if (!tag.empty() && tag != "?" && tag != "!")
        {
            throw refused_construct{mark,
                                    "tags are not supported; remove the !tag"};
        }
    }

    void enter(const YAML::Mark& mark)
    {
        if (++depth_ > max_yaml_depth)
        {
            throw refused_construct{
                mark, "nested more than " + std::to_string(max_yaml_depth) +
                          " levels deep; a valid file needs at most 5"};
        }
    }

    int depth_ = 0;
};

// Returns the length of the UTF-8 character at `at`, 0 if it is not valid.
std::size_t utf8_length(std::string_view text, std::size_t at)
{
    const auto byte = [&](std::size_t i)
    {
        return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
    };
    const auto first = byte(at);
    const auto more = [&](std::size_t count)
    {
        for (std::size_t i = 1; i <= count; ++i)
        {
            if ((byte(at + i) & 0xC0U) != 0x80U)
            {
                return false;
            }
        }
        return true;
    };
    if (first < 0x80U)
    {
        const bool control =
            first < 0x20U && first != '\n' && first != '\r' && first != '\t';
        return control || first == 0x7FU ? 0 : 1;
    }
    if (first >= 0xC2U && first <= 0xDFU)
    {
        return more(1) ? 2 : 0;
    }
    if (first >= 0xE0U && first <= 0xEFU)
    {
        const bool overlong = first == 0xE0U && byte(at + 1) < 0xA0U;
        const bool surrogate = first == 0xEDU && byte(at + 1) > 0x9FU;
        return more(2) && !overlong && !surrogate ? 3 : 0;
    }
    if (first >= 0xF0U && first <= 0xF4U)
    {
        const bool overlong = first == 0xF0U && byte(at + 1) < 0x90U;
        const bool too_large = first == 0xF4U && byte(at + 1) > 0x8FU;
        return more(3) && !overlong && !too_large ? 4 : 0;
    }
    return 0;
}

bool check_characters(std::string_view text, yaml_errors& errors)
{
    int line = 1;
    int column = 1;
    for (std::size_t at = 0; at < text.size();)
    {
        const auto length = utf8_length(text, at);
        if (length == 0)
        {
            errors.add(line, column, "",
                       "this byte is not UTF-8 text; save the file as UTF-8 "
                       "without control characters");
            return false;
        }
        const bool newline = text[at] == '\n';
        line += newline ? 1 : 0;
        column = newline ? 1 : column + 1;
        at += length;
    }
    return true;
}

} // namespace

std::optional<YAML::Node> load_yaml(std::string_view text,
                                    std::size_t max_bytes, yaml_errors& errors)
{
    if (text.size() > max_bytes)
    {
        errors.add(0, 0, "",
                   "the text has " + std::to_string(text.size()) +
                       " bytes; at most " + std::to_string(max_bytes) +
                       " are allowed");
        return std::nullopt;
    }
    if (!check_characters(text, errors))
    {
        return std::nullopt;
    }
    try
    {
        std::istringstream input{std::string(text)};
        YAML::Parser parser(input);
        construct_check check;
        if (!parser.HandleNextDocument(check))
        {
            errors.add(1, 1, "", "the text is empty");
            return std::nullopt;
        }
        if (parser.HandleNextDocument(check))
        {
            errors.add(0, 0, "",
                       "the text holds more than one document; remove "
                       "everything from the second --- line");
            return std::nullopt;
        }
        return YAML::Load(std::string(text));
    }
    catch (const refused_construct& refused)
    {
        errors.add(refused.mark.line + 1, refused.mark.column + 1, "",
                   refused.message);
    }
    catch (const YAML::Exception& failure)
    {
        errors.add(failure.mark.line + 1, failure.mark.column + 1, "",
                   "not valid YAML: " + failure.msg);
    }
    return std::nullopt;
}

} // namespace limpetstack
