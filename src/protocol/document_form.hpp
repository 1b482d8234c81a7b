#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpetstack
{

/// One field of a form, as the operator sees it.
struct form_field
{
    std::string key; // As in the document.
    std::string label;
    std::string initial;              // Value of the field in a new entry.
    std::vector<std::string> choices; // Empty for free text.
};

/// A list of equal entries in the document, and the lists inside each entry.
struct form_section
{
    std::string key;
    std::string title; // Of one entry.
    std::vector<form_field> fields;
    std::vector<form_section> sections;
};

/// One entry of a section with the text of each field. The text need not be
/// valid: the document that is made from it is checked as any other.
struct form_entry
{
    std::map<std::string, std::string> values;
    std::map<std::string, std::vector<form_entry>> lists;
};

/// Returns the sections of the configuration document.
const std::vector<form_section>& document_sections();

/// Reads a document that is in force into form entries; `kInvalidArgument`
/// when it is not YAML of that shape.
absl::StatusOr<form_entry> form_of_document(const std::string& yaml);

/// Reads submitted fields, named by their place in the document, for example
/// `client_accounts[0].services[1].timeout`. Unknown names are ignored.
form_entry
form_of_fields(const std::multimap<std::string, std::string>& fields);

/// Returns the YAML text of the entries. Empty fields are left out.
std::string document_of_form(const form_entry& form);

/// Adds an entry to the list at `place`, for example
/// `client_accounts[0].services`. Returns false when there is no such list.
bool add_entry(form_entry& form, std::string_view place);

/// Removes the entry at `place`, for example `client_accounts[0]`. Returns
/// false when there is no such entry.
bool remove_entry(form_entry& form, std::string_view place);

} // namespace limpetstack
