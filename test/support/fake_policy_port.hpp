#pragma once

#include "coordination/fleet/policy_port.hpp"

#include <functional>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{

/// Policy port for tests that stores each question until the test answers it.
class fake_policy_port : public policy_port
{
public:
    struct asked_question
    {
        policy_question question;
        milliseconds timeout;
        std::function<void(const answer&)> done;
    };

    void ask(const policy_question& question, milliseconds timeout,
             std::function<void(const answer&)> done) override
    {
        questions.push_back({question, timeout, std::move(done)});
    }

    std::vector<asked_question> questions;
};

} // namespace limpetstack::fleet
