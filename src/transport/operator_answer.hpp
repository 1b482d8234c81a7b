#pragma once

#include <nlohmann/json.hpp>

namespace limpetstack
{

/// Status and body of a response to an operator.
struct operator_answer
{
    int status = 200;
    nlohmann::json body;
};

} // namespace limpetstack
