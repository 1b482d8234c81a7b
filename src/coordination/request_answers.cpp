#include "coordination/request_answers.hpp"

#include "base/hash.hpp"
#include "coordination/upstream_caller.hpp"

namespace limpetstack
{

wire::forwarded_answer done_answer(const upstream_answer& source)
{
    wire::forwarded_answer out;
    out.set_outcome(wire::outcome_done);
    out.set_status(source.status);
    out.set_content_type(source.content_type);
    out.set_body(source.body);
    return out;
}

wire::forwarded_answer done_answer(const wire::request_record& record)
{
    wire::forwarded_answer out;
    out.set_outcome(wire::outcome_done);
    out.set_status(record.status());
    out.set_content_type(record.content_type());
    out.set_body(record.answer());
    out.set_reason("recorded answer");
    return out;
}

wire::forwarded_answer not_run_answer(const std::string& reason,
                                      milliseconds retry_after)
{
    wire::forwarded_answer out;
    out.set_outcome(wire::outcome_not_run);
    out.set_status(status_not_run);
    out.set_reason(reason);
    out.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
    return out;
}

wire::forwarded_answer unknown_answer(const std::string& reason,
                                      milliseconds retry_after)
{
    wire::forwarded_answer out;
    out.set_outcome(wire::outcome_unknown);
    out.set_status(status_unknown);
    out.set_reason(reason);
    out.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
    return out;
}

wire::forwarded_answer refused_answer(std::uint32_t status,
                                      const std::string& reason)
{
    wire::forwarded_answer out;
    out.set_outcome(wire::outcome_refused);
    out.set_status(status);
    out.set_reason(reason);
    return out;
}

wire::forwarded_answer turned_away_answer(bool idempotent,
                                          const std::string& reason,
                                          milliseconds retry_after)
{
    if (idempotent)
    {
        return not_run_answer(reason, retry_after);
    }
    auto out = refused_answer(status_overloaded, reason);
    out.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
    return out;
}

std::string request_hash(const wire::forwarded_request& request)
{
    return sha256_hex(request.account() + '\n' + request.service() + '\n' +
                      request.content_type() + '\n' + request.body());
}

} // namespace limpetstack
