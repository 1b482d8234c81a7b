#pragma once

#include "coordination/fleet/fleet_service.hpp"
#include "protocol/external_protocol.hpp"
#include "state/fleet_state.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A core host of `call_model`: the daemon's service on a state of its own.
struct modelled_core_host
{
    struct proposal
    {
        fleet_command command;
        consensus_runner::outcome_handler done;
    };

    std::string address;
    fleet_state state;
    std::optional<fleet_document> document;
    std::size_t applied = 0; // Number of committed commands in `state`.
    std::uint64_t term = 0;  // In which it believes that it leads; 0: none.
    bool frozen = false;
    std::vector<proposal> proposals; // Not committed, oldest first.
    std::vector<std::function<void(bool)>> reads;
    std::unique_ptr<fleet_service> service;
};

} // namespace limpetstack::fleet
