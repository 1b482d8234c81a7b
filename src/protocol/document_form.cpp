#include "protocol/document_form.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <optional>

namespace limpetstack
{
namespace
{

// Entries of one list that a form may have; more are ignored.
constexpr std::size_t max_entries = 1000;

/// One step of a place: a list's key and the index of an entry in it.
struct place_step
{
    std::string key;
    std::optional<std::size_t> index;
};

std::vector<form_section> make_sections()
{
    const form_section fleet{
        "fleet",
        "Rack group",
        {{"data_centre", "Data centre", "", {}},
         {"racks", "Racks", "1", {}},
         {"workers_per_rack", "Workers in a rack", "6", {}},
         {"cores", "Cores of a worker", "32", {}},
         {"memory_gib", "Memory of a worker, GiB", "128", {}},
         {"accelerators", "Accelerators of a worker", "8", {}}},
        {}};
    const form_section guarantees{
        "guarantees",
        "Guaranteed shape",
        {{"data_centre", "Data centre", "", {}},
         {"count", "Gangs of this shape", "1", {}},
         {"members", "Members of a gang", "1", {}},
         {"accelerators", "Accelerators of a member", "8", {}},
         {"cores", "Cores of a member", "8", {}},
         {"memory_gib", "Memory of a member, GiB", "32", {}},
         {"adjacency", "Adjacency", "rack", {"rack", "any"}}},
        {}};
    const form_section services{
        "services",
        "Service",
        {{"name", "Name", "", {}},
         {"idempotent", "May run more than once", "false", {"false", "true"}},
         {"timeout", "Time-out (ms, s or min)", "5s", {}},
         {"max_attempts", "Attempts at most", "1", {}}},
        {}};
    const form_section accounts{
        "client_accounts",
        "Client account",
        {{"name", "Name", "", {}},
         {"weight", "Weight beside other accounts", "1", {}}},
        {guarantees, services}};
    return {fleet, accounts};
}

const form_section* find_section(const std::vector<form_section>& sections,
                                 const std::string& key)
{
    const auto found = std::find_if(sections.begin(), sections.end(),
                                    [&](const form_section& section)
                                    {
                                        return section.key == key;
                                    });
    return found == sections.end() ? nullptr : &*found;
}

std::vector<place_step> parse_place(std::string_view place)
{
    std::vector<place_step> steps;
    for (const auto part :
         absl::StrSplit(absl::string_view(place.data(), place.size()), '.'))
    {
        const auto bracket = part.find('[');
        place_step step{std::string(part.substr(0, bracket)), std::nullopt};
        std::size_t index = 0;
        if (bracket != absl::string_view::npos && part.back() == ']' &&
            absl::SimpleAtoi(
                part.substr(bracket + 1, part.size() - bracket - 2), &index))
        {
            step.index = index;
        }
        steps.push_back(step);
    }
    return steps;
}

form_entry new_entry(const form_section& section)
{
    form_entry entry;
    for (const auto& field : section.fields)
    {
        entry.values[field.key] = field.initial;
    }
    return entry;
}

/// An entry of the form and the sections that it can hold.
struct located_entry
{
    form_entry* entry = nullptr; // Null when there is none.
    const std::vector<form_section>* sections = nullptr;
    const form_section* section = nullptr; // Null for the form itself.
};

// Follows all but the last step. Missing entries are created when `create`.
located_entry locate_parent(form_entry& form,
                            const std::vector<place_step>& steps, bool create)
{
    located_entry at{&form, &document_sections(), nullptr};
    for (std::size_t i = 0; i + 1 < steps.size(); ++i)
    {
        const auto* section = find_section(*at.sections, steps[i].key);
        if (section == nullptr || !steps[i].index ||
            *steps[i].index >= max_entries)
        {
            return {};
        }
        auto& list = at.entry->lists[section->key];
        if (*steps[i].index >= list.size())
        {
            if (!create)
            {
                return {};
            }
            list.resize(*steps[i].index + 1);
        }
        at = {&list[*steps[i].index], &section->sections, section};
    }
    return at;
}

form_entry read_entry(const YAML::Node& node, const form_section* own,
                      const std::vector<form_section>& sections)
{
    form_entry entry;
    if (own != nullptr)
    {
        for (const auto& field : own->fields)
        {
            if (node[field.key] && node[field.key].IsScalar())
            {
                entry.values[field.key] = node[field.key].Scalar();
            }
        }
    }
    for (const auto& section : sections)
    {
        if (!node[section.key] || !node[section.key].IsSequence())
        {
            continue;
        }
        for (const auto& item : node[section.key])
        {
            entry.lists[section.key].push_back(
                read_entry(item, &section, section.sections));
        }
    }
    return entry;
}

void write_entry(YAML::Emitter& out, const form_entry& entry,
                 const form_section* own,
                 const std::vector<form_section>& sections)
{
    out << YAML::BeginMap;
    if (own != nullptr)
    {
        for (const auto& field : own->fields)
        {
            const auto value = entry.values.find(field.key);
            if (value != entry.values.end() && !value->second.empty())
            {
                out << YAML::Key << field.key << YAML::Value << value->second;
            }
        }
    }
    for (const auto& section : sections)
    {
        const auto list = entry.lists.find(section.key);
        const bool empty = list == entry.lists.end() || list->second.empty();
        // The document's own lists are required, those of its entries are not.
        if (empty && own != nullptr)
        {
            continue;
        }
        out << YAML::Key << section.key << YAML::Value << YAML::BeginSeq;
        for (std::size_t i = 0; !empty && i < list->second.size(); ++i)
        {
            write_entry(out, list->second[i], &section, section.sections);
        }
        out << YAML::EndSeq;
    }
    out << YAML::EndMap;
}

} // namespace

const std::vector<form_section>& document_sections()
{
    static const auto sections = make_sections();
    return sections;
}

absl::StatusOr<form_entry> form_of_document(const std::string& yaml)
{
    try
    {
        const auto node = YAML::Load(yaml);
        if (!node.IsMap() && !node.IsNull())
        {
            return absl::InvalidArgumentError("the document is not a mapping");
        }
        return read_entry(node, nullptr, document_sections());
    }
    catch (const YAML::Exception& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

form_entry form_of_fields(const std::multimap<std::string, std::string>& fields)
{
    form_entry form;
    for (const auto& [name, value] : fields)
    {
        const auto steps = parse_place(name);
        const auto parent = locate_parent(form, steps, true);
        if (parent.section == nullptr)
        {
            continue;
        }
        const auto& known = parent.section->fields;
        const bool is_field =
            std::any_of(known.begin(), known.end(),
                        [&](const form_field& field)
                        {
                            return field.key == steps.back().key;
                        });
        if (is_field)
        {
            parent.entry->values[steps.back().key] = value;
        }
    }
    return form;
}

std::string document_of_form(const form_entry& form)
{
    YAML::Emitter out;
    write_entry(out, form, nullptr, document_sections());
    return absl::StrCat(out.c_str(), "\n");
}

bool add_entry(form_entry& form, std::string_view place)
{
    const auto steps = parse_place(place);
    const auto parent = locate_parent(form, steps, false);
    if (parent.entry == nullptr)
    {
        return false;
    }
    const auto* section = find_section(*parent.sections, steps.back().key);
    if (section == nullptr)
    {
        return false;
    }
    auto& list = parent.entry->lists[section->key];
    if (list.size() >= max_entries)
    {
        return false;
    }
    list.push_back(new_entry(*section));
    return true;
}

bool remove_entry(form_entry& form, std::string_view place)
{
    const auto steps = parse_place(place);
    const auto parent = locate_parent(form, steps, false);
    if (parent.entry == nullptr || !steps.back().index)
    {
        return false;
    }
    const auto list = parent.entry->lists.find(steps.back().key);
    if (list == parent.entry->lists.end() ||
        *steps.back().index >= list->second.size())
    {
        return false;
    }
    list->second.erase(list->second.begin() +
                       static_cast<std::ptrdiff_t>(*steps.back().index));
    return true;
}

} // namespace limpetstack
