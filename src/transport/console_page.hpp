#pragma once

#include "limpetstack/document.hpp"
#include "protocol/document_form.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace limpetstack
{

/// What one page of the operators' console shows.
struct console_page
{
    form_entry form;
    std::uint64_t base_version = 0; // Version that the form started from.
    std::string request_id;         // A page that is sent twice counts once.
    std::string operator_name;
    std::string notice;  // Result of the last action, empty for none.
    bool failed = false; // The notice reports a failure.
    std::vector<document_error> errors;
};

/// Returns the page as HTML. It needs no scripts and nothing from elsewhere.
std::string render(const console_page& page);

} // namespace limpetstack
