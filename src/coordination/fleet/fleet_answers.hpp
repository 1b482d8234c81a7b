#pragma once

#include "fleet.pb.h"

#include <cstdint>
#include <string>
#include <utility>

namespace limpetstack::fleet
{

/// The time after which callers may repeat a call that had no effect.
constexpr std::uint32_t retry_after_ms = 1000;

/// The status of a call that may or may not have had an effect.
constexpr unsigned outcome_unknown_status = 504;

/// The status of a call about a job that does not exist.
constexpr unsigned gone_status = 410;

/// Returns the call without its body, to be kept while a majority confirms the
/// answer: the body may be large, and anybody can send it.
inline forwarded_call without_body(const forwarded_call& call)
{
    forwarded_call out;
    out.set_id(call.id());
    out.set_method(call.method());
    out.set_host(call.host());
    out.set_target(call.target());
    out.set_authorization(call.authorization());
    out.set_origin(call.origin());
    return out;
}

/// Returns an answer with the HTTP status and a JSON body.
inline forwarded_answer json_answer(unsigned status, std::string body = "{}")
{
    forwarded_answer answer;
    answer.set_status(status);
    answer.set_body(std::move(body));
    return answer;
}

/// Returns the answer that the call had no effect and may be repeated later.
inline forwarded_answer retry_later_answer()
{
    auto answer = json_answer(503);
    answer.set_retry_after_ms(retry_after_ms);
    return answer;
}

/// Returns the answer that the call may or may not have had an effect.
inline forwarded_answer outcome_unknown_answer()
{
    return json_answer(outcome_unknown_status);
}

/// Returns the answer that this host is not the leader and that the call had no
/// effect.
inline forwarded_answer not_leader_answer()
{
    forwarded_answer answer;
    answer.set_not_leader(true);
    return answer;
}

/// Returns true when the answer says that the call was not carried out.
inline bool is_refusal(const forwarded_answer& answer)
{
    return !answer.not_leader() && answer.status() >= 400 &&
           answer.status() != outcome_unknown_status &&
           answer.status() != gone_status;
}

} // namespace limpetstack::fleet
