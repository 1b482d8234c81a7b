#pragma once

#include <cstdint>
#include <string>

namespace limpetstack::wire
{
class command_outcome;
class control_command;
} // namespace limpetstack::wire

namespace limpetstack
{

/// The replicated state. Committed commands are applied to it in log order,
/// each exactly once. The same commands must give the same state on every
/// replica.
class state_machine
{
public:
    virtual ~state_machine() = default;

    /// Applies the command of the log entry at `index`.
    virtual wire::command_outcome
    apply(std::uint64_t index, const wire::control_command& command) = 0;

    /// Returns the whole state in serialized form.
    virtual std::string snapshot() const = 0;

    /// Replaces the state by one that `snapshot` returned and that includes
    /// every entry up to `index`.
    virtual void restore(std::uint64_t index, const std::string& state) = 0;
};

} // namespace limpetstack
