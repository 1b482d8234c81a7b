#include "ctl/evacuation_command.hpp"
#include "base/hash.hpp"
#include "ctl/operator_client.hpp"
#include "ctl/table.hpp"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>

namespace limpetstack
{
namespace
{

using nlohmann::json;

constexpr int ok_status = 200;
constexpr int conflict_status = 409;
constexpr int random_request_id_bytes = 16;

// Percent-encodes what has a meaning in a query.
std::string encode_query(const std::string& text)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : text)
    {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || c == '.' || c == '-' ||
                           c == '_';
        const auto byte = static_cast<unsigned char>(c);
        if (plain)
        {
            result += c;
        }
        else
        {
            result += '%';
            result += digits[byte >> 4U];
            result += digits[byte & 15U];
        }
    }
    return result;
}

exit_code report(const command_line& line, const operator_answer& answer,
                 const command_output& output)
{
    const auto body = json::parse(answer.body, nullptr, false);
    if (line.json)
    {
        output.out << answer.body << '\n';
    }
    if (answer.status == ok_status)
    {
        const bool start = line.command == "evacuation start";
        const bool changed = body.at("changed").get<bool>();
        if (!line.json)
        {
            output.out << "data centre " << line.data_centre
                       << (start ? " is evacuated" : " is not evacuated")
                       << (changed ? "\n" : ", as before\n");
        }
        return exit_code::done;
    }
    const auto message =
        body.is_object()
            ? cell_text(body.value("message", json()), cell_format::plain)
            : "";
    output.errors << "refused: ";
    if (answer.status != conflict_status)
    {
        output.errors << answer.server << " answered " << answer.status << " ";
    }
    output.errors << message << '\n';
    return exit_code::refused;
}

} // namespace

exit_code change_evacuation(const command_line& line, operator_client& client,
                            const command_output& output)
{
    const auto id = line.request_id.empty()
                        ? random_hex(random_request_id_bytes)
                        : line.request_id;
    const auto path = "/v1/evacuations/" + line.data_centre +
                      "?operator=" + encode_query(line.operator_name) +
                      "&request_id=" + encode_query(id);
    const auto answer = line.command == "evacuation start"
                            ? client.put(path)
                            : client.remove(path);
    if (answer.result == call_result::answered)
    {
        return report(line, answer, output);
    }
    output.errors << answer.failures;
    if (answer.result == call_result::unavailable)
    {
        output.errors << "error: no server could accept the command; nothing "
                         "was changed\n";
        return exit_code::refused;
    }
    output.errors << "error: it is not known whether the command was accepted; "
                     "run it again with --request-id "
                  << id << '\n';
    return exit_code::unknown;
}

} // namespace limpetstack
