#pragma once

#include "base/clock.hpp"
#include "coordination/account_limiter.hpp"
#include "limpetstack/document.hpp"
#include "limpetstack/settings.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace limpetstack::wire
{
class forwarded_answer;
class forwarded_request;
} // namespace limpetstack::wire

namespace limpetstack
{

class dispatcher;
class membership;
class metrics;
class peer_network;
class registry;
class timer_service;

/// Entry side of the request path: checks requests of callers and takes them to
/// the dispatcher of their service. Calls may come from several threads.
class request_coordinator
{
public:
    using document_function = std::function<std::shared_ptr<const document>()>;

    /// Returns the incarnation of the local data centre's journal, nothing
    /// while it has no owner.
    using incarnation_function = std::function<std::optional<std::uint64_t>()>;

    /// Returns true while a data centre is evacuated.
    using evacuated_function = std::function<bool(const std::string&)>;

    request_coordinator(const settings& own, const membership& hosts,
                        const registry& state, dispatcher& local,
                        peer_network& network, timer_service& timers,
                        metrics& counters, document_function document_in_force,
                        incarnation_function journal_incarnation,
                        evacuated_function evacuated = {});

    /// Blocks until the request has an outcome. Takes id (may be empty for an
    /// idempotent service), account, caller, service, content type, body and
    /// deadline (0: the service's timeout); fills in the rest and the id, which
    /// the caller hears with the outcome.
    wire::forwarded_answer submit(wire::forwarded_request& request);

    /// Returns a new id for a non-idempotent request, or `kUnavailable`.
    absl::StatusOr<std::string> new_request_id() const;

private:
    std::optional<wire::forwarded_answer>
    complete(wire::forwarded_request& request) const;
    wire::forwarded_answer forward(const wire::forwarded_request& request);
    std::string
    choose_data_centre(const wire::forwarded_request& request) const;
    absl::StatusOr<wire::forwarded_answer>
    send(const std::string& host, const wire::forwarded_request& request,
         milliseconds left);
    void count(const wire::forwarded_answer& answer, milliseconds elapsed);

    const settings settings_;
    const membership& membership_;
    const registry& registry_;
    dispatcher& dispatcher_;
    peer_network& network_;
    timer_service& timers_;
    metrics& metrics_;
    document_function document_;
    incarnation_function incarnation_;
    evacuated_function evacuated_;
    std::set<std::string> data_centres_;
    account_limiter limiter_;
};

} // namespace limpetstack
