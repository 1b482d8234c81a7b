#include "ctl/explain.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <istream>
#include <ostream>
#include <set>

namespace limpetstack
{
namespace
{

// What concerns a whole host or the group, and so every job of that time.
constexpr std::array<std::string_view, 8> host_events{
    "leadership_began", "leadership_ended", "document_in_force",
    "disk_failed",      "disk_recovered",   "started",
    "stopping",         "member_change"};

// Reads `key=value` or `key="quoted value"` and moves behind it.
bool next_pair(std::string_view& rest, std::string& key, std::string& value)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(" \r\n"), rest.size()));
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos)
    {
        return false;
    }
    key = std::string(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    value.clear();
    if (rest.empty() || rest.front() != '"')
    {
        const auto end = std::min(rest.find_first_of(" \r\n"), rest.size());
        value = std::string(rest.substr(0, end));
        rest.remove_prefix(end);
        return true;
    }
    std::size_t at = 1;
    for (; at < rest.size() && rest[at] != '"'; ++at)
    {
        if (rest[at] == '\\' && at + 1 < rest.size())
        {
            ++at;
        }
        value += rest[at];
    }
    rest.remove_prefix(std::min(at + 1, rest.size()));
    return true;
}

bool concerns(const log_record& record, const std::string& id)
{
    return std::any_of(record.fields.begin(), record.fields.end(),
                       [&id](const auto& field)
                       {
                           return field.second == id ||
                                  (field.first == "run" &&
                                   field.second.rfind(id + ".", 0) == 0) ||
                                  (field.first == "target" &&
                                   field.second.find(id) != std::string::npos);
                       });
}

std::string field_of(const log_record& record, std::string_view name)
{
    for (const auto& [key, value] : record.fields)
    {
        if (key == name)
        {
            return value;
        }
    }
    return {};
}

void read_records(std::istream& input, std::vector<log_record>& records)
{
    std::string line;
    while (std::getline(input, line))
    {
        if (auto record = parse_log_line(line))
        {
            records.push_back(std::move(*record));
        }
    }
}

void print_json(std::ostream& out, const std::vector<log_record>& timeline)
{
    auto rows = nlohmann::json::array();
    for (const auto& record : timeline)
    {
        nlohmann::json row{{"time", record.time},
                           {"host", record.host},
                           {"event", record.event}};
        for (const auto& [key, value] : record.fields)
        {
            row[key] = value;
        }
        rows.push_back(std::move(row));
    }
    out << rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << '\n';
}

void print_text(std::ostream& out, const std::vector<log_record>& timeline)
{
    for (const auto& record : timeline)
    {
        out << record.time << "  " << record.host << "  " << record.event;
        for (const auto& [key, value] : record.fields)
        {
            if (key != "level")
            {
                out << "  " << key << '=' << value;
            }
        }
        out << '\n';
    }
}

} // namespace

std::optional<log_record> parse_log_line(std::string_view line)
{
    const auto begin = line.find("time=");
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto rest = line.substr(begin);
    log_record record;
    std::string key;
    std::string value;
    while (next_pair(rest, key, value))
    {
        if (key == "time")
        {
            record.time = value;
        }
        else if (key == "host")
        {
            record.host = value;
        }
        else if (key == "event")
        {
            record.event = value;
        }
        else
        {
            record.fields.emplace_back(key, value);
        }
    }
    return record.event.empty() ? std::nullopt
                                : std::optional<log_record>(std::move(record));
}

std::vector<log_record> timeline_of(const std::vector<log_record>& records,
                                    const std::string& id)
{
    std::set<std::string> workers;
    std::string first;
    std::string last;
    for (const auto& record : records)
    {
        if (!concerns(record, id))
        {
            continue;
        }
        workers.insert(field_of(record, "worker"));
        first = first.empty() ? record.time : std::min(first, record.time);
        last = std::max(last, record.time);
    }
    workers.erase("");
    std::vector<log_record> timeline;
    for (const auto& record : records)
    {
        const bool meanwhile = record.time >= first && record.time <= last;
        const bool of_host = std::find(host_events.begin(), host_events.end(),
                                       record.event) != host_events.end();
        const bool of_worker = field_of(record, "run").empty() &&
                               workers.count(field_of(record, "worker")) > 0;
        if (concerns(record, id) ||
            (!first.empty() && meanwhile && (of_host || of_worker)))
        {
            timeline.push_back(record);
        }
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const log_record& a, const log_record& b)
                     {
                         return a.time < b.time;
                     });
    return timeline;
}

exit_code explain(const std::string& id, const std::vector<std::string>& files,
                  bool json, std::istream& input, std::ostream& out,
                  std::ostream& errors)
{
    std::vector<log_record> records;
    for (const auto& name : files)
    {
        std::ifstream file(name);
        if (!file)
        {
            errors << "error: can not read " << name << '\n';
            return exit_code::usage;
        }
        read_records(file, records);
    }
    if (files.empty())
    {
        read_records(input, records);
    }
    const auto timeline = timeline_of(records, id);
    if (timeline.empty())
    {
        errors << "error: none of " << records.size() << " log lines concerns "
               << id << '\n';
        return exit_code::refused;
    }
    json ? print_json(out, timeline) : print_text(out, timeline);
    return exit_code::done;
}

} // namespace limpetstack
