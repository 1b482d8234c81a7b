#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limpetstack
{

/// Which ids a journal decides.
struct id_rules
{
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::int64_t requests_before_ms = 0; // Ids issued earlier were dropped.
    std::int64_t latest_issue_ms = 0;    // Later ids are not accepted.
    bool full = false;                   // No further ids are accepted.
};

enum class transition_kind
{
    write,          // The new record is to be journaled.
    answer,         // The current record answers.
    confirm_absent, // There is no record; the copy must confirm the epoch.
    refuse          // The journal can not tell; the answer is unknown.
};

struct transition_decision
{
    transition_kind kind = transition_kind::refuse;
    wire::request_record record; // To be written, or the current one.
    std::string reason;
};

/// Decides a transition from the current record of the id, if there is one.
transition_decision
decide_transition(const wire::request_record& asked,
                  const std::optional<wire::request_record>& current,
                  const id_rules& rules);

} // namespace limpetstack
