#pragma once

#include "fleet.pb.h"

#include <cstdint>
#include <string>
#include <utility>

namespace limpetstack::fleet
{

/// The time after which callers may repeat a call that had no effect.
constexpr std::uint32_t retry_after_ms = 1000;

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
    return json_answer(504);
}

/// Returns the answer that this host is not the leader and that the call had no
/// effect.
inline forwarded_answer not_leader_answer()
{
    forwarded_answer answer;
    answer.set_not_leader(true);
    return answer;
}

} // namespace limpetstack::fleet
