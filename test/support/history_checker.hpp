#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack
{

/// One call of `transition` as its caller saw it. Times are positions in one
/// total order of all invocations and answers of a run.
struct history_call
{
    std::string id;
    wire::request_phase asked = wire::request_absent;
    std::string payload; // Answer that a done transition carries.
    std::uint64_t invoked = 0;
    std::optional<std::uint64_t> answered; // Nothing: the caller got none.
    bool applied = false;
    bool unknown = false; // The journal could not tell.
    wire::request_phase current = wire::request_absent; // When not applied.
    std::string current_payload;
};

/// Returns why the history can not come from one journal, empty when it can.
///
/// Each id follows absent -> started -> done | unknown, unknown -> done,
/// absent -> not_run. A call that was applied takes effect between its
/// invocation and its answer, one without a certain answer at any time after
/// its invocation or never. `stale_phases_allowed`: an answer that is not
/// final (started, unknown) may show a phase that has passed since.
std::string check_history(const std::vector<history_call>& calls,
                          bool stale_phases_allowed = false);

} // namespace limpetstack
