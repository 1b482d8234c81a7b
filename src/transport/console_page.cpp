#include "transport/console_page.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <map>

namespace limpetstack
{
namespace
{

constexpr const char* style = R"(
body { font: 16px/1.4 sans-serif; margin: 1rem auto; max-width: 70rem;
  padding: 0 1rem; color: #1a1a1a; background: #fff }
fieldset { border: 1px solid #888; border-radius: 4px; margin: .8rem 0 }
legend { font-weight: bold }
.fields { display: flex; flex-wrap: wrap; gap: .6rem 1rem }
label { display: block }
input, select { font: inherit; width: 12rem; padding: .2rem;
  border: 1px solid #666; border-radius: 3px }
button { font: inherit; padding: .3rem .8rem; margin: .4rem .4rem .4rem 0 }
:focus { outline: 3px solid #1a5fb4; outline-offset: 1px }
.error { color: #a00; font-weight: bold; display: block; max-width: 20rem }
[aria-invalid] { border: 2px solid #a00 }
.notice { padding: .6rem; border-left: 6px solid #1a7f37; background: #eef8f0 }
.notice.failed { border-color: #a00; background: #fbeeee }
.primary { font-weight: bold }
)";

using error_map = std::multimap<std::string, std::string>; // By path.

std::string escape(const std::string& text)
{
    return absl::StrReplaceAll(text, {{"&", "&amp;"},
                                      {"<", "&lt;"},
                                      {">", "&gt;"},
                                      {"\"", "&quot;"},
                                      {"'", "&#39;"}});
}

std::string render_errors(const error_map& errors, const std::string& path,
                          const std::string& id)
{
    std::string out;
    const auto [begin, end] = errors.equal_range(path);
    for (auto at = begin; at != end; ++at)
    {
        absl::StrAppend(&out, "<span class=\"error\"",
                        at == begin ? absl::StrCat(" id=\"", id, "-error\"")
                                    : "",
                        ">", escape(at->second), "</span>");
    }
    return out;
}

std::string render_input(const form_field& field, const std::string& name,
                         const std::string& value, const std::string& marks)
{
    if (field.choices.empty())
    {
        return absl::StrCat("<input name=\"", name, "\" id=\"", name,
                            "\" value=\"", escape(value), "\"", marks, ">");
    }
    std::string out = absl::StrCat("<select name=\"", name, "\" id=\"", name,
                                   "\"", marks, ">");
    for (const auto& choice : field.choices)
    {
        absl::StrAppend(&out, "<option", choice == value ? " selected" : "",
                        ">", escape(choice), "</option>");
    }
    return out + "</select>";
}

std::string render_field(const form_field& field, const std::string& name,
                         const form_entry& entry, const error_map& errors)
{
    const auto value = entry.values.find(field.key);
    const std::string marks =
        errors.count(name) > 0
            ? absl::StrCat(" aria-invalid=\"true\" aria-describedby=\"", name,
                           "-error\"")
            : "";
    return absl::StrCat(
        "<div><label for=\"", name, "\">", escape(field.label), "</label>",
        render_input(field, name,
                     value == entry.values.end() ? "" : value->second, marks),
        render_errors(errors, name, name), "</div>");
}

std::string render_button(const std::string& action, const std::string& label,
                          const std::string& extra = "")
{
    return absl::StrCat("<button name=\"action\" value=\"", action, "\"", extra,
                        ">", escape(label), "</button>");
}

std::string render_list(const form_section& section, const form_entry& parent,
                        const std::string& place, const error_map& errors);

std::string render_entry(const form_section& section, const form_entry& entry,
                         const std::string& place, std::size_t number,
                         const error_map& errors)
{
    auto out = absl::StrCat(
        "<fieldset><legend>", escape(section.title), " ", number, "</legend>",
        render_errors(errors, place, place), "<div class=\"fields\">");
    for (const auto& field : section.fields)
    {
        absl::StrAppend(&out,
                        render_field(field, absl::StrCat(place, ".", field.key),
                                     entry, errors));
    }
    absl::StrAppend(&out, "</div>");
    for (const auto& inner : section.sections)
    {
        absl::StrAppend(&out, render_list(inner, entry,
                                          absl::StrCat(place, ".", inner.key),
                                          errors));
    }
    absl::StrAppend(
        &out,
        render_button("remove:" + place,
                      absl::StrCat("Remove ", section.title, " ", number)),
        "</fieldset>");
    return out;
}

std::string render_list(const form_section& section, const form_entry& parent,
                        const std::string& place, const error_map& errors)
{
    auto out = render_errors(errors, place, place);
    const auto list = parent.lists.find(section.key);
    if (list != parent.lists.end())
    {
        for (std::size_t i = 0; i < list->second.size(); ++i)
        {
            absl::StrAppend(&out, render_entry(section, list->second[i],
                                               absl::StrCat(place, "[", i, "]"),
                                               i + 1, errors));
        }
    }
    absl::StrAppend(&out,
                    render_button("add:" + place, "Add " + section.title));
    return out;
}

std::string hidden(const char* name, const std::string& value)
{
    return absl::StrCat("<input type=\"hidden\" name=\"", name, "\" value=\"",
                        escape(value), "\">");
}

std::string render_notice(const console_page& page)
{
    if (page.notice.empty())
    {
        return "";
    }
    return absl::StrCat("<p role=\"status\" class=\"notice",
                        page.failed ? " failed" : "", "\">",
                        escape(page.notice), "</p>");
}

// Errors that belong to no field of the form.
std::string render_other_errors(const console_page& page)
{
    std::string out;
    for (const auto& error : page.errors)
    {
        if (error.path.empty() || error.path == "client_accounts")
        {
            absl::StrAppend(&out, "<p class=\"error\">", escape(error.message),
                            "</p>");
        }
    }
    return out;
}

} // namespace

std::string render(const console_page& page)
{
    error_map errors;
    for (const auto& error : page.errors)
    {
        if (error.path != "client_accounts")
        {
            errors.emplace(error.path, error.message);
        }
    }
    auto out = absl::StrCat(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<meta name=\"viewport\" content=\"width=device-width\">"
        "<title>limpetstack configuration</title><style>",
        style, "</style></head><body><h1>Configuration</h1><p>Version ",
        page.base_version, "</p>", render_notice(page),
        render_other_errors(page),
        "<form method=\"post\" action=\"/console\">"
        // The first button is the one that the enter key presses.
        "<button name=\"action\" value=\"check\" hidden></button>",
        hidden("base_version", std::to_string(page.base_version)),
        hidden("request_id", page.request_id),
        "<div><label for=\"operator\">Your name</label><input id=\"operator\" "
        "name=\"operator\" value=\"",
        escape(page.operator_name), "\"></div>");
    for (const auto& section : document_sections())
    {
        absl::StrAppend(
            &out, render_list(section, page.form, section.key, errors), "<hr>");
    }
    absl::StrAppend(&out, render_button("check", "Check"),
                    render_button("apply", "Apply", " class=\"primary\""),
                    "</form><p><a href=\"/console\">Load the version in force"
                    "</a></p></body></html>");
    return out;
}

} // namespace limpetstack
