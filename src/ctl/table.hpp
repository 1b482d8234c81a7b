#pragma once

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace limpetstack
{

/// How a value of a JSON list is shown.
enum class cell_format
{
    plain, // Lists as their elements, flags as yes or no.
    count, // A list as its length.
    time,  // Milliseconds since 1970 as UTC time.
    hash   // The first 12 digits.
};

/// One column: the key in each object and the heading.
struct table_column
{
    std::string key;
    std::string heading;
    cell_format format = cell_format::plain;
};

/// Returns the text of a value without control characters, so that a name
/// from the network can not change the terminal.
std::string cell_text(const nlohmann::json& value, cell_format format);

/// Writes a list of objects as a table, with bold headings if `colour` is set.
/// Numbers are aligned to the right.
void write_table(std::ostream& out, const std::vector<table_column>& columns,
                 const nlohmann::json& rows, bool colour);

} // namespace limpetstack
