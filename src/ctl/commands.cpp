#include "ctl/commands.hpp"
#include "base/hash.hpp"
#include "ctl/audit_json.hpp"
#include "ctl/evacuation_command.hpp"
#include "ctl/operator_client.hpp"
#include "ctl/table.hpp"
#include "limpetstack/document.hpp"
#include "protocol/yaml_errors.hpp"
#include "state/audit_trail.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <ostream>
#include <utility>

namespace limpetstack
{
namespace
{

using nlohmann::json;

constexpr int ok_status = 200;
constexpr int conflict_status = 409;
constexpr int invalid_status = 422;
constexpr std::size_t audit_page = 1000;
constexpr int random_request_id_bytes = 16;

const std::vector<table_column> audit_columns = {
    {"sequence", "SEQUENCE", cell_format::plain},
    {"time_ms", "TIME", cell_format::time},
    {"operator", "OPERATOR", cell_format::plain},
    {"host", "HOST", cell_format::plain},
    {"action", "ACTION", cell_format::plain},
    {"base_version", "BASE", cell_format::plain},
    {"version", "VERSION", cell_format::plain},
    {"code", "CODE", cell_format::plain},
    {"hash", "HASH", cell_format::hash},
    {"message", "MESSAGE", cell_format::plain}};

// Columns of each list.
const std::vector<table_column>& columns_of(const std::string& name)
{
    const auto plain = cell_format::plain;
    static const std::map<std::string, std::vector<table_column>> columns = {
        {"accounts",
         {{"name", "NAME", plain},
          {"weight", "WEIGHT", plain},
          {"services", "SERVICES", plain},
          {"guarantees", "GUARANTEES", plain}}},
        {"upstreams",
         {{"id", "ID", plain},
          {"service", "SERVICE", plain},
          {"data_centre", "DATA CENTRE", plain},
          {"address", "ADDRESS", plain},
          {"slots", "SLOTS", plain},
          {"state", "STATE", plain},
          {"incarnation", "INCARNATION", plain}}},
        {"workers",
         {{"id", "ID", plain},
          {"data_centre", "DATA CENTRE", plain},
          {"rack", "RACK", plain},
          {"accelerators", "ACCELERATORS", plain},
          {"cores", "CORES", plain},
          {"memory_mib", "MEMORY MIB", plain},
          {"tasks", "TASKS", cell_format::count}}},
        {"jobs",
         {{"id", "ID", plain},
          {"account", "ACCOUNT", plain},
          {"service", "SERVICE", plain},
          {"data_centre", "DATA CENTRE", plain},
          {"state", "STATE", plain},
          {"members", "MEMBERS", plain},
          {"attempt", "ATTEMPT", plain},
          {"workers", "WORKERS", plain},
          {"reason", "REASON", plain}}},
        {"hosts",
         {{"host", "HOST", plain},
          {"data_centre", "DATA CENTRE", plain},
          {"up", "UP", plain},
          {"disk", "DISK", plain},
          {"config_version", "CONFIG VERSION", plain},
          {"draining", "DRAINING", plain}}},
        {"evacuations",
         {{"data_centre", "DATA CENTRE", plain},
          {"operator", "OPERATOR", plain},
          {"time_ms", "SINCE", cell_format::time}}},
        {"members",
         {{"host", "HOST", plain},
          {"id", "ID", plain},
          {"data_centre", "DATA CENTRE", plain},
          {"voter", "VOTER", plain},
          {"leader", "LEADER", plain}}}};
    return columns.at(name);
}

std::string file_text(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the value under a key as text, empty when it is missing.
std::string text_at(const json& value, const char* key)
{
    const auto found = value.is_object() ? value.find(key) : value.end();
    return !value.is_object() || found == value.end()
               ? ""
               : cell_text(*found, cell_format::plain);
}

struct json_answer
{
    json body;
    std::string text; // As the server sent it.
};

// Returns the list under a key; throws when there is none.
const json& list_at(const json& body, const std::string& key)
{
    const auto& list = body.at(key);
    static_cast<void>(list.get_ref<const json::array_t&>());
    return list;
}

// Returns the answer, or nothing after an error was written.
std::optional<json_answer> read_json(operator_client& client,
                                     const std::string& path,
                                     const command_output& output)
{
    const auto answer = client.read(path);
    if (answer.result != call_result::answered)
    {
        output.errors << "error: no server answered\n" << answer.failures;
        return std::nullopt;
    }
    auto body = json::parse(answer.body, nullptr, false);
    if (answer.status != ok_status || !body.is_object())
    {
        output.errors << "error: " << answer.server << " answered "
                      << answer.status << " " << text_at(body, "message")
                      << '\n';
        return std::nullopt;
    }
    return json_answer{std::move(body), answer.body};
}

exit_code show_list(const command_line& line, const std::string& name,
                    operator_client& client, const command_output& output)
{
    const auto answer = read_json(client, "/v1/" + name, output);
    if (!answer)
    {
        return exit_code::refused;
    }
    if (line.json)
    {
        output.out << answer->text << '\n';
        return exit_code::done;
    }
    write_table(output.out, columns_of(name), list_at(answer->body, name),
                output.colour);
    return exit_code::done;
}

exit_code show_config(const command_line& line, operator_client& client,
                      const command_output& output)
{
    const auto answer = read_json(client, "/v1/config", output);
    if (!answer)
    {
        return exit_code::refused;
    }
    if (line.json)
    {
        output.out << answer->text << '\n';
        return exit_code::done;
    }
    // A comment line, so that the output is a document again.
    output.out << "# version " << text_at(answer->body, "version") << " by "
               << text_at(answer->body, "operator") << '\n'
               << answer->body.value("document", "");
    return exit_code::done;
}

void write_errors(const command_output& output, const std::string& file,
                  const std::vector<document_error>& errors)
{
    for (const auto& error : errors)
    {
        output.errors << file << ": " << error_text(error) << '\n';
    }
}

json errors_json(const std::vector<document_error>& errors)
{
    auto list = json::array();
    for (const auto& error : errors)
    {
        list.push_back({{"line", error.line},
                        {"column", error.column},
                        {"path", error.path},
                        {"message", error.message}});
    }
    return list;
}

exit_code validate(const command_line& line, const command_output& output)
{
    const auto parsed = parse_document(file_text(line.file));
    if (line.json)
    {
        output.out << json({{"valid", parsed.value.has_value()},
                            {"errors", errors_json(parsed.errors)}})
                          .dump()
                   << '\n';
    }
    else if (parsed.value)
    {
        output.out << line.file << ": valid\n";
    }
    else
    {
        write_errors(output, line.file, parsed.errors);
    }
    return parsed.value ? exit_code::done : exit_code::refused;
}

std::vector<document_error> errors_of(const json& body)
{
    std::vector<document_error> errors;
    for (const auto& entry : body.value("errors", json::array()))
    {
        errors.push_back({entry.value("line", 0), entry.value("column", 0),
                          entry.value("path", ""), entry.value("message", "")});
    }
    return errors;
}

exit_code report_write(const command_line& line, const operator_answer& answer,
                       const command_output& output)
{
    const auto body = json::parse(answer.body, nullptr, false);
    if (line.json)
    {
        output.out << answer.body << '\n';
    }
    if (answer.status == ok_status)
    {
        if (!line.json)
        {
            output.out << "version " << text_at(body, "version")
                       << " accepted\n";
        }
        return exit_code::done;
    }
    if (answer.status == invalid_status && body.is_object())
    {
        write_errors(output, line.file, errors_of(body));
    }
    else if (answer.status == conflict_status)
    {
        output.errors << "refused: " << text_at(body, "message") << '\n';
    }
    else
    {
        output.errors << "refused: " << answer.server << " answered "
                      << answer.status << " " << text_at(body, "message")
                      << '\n';
    }
    return exit_code::refused;
}

exit_code apply_config(const command_line& line, operator_client& client,
                       const command_output& output)
{
    auto base = line.base_version;
    if (!base)
    {
        const auto current = read_json(client, "/v1/config", output);
        if (!current)
        {
            return exit_code::refused;
        }
        base = current->body.at("version").get<std::uint64_t>();
    }
    const auto id = line.request_id.empty()
                        ? random_hex(random_request_id_bytes)
                        : line.request_id;
    const json request = {{"base_version", *base},
                          {"document", file_text(line.file)},
                          {"operator", line.operator_name},
                          {"request_id", id}};
    // Bytes that are not UTF-8 are replaced, which the server then refuses or
    // accepts as such; `config validate` names their place.
    const auto answer = client.write(
        "/v1/config",
        request.dump(-1, ' ', false, json::error_handler_t::replace));
    if (answer.result == call_result::answered)
    {
        return report_write(line, answer, output);
    }
    output.errors << answer.failures;
    if (answer.result == call_result::unavailable)
    {
        output.errors << "error: no server could accept the document; nothing "
                         "was changed\n";
        return exit_code::refused;
    }
    output.errors << "error: it is not known whether the document was "
                     "accepted; run the command again with --base-version "
                  << *base << " --request-id " << id << '\n';
    return exit_code::unknown;
}

// Returns all records, oldest first.
std::optional<json> read_audit(operator_client& client,
                               const command_output& output)
{
    auto records = json::array();
    std::uint64_t last = 0;
    while (true)
    {
        const auto answer =
            read_json(client,
                      "/v1/audit?after=" + std::to_string(last) +
                          "&limit=" + std::to_string(audit_page),
                      output);
        if (!answer)
        {
            return std::nullopt;
        }
        const auto before = last;
        for (const auto& record : list_at(answer->body, "records"))
        {
            const auto sequence = record.value("sequence", std::uint64_t(0));
            if (sequence > last)
            {
                last = sequence;
                records.push_back(record);
            }
        }
        if (last == before)
        {
            return records;
        }
    }
}

exit_code verify(const command_line& line, const json& records,
                 const command_output& output)
{
    std::vector<wire::audit_record> parsed;
    absl::Status status;
    for (const auto& value : records)
    {
        auto record = audit_from_json(value);
        if (!record.ok())
        {
            status = record.status();
            break;
        }
        parsed.push_back(*std::move(record));
    }
    status = status.ok() ? verify_audit(parsed) : status;
    const auto message = std::string(status.message());
    if (line.json)
    {
        output.out << json({{"verified", status.ok()},
                            {"records", records.size()},
                            {"message", message}})
                          .dump()
                   << '\n';
    }
    else if (!status.ok())
    {
        output.errors << "error: " << message << '\n';
    }
    else if (parsed.empty())
    {
        output.out << "no records\n";
    }
    else
    {
        output.out << "records " << parsed.front().sequence() << " to "
                   << parsed.back().sequence() << " form one chain; hash of "
                   << "the last: " << parsed.back().hash() << '\n';
    }
    return status.ok() ? exit_code::done : exit_code::refused;
}

exit_code show_audit(const command_line& line, operator_client& client,
                     const command_output& output)
{
    auto records = read_audit(client, output);
    if (!records)
    {
        return exit_code::refused;
    }
    if (line.verify)
    {
        return verify(line, *records, output);
    }
    if (line.limit > 0 && records->size() > line.limit)
    {
        records->erase(records->begin(),
                       records->end() -
                           static_cast<std::ptrdiff_t>(line.limit));
    }
    if (line.json)
    {
        output.out << json({{"records", *records}}).dump() << '\n';
        return exit_code::done;
    }
    write_table(output.out, audit_columns, *records, output.colour);
    return exit_code::done;
}

exit_code dispatch(const command_line& line, operator_client& client,
                   const command_output& output)
{
    if (line.command == "config validate")
    {
        return validate(line, output);
    }
    if (line.command == "config apply")
    {
        return apply_config(line, client, output);
    }
    if (line.command == "config show")
    {
        return show_config(line, client, output);
    }
    if (line.command == "audit")
    {
        return show_audit(line, client, output);
    }
    if (line.command == "evacuation list")
    {
        return show_list(line, "evacuations", client, output);
    }
    if (line.command == "evacuation start" || line.command == "evacuation end")
    {
        return change_evacuation(line, client, output);
    }
    return show_list(line, line.command, client, output);
}

} // namespace

exit_code run_command(const command_line& line, operator_client& client,
                      const command_output& output)
{
    try
    {
        return dispatch(line, client, output);
    }
    catch (const json::exception& error)
    {
        output.errors << "error: the server's answer has another form than "
                         "expected: "
                      << error.what() << '\n';
        return exit_code::refused;
    }
}

} // namespace limpetstack
