#pragma once

#include "base/clock.hpp"
#include "protocol/external_protocol.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace limpetstack::fleet
{

/// Sends questions to the policy service, one at a time. The callback is
/// invoked later on the same thread; an empty answer means that the service did
/// not answer.
class policy_port
{
public:
    using answer = std::optional<std::vector<policy_ticket>>;

    virtual ~policy_port() = default;

    /// `timeout` starts when the question is sent, not when it is queued.
    virtual void ask(const policy_question& question, milliseconds timeout,
                     std::function<void(const answer&)> done) = 0;
};

} // namespace limpetstack::fleet
