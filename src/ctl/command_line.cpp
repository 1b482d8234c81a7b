#include "ctl/command_line.hpp"
#include "base/name_rule.hpp"
#include "protocol/yaml_reader.hpp"

#include <CLI/CLI.hpp>

namespace limpetstack
{
namespace
{

constexpr std::uint64_t default_audit_limit = 50;

std::string check_server(const std::string& text)
{
    return is_address(text, false)
               ? ""
               : "must be IP:port, for example 127.0.0.1:7002";
}

std::string check_data_centre(const std::string& text)
{
    return is_name(text) ? "" : "must be " + std::string(name_expectation);
}

CLI::App* add_command(CLI::App& parent, const std::string& name,
                      const std::string& help)
{
    auto* command = parent.add_subcommand(name, help);
    command->set_version_flag("--version", "limpetctl " LIMPETSTACK_VERSION);
    command->fallthrough();
    return command;
}

void add_config_commands(CLI::App& app, command_line& result)
{
    auto* config = add_command(app, "config", "Configuration document");
    config->require_subcommand(1);
    auto* apply = add_command(*config, "apply", "Put a document in force");
    apply->add_option("file", result.file, "YAML document")
        ->required()
        ->check(CLI::ExistingFile);
    apply->add_option("--base-version", result.base_version,
                      "Version that the document was made from; default: the "
                      "current version");
    apply->add_option("--request-id", result.request_id,
                      "Request id of an earlier run whose outcome is unknown; "
                      "needs --base-version");
    add_command(*config, "show", "Print the current document");
    auto* validate =
        add_command(*config, "validate", "Check a document without a server");
    validate->add_option("file", result.file, "YAML document")
        ->required()
        ->check(CLI::ExistingFile);
}

void add_evacuation_commands(CLI::App& app, command_line& result)
{
    auto* evacuation =
        add_command(app, "evacuation", "Evacuation of data centres");
    evacuation->require_subcommand(1);
    add_command(*evacuation, "list", "List evacuated data centres");
    const auto add_change = [&](const char* name, const char* help)
    {
        auto* change = add_command(*evacuation, name, help);
        change->add_option("name", result.data_centre, "Data centre")
            ->required()
            ->check(CLI::Validator(check_data_centre, "NAME"));
        change->add_option("--request-id", result.request_id,
                           "Request id of an earlier run whose outcome is "
                           "unknown");
    };
    add_change("start", "Start nothing more in a data centre");
    add_change("end", "Use a data centre again");
}

void add_options(CLI::App& app, command_line& result)
{
    app.add_option("--server", result.servers,
                   "IP:port of an operators' listener; may be repeated, the "
                   "next one is used when one does not answer")
        ->check(CLI::Validator(check_server, "IP:port"))
        ->take_all()
        ->allow_extra_args(false)
        ->envname("LIMPETCTL_SERVER");
    app.add_option("--operator", result.operator_name,
                   "Name in the audit trail; default: the login name")
        ->envname("USER");
    app.add_flag("--json", result.json, "Print the server's JSON unchanged");
}

// The names of the chosen command and its subcommand.
std::string chosen(const CLI::App& app)
{
    std::string name;
    const auto* level = &app;
    while (!level->get_subcommands().empty())
    {
        level = level->get_subcommands().front();
        name += (name.empty() ? "" : " ") + level->get_name();
    }
    return name;
}

void check(const command_line& result)
{
    const bool offline =
        result.command == "config validate" || result.command == "explain";
    if (!offline && result.servers.empty())
    {
        throw CLI::RequiredError("--server");
    }
    const bool writes = result.command == "config apply" ||
                        result.command == "evacuation start" ||
                        result.command == "evacuation end";
    if (writes && result.operator_name.empty())
    {
        throw CLI::RequiredError("--operator");
    }
    // A resend with another base version would be another write.
    if (result.command == "config apply" && !result.request_id.empty() &&
        !result.base_version)
    {
        throw CLI::RequiresError("--request-id", "--base-version");
    }
}

} // namespace

parsed_command_line parse_command_line(int count, const char* const* arguments)
{
    command_line result;
    result.limit = default_audit_limit;
    CLI::App app("Operators' command line of limpetstack.\nExit codes: 0 done, "
                 "1 refused or unavailable, 2 wrong usage, 3 outcome unknown.",
                 "limpetctl");
    app.set_version_flag("--version", "limpetctl " LIMPETSTACK_VERSION);
    app.require_subcommand(1);
    add_options(app, result);
    add_config_commands(app, result);
    add_evacuation_commands(app, result);
    add_command(app, "accounts", "List client accounts");
    add_command(app, "upstreams", "List live upstreams");
    add_command(app, "workers", "List live workers");
    add_command(app, "jobs", "List jobs");
    add_command(app, "hosts", "List hosts");
    add_command(app, "members", "List members of the control group");
    auto* audit = add_command(app, "audit", "Show the newest audit records");
    audit->add_flag("--verify", result.verify,
                    "Check the hash chain of all records");
    audit->add_option("--limit", result.limit,
                      "Records to show, 0 for all (default 50)");
    auto* explain = add_command(
        app, "explain",
        "Print the timeline of a job, a worker or a call from log files");
    explain->add_option("id", result.id, "Id, or the path of a call")
        ->required();
    explain
        ->add_option("files", result.files,
                     "Logs of any number of hosts; default: standard input")
        ->check(CLI::ExistingFile);
    try
    {
        app.parse(count, arguments);
        result.command = chosen(app);
        check(result);
    }
    catch (const CLI::ParseError& error)
    {
        const bool asked = app.exit(error) == 0;
        return {std::nullopt, asked ? exit_code::done : exit_code::usage};
    }
    return {result, exit_code::done};
}

} // namespace limpetstack
