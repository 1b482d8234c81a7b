#pragma once

#include "coordination/dispatcher.hpp"
#include "coordination/service_queue.hpp"
#include "coordination/upstream_caller.hpp"
#include "peer.pb.h"

#include <atomic>
#include <string>

namespace limpetstack
{

/// What a run of a request needs.
struct run_context
{
    service_queue& queue;
    upstream_caller& caller;
    timer_service& timers;
    metrics& counters;
    const dispatcher::decide_function& decide;
    std::uint32_t weight = 1;
    std::uint32_t max_attempts = 1;
    milliseconds late_window{0}; // Wait for an answer after the deadline.
    std::function<void(const std::string&)> sent_to; // Upstream in use.
};

/// Runs an idempotent request: retries on other upstreams within the budget,
/// the attempts and the deadline.
wire::forwarded_answer run_idempotent(const wire::forwarded_request& request,
                                      const run_context& context);

/// Runs a non-idempotent request at most once. Every phase is journaled before
/// its effect.
wire::forwarded_answer run_once(const wire::forwarded_request& request,
                                const run_context& context);

} // namespace limpetstack
