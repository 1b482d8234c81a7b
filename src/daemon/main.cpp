#include "base/log.hpp"
#include "daemon/daemon.hpp"
#include "limpetstack/settings.hpp"
#include "protocol/settings_file.hpp"

#include <CLI/CLI.hpp>

#include <malloc.h>

#include <iostream>
#include <string>

namespace
{

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

// Memory of this size and more is returned to the system when it is freed. By
// default the allocator raises this size up to 32 MiB, after which each thread
// keeps the freed bodies of its requests.
constexpr int returned_allocation_bytes = 131072;

void print_errors(const std::string& file,
                  const std::vector<limpetstack::document_error>& errors)
{
    for (const auto& error : errors)
    {
        std::cerr << file << ':' << error.line << ':' << error.column << ": ";
        if (!error.path.empty())
        {
            std::cerr << error.path << ": ";
        }
        std::cerr << error.message << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    ::mallopt(M_MMAP_THRESHOLD, returned_allocation_bytes);
    CLI::App app("limpetstackd: schedules requests and multi-accelerator jobs");
    std::string file;
    bool check = false;
    bool found_group = false;
    app.set_version_flag("--version", "limpetstackd " LIMPETSTACK_VERSION);
    app.add_option("--settings", file, "YAML settings file of this host")
        ->required();
    app.add_flag("--check-settings", check, "check the settings file and exit");
    app.add_flag("--found-group", found_group,
                 "make the empty data folder the first member of a new control "
                 "group; exactly one host of a deployment, once");
    app.footer("Exit codes: 0 done, 1 failed, 2 wrong usage or settings.");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error)
    {
        return app.exit(error) == 0 ? exit_done : exit_usage;
    }
    const auto parsed = limpetstack::load_settings(file);
    if (!parsed.value)
    {
        print_errors(file, parsed.errors);
        return exit_usage;
    }
    if (check)
    {
        std::cout << file << ": valid\n";
        return exit_done;
    }
    limpetstack::configure_log(parsed.value->host);
    const auto status = limpetstack::run_daemon(*parsed.value, found_group);
    if (!status.ok())
    {
        std::cerr << "limpetstackd: " << status.message() << '\n';
        return exit_failed;
    }
    return exit_done;
}
