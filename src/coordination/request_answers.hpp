#pragma once

#include "base/clock.hpp"
#include "peer.pb.h"

#include <cstdint>
#include <string>

namespace limpetstack
{

struct upstream_answer;

/// Reason of a refusal by a dispatcher that hands its work over. The entry host
/// sends the request to the next dispatcher.
constexpr const char* reason_dispatcher_stopping = "dispatcher is stopping";

/// Reason of a refusal in an evacuated data centre. The entry host sends an
/// idempotent request to another one.
constexpr const char* reason_evacuated = "data centre is evacuated";

/// HTTP statuses that accompany the outcomes.
constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_conflict = 409;
constexpr std::uint32_t status_too_large = 413;
constexpr std::uint32_t status_overloaded = 429;
constexpr std::uint32_t status_not_run = 503;
constexpr std::uint32_t status_unknown = 504;

/// Returns the answer that the upstream gave.
wire::forwarded_answer done_answer(const upstream_answer& source);

/// Returns the answer of a journaled `done` record.
wire::forwarded_answer done_answer(const wire::request_record& record);

wire::forwarded_answer not_run_answer(const std::string& reason,
                                      milliseconds retry_after);
wire::forwarded_answer unknown_answer(const std::string& reason,
                                      milliseconds retry_after);
wire::forwarded_answer refused_answer(std::uint32_t status,
                                      const std::string& reason);

/// Returns the answer for a request that was turned away before anything was
/// decided about it. It is `not_run` for an idempotent request. For others,
/// whose `not_run` must be journaled, it is `refused` with status 429: the same
/// id may be sent again.
wire::forwarded_answer turned_away_answer(bool idempotent,
                                          const std::string& reason,
                                          milliseconds retry_after);

/// Returns the SHA-256 that identifies a request's content.
std::string request_hash(const wire::forwarded_request& request);

} // namespace limpetstack
