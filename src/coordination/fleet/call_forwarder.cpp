#include "coordination/fleet/call_forwarder.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/fleet/fleet_answers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// A call that has had no effect waits this long for a leader to be known.
constexpr milliseconds leader_wait_limit{900};

// This part of the caller's time is reserved for the transfer of the answer.
constexpr milliseconds answer_margin{150};

// Answers are due after this time at the latest. It is shorter than the time
// for which the state remembers a job that has ended.
constexpr milliseconds max_call_time{60000};

// Applies to calls that state no time limit.
constexpr milliseconds default_call_timeout{3000};

// Returns true when the call waits to be sent.
bool is_waiting(const std::vector<call_sending>& sendings)
{
    return sendings.empty() || sendings.back().outcome != sending_outcome::open;
}

// Returns true when the call was not sent, or no sending of it has had or can
// have an effect.
bool has_no_effect(const std::vector<call_sending>& sendings)
{
    return std::all_of(sendings.begin(), sendings.end(),
                       [](const call_sending& item)
                       {
                           return item.outcome == sending_outcome::no_effect;
                       });
}

// Returns true when the answer says only of the latest sending that it had no
// effect, while an earlier one may have had one.
bool leaves_open(const forwarded_call& call,
                 const std::vector<call_sending>& sendings,
                 const forwarded_answer& answer)
{
    return is_refusal(answer) && call.method() != "GET" &&
           !answer.covers_all_sendings() && has_unknown_outcome(sendings);
}

// Returns the method for a metric's label. Callers must not be able to add
// series without bound.
const char* method_label(const std::string& method)
{
    for (const char* const known : {"GET", "POST", "DELETE"})
    {
        if (method == known)
        {
            return known;
        }
    }
    return "other";
}

} // namespace

call_forwarder::call_forwarder(std::uint64_t origin, sender send,
                               metrics& counters)
    : origin_(origin)
    , send_(std::move(send))
    , counters_(counters)
{
}

void call_forwarder::accept(forwarded_call call, milliseconds time_left,
                            responder respond, time_point now)
{
    const auto id = next_call_++;
    auto& item = calls_[id];
    item.call = std::move(call);
    item.call.set_id(id);
    item.call.set_origin(origin_);
    item.respond = std::move(respond);
    item.arrived_at = now;
    item.waiting_since = now;
    const auto limit = time_left > milliseconds::zero()
                           ? std::min(time_left, max_call_time)
                           : default_call_timeout;
    item.deadline = now + std::max(limit - answer_margin, limit / 2);
    try_send(item, now);
}

void call_forwarder::try_send(pending_call& item, time_point now)
{
    if (leader_.empty())
    {
        return;
    }
    // The sending is recorded first, because the connection may end while the
    // call is queued on it.
    const auto leader = leader_;
    const auto earlier = item.sendings;
    item.call.set_term(leader_term_);
    item.call.set_connection_epoch(lost_connections_);
    item.call.set_repeated(has_unknown_outcome(earlier));
    item.sendings.push_back({leader, leader_term_, now});
    if (!send_(leader, item.call))
    {
        item.sendings.pop_back();
        return;
    }
    if (!earlier.empty())
    {
        counters_.add(has_unknown_outcome(earlier)
                          ? "calls_resent_total{after=\"unknown\"}"
                          : "calls_resent_total{after=\"no_effect\"}");
        log_event(log_level::info, "call_resent",
                  {{"target", item.call.target()},
                   {"method", item.call.method()},
                   {"leader", leader},
                   {"term", absl::StrCat(leader_term_)},
                   {"sendings", describe(earlier, now)}});
    }
}

void call_forwarder::send_waiting_calls(time_point now)
{
    for (auto& [id, item] : calls_)
    {
        if (is_waiting(item.sendings))
        {
            try_send(item, now);
        }
    }
}

void call_forwarder::finish(std::uint64_t id, const forwarded_answer& answer,
                            const char* reason, time_point now)
{
    const auto found = calls_.find(id);
    const auto item = std::move(found->second);
    calls_.erase(found);
    const auto held = now - item.arrived_at;
    counters_.observe_latency(
        absl::StrCat("call_ms{method=\"", method_label(item.call.method()),
                     "\",status=\"", answer.status(), "\"}"),
        static_cast<double>(held.count()));
    const bool refused = is_refusal(answer);
    if (refused && has_unknown_outcome(item.sendings))
    {
        counters_.add(absl::StrCat("refusals_after_unknown_total{status=\"",
                                   answer.status(), "\"}"));
    }
    const bool failed = refused || answer.status() == outcome_unknown_status;
    if (failed || item.sendings.size() > 1)
    {
        log_event(log_level::info, failed ? "call_refused" : "call_answered",
                  {{"target", item.call.target()},
                   {"method", item.call.method()},
                   {"status", absl::StrCat(answer.status())},
                   {"reason", reason},
                   {"leader", leader_},
                   {"term", absl::StrCat(leader_term_)},
                   {"sendings", describe(item.sendings, now)},
                   {"held_ms", absl::StrCat(held.count())}});
    }
    item.respond(answer);
}

// Ends a call without an answer of the leader.
void call_forwarder::fail(std::uint64_t id, const char* reason, time_point now)
{
    finish(id,
           has_no_effect(calls_.at(id).sendings) ? retry_later_answer()
                                                 : outcome_unknown_answer(),
           reason, now);
}

void call_forwarder::set_leader(const std::string& address, std::uint64_t term,
                                time_point now)
{
    if (term < leader_term_)
    {
        return;
    }
    if (leader_ != address)
    {
        log_event(log_level::info, "leader_known",
                  {{"leader", address}, {"term", absl::StrCat(term)}});
    }
    leader_ = address;
    leader_term_ = term;
    send_waiting_calls(now);
}

void call_forwarder::drop_leader(const std::string& address)
{
    if (leader_ == address)
    {
        leader_.clear();
    }
}

void call_forwarder::on_answer(const std::string& address,
                               const forwarded_answer& answer, time_point now)
{
    const auto found = calls_.find(answer.id());
    if (found == calls_.end() || is_waiting(found->second.sendings) ||
        found->second.sendings.back().leader != address)
    {
        return;
    }
    auto& sending = found->second.sendings.back();
    if (answer.not_leader())
    {
        // The call is sent again when a leader is known.
        sending.outcome = sending_outcome::no_effect;
        found->second.waiting_since = now;
        if (sending.term == leader_term_)
        {
            drop_leader(address);
        }
        return;
    }
    if (answer.status() == outcome_unknown_status &&
        !answer.covers_all_sendings())
    {
        // The next leader may know the outcome.
        sending.outcome = sending_outcome::unknown;
        return;
    }
    if (leaves_open(found->second.call, found->second.sendings, answer))
    {
        finish(answer.id(), outcome_unknown_answer(),
               "an earlier sending may have run", now);
        return;
    }
    finish(answer.id(), answer, "leader", now);
}

void call_forwarder::on_link_lost(const std::string& address)
{
    ++lost_connections_;
    drop_leader(address);
    for (auto& [id, item] : calls_)
    {
        if (!is_waiting(item.sendings) &&
            item.sendings.back().leader == address)
        {
            item.sendings.back().outcome = sending_outcome::unknown;
        }
    }
}

void call_forwarder::check(time_point now)
{
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> without_leader;
    for (const auto& [id, item] : calls_)
    {
        if (now >= item.deadline)
        {
            expired.push_back(id);
        }
        else if (has_no_effect(item.sendings) &&
                 now - item.waiting_since >= leader_wait_limit)
        {
            without_leader.push_back(id);
        }
    }
    for (const auto id : expired)
    {
        fail(id, "the call's time limit has passed", now);
    }
    for (const auto id : without_leader)
    {
        fail(id, "no leader is known", now);
    }
    send_waiting_calls(now);
}

} // namespace limpetstack::fleet
