#pragma once

#include "base/clock.hpp"
#include "protocol/external_protocol.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace limpetstack::fleet
{

/// Carries questions to the policy service, one after the other. The callback
/// comes later, from the same thread; nothing means that there was no answer.
class policy_port
{
public:
    using answer = std::optional<std::vector<policy_ticket>>;

    virtual ~policy_port() = default;

    /// `timeout` runs from when the question is sent.
    virtual void ask(const policy_question& question, milliseconds timeout,
                     std::function<void(const answer&)> done) = 0;
};

} // namespace limpetstack::fleet
