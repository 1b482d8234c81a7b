#pragma once

#include "ctl/command_line.hpp"

#include <iosfwd>

namespace limpetstack
{

class operator_client;

/// Where a command writes.
struct command_output
{
    std::ostream& out;
    std::ostream& errors;
    bool colour = false;
};

/// Carries out a command and writes its result.
exit_code run_command(const command_line& line, operator_client& client,
                      const command_output& output);

} // namespace limpetstack
