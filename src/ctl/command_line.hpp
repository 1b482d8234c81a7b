#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack
{

/// Exit codes of limpetctl.
enum class exit_code
{
    done = 0,
    refused = 1,
    usage = 2,
    unknown = 3 // A write may or may not have been carried out.
};

/// What the user asked for.
struct command_line
{
    std::string command; // For example `config apply` or `jobs`.
    std::vector<std::string> servers;
    std::string operator_name;
    std::string file;
    std::string data_centre;        // To evacuate.
    std::string id;                 // Job, worker or target to explain.
    std::vector<std::string> files; // Logs to read.
    std::string request_id;         // Empty for a new one.
    std::optional<std::uint64_t> base_version;
    std::uint64_t limit = 0; // Newest audit records to show, 0 for all.
    bool verify = false;
    bool json = false;
};

/// Arguments, or the exit code after help, version or an error was printed.
struct parsed_command_line
{
    std::optional<command_line> value;
    exit_code code = exit_code::done;
};

parsed_command_line parse_command_line(int count, const char* const* arguments);

} // namespace limpetstack
