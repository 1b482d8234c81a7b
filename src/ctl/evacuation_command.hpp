#pragma once

#include "ctl/commands.hpp"

namespace limpetstack
{

/// Starts or ends an evacuation and reports the outcome.
exit_code change_evacuation(const command_line& line, operator_client& client,
                            const command_output& output);

} // namespace limpetstack
