#include "ctl/command_line.hpp"
#include "ctl/commands.hpp"
#include "ctl/explain.hpp"
#include "ctl/http_transport.hpp"
#include "ctl/operator_client.hpp"

#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int argc, char** argv)
{
    using namespace limpetstack;
    const auto parsed = parse_command_line(argc, argv);
    if (!parsed.value)
    {
        return static_cast<int>(parsed.code);
    }
    if (parsed.value->command == "explain")
    {
        return static_cast<int>(explain(parsed.value->id, parsed.value->files,
                                        parsed.value->json, std::cin, std::cout,
                                        std::cerr));
    }
    http_transport transport;
    operator_client client(transport, parsed.value->servers,
                           [](std::chrono::milliseconds pause)
                           {
                               std::this_thread::sleep_for(pause);
                           });
    const bool colour =
        isatty(STDOUT_FILENO) == 1 && std::getenv("NO_COLOR") == nullptr;
    return static_cast<int>(
        run_command(*parsed.value, client, {std::cout, std::cerr, colour}));
}
