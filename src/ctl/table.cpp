#include "ctl/table.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <ostream>

namespace limpetstack
{
namespace
{

using nlohmann::json;

constexpr const char* bold = "\x1b[1m";
constexpr const char* normal = "\x1b[0m";
constexpr std::size_t shown_hash_digits = 12;

struct cell
{
    std::string text;
    bool number = false;
};

std::string printable(std::string text)
{
    constexpr unsigned char del = 0x7F;
    for (auto& c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        c = byte < ' ' || byte == del ? '?' : c;
    }
    return text;
}

std::string utc_time(std::int64_t milliseconds)
{
    const auto seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buffer[sizeof("2000-01-01T00:00:00Z") + 16];
    std::strftime(buffer, sizeof(buffer), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buffer;
}

// Characters on the terminal: every byte that does not continue a UTF-8
// sequence.
std::size_t width(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(
        text.begin(), text.end(),
        [](char c)
        {
            return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
        }));
}

std::string joined(const json& list)
{
    std::string text;
    for (const auto& element : list)
    {
        text +=
            (text.empty() ? "" : ", ") + cell_text(element, cell_format::plain);
    }
    return text.empty() ? "-" : text;
}

void write_row(std::ostream& out, const std::vector<cell>& row,
               const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
    {
        const std::string padding(widths[i] - width(row[i].text), ' ');
        const auto& text = row[i].text;
        line += (i == 0 ? "" : "  ") +
                (row[i].number ? padding + text : text + padding);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
}

} // namespace

std::string cell_text(const json& value, cell_format format)
{
    if (format == cell_format::count && value.is_array())
    {
        return std::to_string(value.size());
    }
    if (format == cell_format::time && value.is_number_integer())
    {
        return utc_time(value.get<std::int64_t>());
    }
    if (value.is_array())
    {
        return joined(value);
    }
    if (value.is_boolean())
    {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_string())
    {
        auto text = printable(value.get<std::string>());
        if (format == cell_format::hash)
        {
            text.resize(std::min(text.size(), shown_hash_digits));
        }
        return text.empty() ? "-" : text;
    }
    return value.is_null() ? "-" : value.dump();
}

void write_table(std::ostream& out, const std::vector<table_column>& columns,
                 const json& rows, bool colour)
{
    std::vector<std::vector<cell>> cells;
    std::vector<std::size_t> widths;
    std::vector<cell> headings;
    for (const auto& column : columns)
    {
        headings.push_back({column.heading, false});
        widths.push_back(width(column.heading));
    }
    for (const auto& row : rows)
    {
        auto& line = cells.emplace_back();
        for (std::size_t i = 0; i < columns.size(); ++i)
        {
            const auto found = row.find(columns[i].key);
            const auto value = found == row.end() ? json() : *found;
            const bool number =
                value.is_number() && columns[i].format != cell_format::time;
            line.push_back({cell_text(value, columns[i].format),
                            number || columns[i].format == cell_format::count});
            widths[i] = std::max(widths[i], width(line.back().text));
        }
    }
    out << (colour ? bold : "");
    write_row(out, headings, widths);
    out << (colour ? normal : "");
    for (const auto& line : cells)
    {
        write_row(out, line, widths);
    }
}

} // namespace limpetstack
