#include "state/evacuation_table.hpp"
#include "base/name_rule.hpp"

#include <absl/strings/str_cat.h>

namespace limpetstack
{
namespace
{

wire::command_outcome refusal(wire::command_code code,
                              const std::string& message)
{
    wire::command_outcome outcome;
    outcome.set_code(code);
    outcome.set_message(message);
    return outcome;
}

} // namespace

wire::command_outcome
evacuation_table::apply(std::uint64_t index,
                        const wire::control_command& command)
{
    const auto& change = command.evacuation();
    const auto& name = change.data_centre();
    if (!is_name(name))
    {
        return refusal(wire::command_invalid,
                       absl::StrCat("data centre: must be ",
                                    std::string(name_expectation)));
    }
    wire::command_outcome accepted;
    if ((active_.count(name) > 0) == change.active())
    {
        accepted.set_unchanged(true);
        return accepted;
    }
    if (change.active() && active_.size() >= max_evacuations)
    {
        return refusal(wire::command_conflict,
                       absl::StrCat(max_evacuations,
                                    " data centres are evacuated, which is "
                                    "the most; end one evacuation first"));
    }
    if (change.active())
    {
        auto& added = active_[name];
        added.set_data_centre(name);
        added.set_operator_name(command.operator_name());
        added.set_time_ms(command.time_ms());
    }
    else
    {
        active_.erase(name);
    }
    index_ = index;
    return accepted;
}

wire::evacuation_set evacuation_table::set() const
{
    wire::evacuation_set result;
    result.set_index(index_);
    for (const auto& [name, entry] : active_)
    {
        *result.add_evacuations() = entry;
    }
    return result;
}

void evacuation_table::restore(const wire::evacuation_set& source)
{
    index_ = source.index();
    active_.clear();
    for (const auto& entry : source.evacuations())
    {
        active_[entry.data_centre()] = entry;
    }
}

} // namespace limpetstack
