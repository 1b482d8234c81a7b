#pragma once

#include "peer.pb.h"

namespace limpetstack
{

/// Returns whether a request may pass from one phase to another:
/// absent -> started -> done | unknown, unknown -> done, absent -> not_run.
bool transition_allowed(wire::request_phase from, wire::request_phase to);

/// Returns whether a resend of the request `current` with the body hash of
/// `next` is another request under the same id. An empty hash matches all.
bool differs_in_body(const wire::request_record& current,
                     const wire::request_record& next);

/// Returns the record after an allowed transition: `next`, with the account,
/// the service and the body hash of `current` where `next` has none.
wire::request_record merged(const wire::request_record& current,
                            wire::request_record next);

} // namespace limpetstack
