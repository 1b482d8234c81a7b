#pragma once

#include "fleet.pb.h"

#include <cstdint>
#include <string>
#include <utility>

namespace limpetstack::fleet
{

/// When callers may come back after a call that had no effect.
constexpr std::uint32_t retry_after_ms = 1000;

/// Returns an answer with a status and a JSON body.
inline forwarded_answer plain_answer(unsigned status, std::string body = "{}")
{
    forwarded_answer answer;
    answer.set_status(status);
    answer.set_body(std::move(body));
    return answer;
}

/// Tells that the call had no effect and may be sent again later.
inline forwarded_answer unavailable()
{
    auto answer = plain_answer(503);
    answer.set_retry_after_ms(retry_after_ms);
    return answer;
}

/// Tells that the call may have had its effect.
inline forwarded_answer undecided()
{
    return plain_answer(504);
}

/// Tells that this host does not lead; the call had no effect.
inline forwarded_answer not_leader()
{
    forwarded_answer answer;
    answer.set_not_leader(true);
    return answer;
}

} // namespace limpetstack::fleet
