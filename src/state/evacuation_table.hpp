#pragma once

#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace limpetstack
{

/// Evacuations that are kept at most.
constexpr std::size_t max_evacuations = 64;

/// The evacuated data centres as the control log orders their changes.
class evacuation_table
{
public:
    /// Starts or ends an evacuation. `index` is the command's place in the log.
    wire::command_outcome apply(std::uint64_t index,
                                const wire::control_command& command);

    /// Returns the evacuations in force, sorted by data centre.
    wire::evacuation_set set() const;

    void restore(const wire::evacuation_set& source);

private:
    std::uint64_t index_ = 0; // Of the last entry that changed the table.
    std::map<std::string, wire::evacuation> active_;
};

} // namespace limpetstack
