#include "coordination/request_coordinator.hpp"

#include "base/hash.hpp"
#include "base/metrics.hpp"
#include "base/timer_service.hpp"
#include "coordination/dispatcher.hpp"
#include "coordination/membership.hpp"
#include "coordination/peer_network.hpp"
#include "coordination/request_answers.hpp"
#include "state/registry.hpp"
#include "state/request_id.hpp"

#include <algorithm>
#include <limits>
#include <thread>
#include <utility>

namespace limpetstack
{
namespace
{

constexpr milliseconds first_pause{25};
constexpr milliseconds longest_pause{400};
constexpr milliseconds retry_soon{1000};

// A remote dispatcher gets this much time beyond the deadline to record an
// outcome; it needs up to 1 s.
constexpr milliseconds answer_margin{2000};

constexpr std::size_t longest_caller = 128;
constexpr std::size_t longest_id = 128;
constexpr int random_bytes = 16;

// Ids of idempotent requests travel in headers to the upstream.
bool usable_id(const std::string& id)
{
    return id.size() <= longest_id && std::all_of(id.begin(), id.end(),
                                                  [](char c)
                                                  {
                                                      return c > ' ' && c < 127;
                                                  });
}

// Tells whether an answer came from a dispatcher that took no part in the
// request's outcome.
bool took_nothing(const wire::forwarded_answer& answer)
{
    // Only idempotent requests get `not_run` for this reason.
    if (answer.reason() == reason_evacuated)
    {
        return answer.outcome() == wire::outcome_not_run &&
               answer.attempts() == 0;
    }
    return answer.reason() == reason_dispatcher_stopping &&
           (answer.outcome() == wire::outcome_not_run ||
            answer.outcome() == wire::outcome_refused);
}

// Corrects an answer when an earlier dispatch may have reached a dispatcher
// that we did not hear from: only the journal can then say that the request did
// not run.
wire::forwarded_answer after_lost_dispatch(wire::forwarded_answer answer,
                                           bool idempotent)
{
    const bool unjournaled =
        (answer.outcome() == wire::outcome_not_run && idempotent) ||
        (answer.outcome() == wire::outcome_refused &&
         answer.status() == status_overloaded);
    return unjournaled ? unknown_answer(answer.reason(),
                                        milliseconds(answer.retry_after_ms()))
                       : std::move(answer);
}

} // namespace

request_coordinator::request_coordinator(
    const settings& own, const membership& hosts, const registry& state,
    dispatcher& local, peer_network& network, timer_service& timers,
    metrics& counters, document_function document_in_force,
    incarnation_function journal_incarnation, evacuated_function evacuated)
    : settings_(own)
    , membership_(hosts)
    , registry_(state)
    , dispatcher_(local)
    , network_(network)
    , timers_(timers)
    , metrics_(counters)
    , document_(std::move(document_in_force))
    , incarnation_(std::move(journal_incarnation))
    , evacuated_(std::move(evacuated))
    , limiter_(own.limits.http_threads)
{
    data_centres_.insert(own.data_centre);
    for (const auto& peer : own.peers)
    {
        data_centres_.insert(peer.data_centre);
    }
}

absl::StatusOr<std::string> request_coordinator::new_request_id() const
{
    const auto incarnation = incarnation_();
    if (!incarnation)
    {
        return absl::UnavailableError("the data centre has no journal owner");
    }
    return make_request_id(settings_.data_centre, *incarnation, wall_clock_ms(),
                           random_hex(random_bytes));
}

// Fills in the request; returns the refusal of one that is not valid.
std::optional<wire::forwarded_answer>
request_coordinator::complete(wire::forwarded_request& request) const
{
    const auto source = document_();
    if (!source)
    {
        auto out = refused_answer(status_overloaded,
                                  "no configuration is in force yet");
        out.set_retry_after_ms(static_cast<std::uint32_t>(retry_soon.count()));
        return out;
    }
    const auto* const account = find_account(*source, request.account());
    if (account == nullptr)
    {
        return refused_answer(status_not_found, "unknown client account");
    }
    const auto* const kind = find_service(*account, request.service());
    if (kind == nullptr)
    {
        return refused_answer(status_not_found, "unknown service");
    }
    if (request.body().size() > settings_.limits.request_body_bytes)
    {
        return refused_answer(status_too_large, "request body is too large");
    }
    if (request.caller().empty())
    {
        request.set_caller("anonymous");
    }
    if (request.caller().size() > longest_caller)
    {
        return refused_answer(status_bad_request, "caller name is too long");
    }
    request.set_idempotent(kind->idempotent);
    request.set_entry_host(settings_.host);
    const auto limit = static_cast<std::uint32_t>(std::min<std::int64_t>(
        kind->timeout.count(), std::numeric_limits<std::uint32_t>::max()));
    request.set_deadline_ms(request.deadline_ms() == 0
                                ? limit
                                : std::min(limit, request.deadline_ms()));
    if (kind->idempotent)
    {
        if (request.id().empty())
        {
            request.set_id("r-" + random_hex(random_bytes));
        }
        return usable_id(request.id())
                   ? std::nullopt
                   : std::optional(refused_answer(status_bad_request,
                                                  "malformed request id"));
    }
    const auto id = parse_request_id(request.id());
    if (!id.ok())
    {
        return refused_answer(status_bad_request, request.id().empty()
                                                      ? "request id is required"
                                                      : "malformed request id");
    }
    if (data_centres_.count(id->data_centre) == 0)
    {
        return refused_answer(status_bad_request,
                              "request id of an unknown data centre");
    }
    request.set_data_centre(id->data_centre);
    return std::nullopt;
}

wire::forwarded_answer
request_coordinator::submit(wire::forwarded_request& request)
{
    const auto begun = timers_.now();
    if (auto refusal = complete(request))
    {
        count(*refusal, milliseconds(0));
        return *refusal;
    }
    if (!limiter_.enter(request.account()))
    {
        metrics_.add("entry_limited_total");
        auto out = turned_away_answer(
            request.idempotent(), "account has too many requests in progress",
            retry_soon);
        count(out, milliseconds(0));
        return out;
    }
    auto out = forward(request);
    limiter_.leave(request.account());
    count(out, timers_.now() - begun);
    return out;
}

void request_coordinator::count(const wire::forwarded_answer& answer,
                                milliseconds elapsed)
{
    static constexpr const char* names[] = {"done", "not_run", "unknown",
                                            "refused"};
    metrics_.add(std::string("requests_total{outcome=\"") +
                 names[static_cast<int>(answer.outcome())] + "\"}");
    metrics_.observe("request_ms", static_cast<double>(elapsed.count()));
}

// An idempotent request stays in this data centre as long as it has upstreams
// for the service and is not evacuated.
std::string request_coordinator::choose_data_centre(
    const wire::forwarded_request& request) const
{
    if (!request.idempotent())
    {
        return request.data_centre();
    }
    const auto serves = [&](const std::string& data_centre)
    {
        return !(evacuated_ && evacuated_(data_centre)) &&
               !registry_.ready_upstreams(request.service(), data_centre)
                    .empty() &&
               !membership_.live_hosts(data_centre).empty();
    };
    if (serves(settings_.data_centre))
    {
        return settings_.data_centre;
    }
    std::string best;
    std::uint64_t best_rank = 0;
    for (const auto& data_centre : data_centres_)
    {
        // Requests of a data centre without upstreams spread over the others.
        const auto rank = stable_hash(request.id() + '\n' + data_centre);
        if (data_centre != settings_.data_centre && serves(data_centre) &&
            (best.empty() || rank > best_rank))
        {
            best = data_centre;
            best_rank = rank;
        }
    }
    return best.empty() ? settings_.data_centre : best;
}

absl::StatusOr<wire::forwarded_answer>
request_coordinator::send(const std::string& host,
                          const wire::forwarded_request& request,
                          milliseconds left)
{
    if (host == settings_.host)
    {
        return dispatcher_.dispatch(request);
    }
    return network_.dispatch(host, request, left + answer_margin);
}

wire::forwarded_answer
request_coordinator::forward(const wire::forwarded_request& request)
{
    const auto deadline = timers_.now() + milliseconds(request.deadline_ms());
    bool lost = false; // A dispatch without an answer may have run.
    std::string reason = "no live dispatcher";
    auto pause = first_pause;
    while (true)
    {
        const auto left = deadline - timers_.now();
        if (left <= milliseconds(0))
        {
            break;
        }
        auto next = request;
        next.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
        next.set_data_centre(choose_data_centre(request));
        const auto host =
            membership_.dispatcher_host(next.data_centre(), next.service());
        if (!host.empty())
        {
            auto answer = send(host, next, left);
            if (answer.ok() && !took_nothing(*answer))
            {
                return lost ? after_lost_dispatch(*std::move(answer),
                                                  request.idempotent())
                            : *std::move(answer);
            }
            if (answer.ok())
            {
                reason = answer->reason();
            }
            else
            {
                lost = lost || !absl::IsFailedPrecondition(answer.status());
                reason = "dispatcher did not answer";
                metrics_.add("dispatch_failures_total");
            }
        }
        std::this_thread::sleep_for(std::min(
            pause, std::max(milliseconds(1), deadline - timers_.now())));
        pause = std::min(longest_pause, 2 * pause);
    }
    return lost ? unknown_answer(reason, retry_soon)
                : turned_away_answer(request.idempotent(), reason, retry_soon);
}

} // namespace limpetstack
