#include "state/request_phase.hpp"

#include <utility>

namespace limpetstack
{

bool transition_allowed(wire::request_phase from, wire::request_phase to)
{
    switch (from)
    {
    case wire::request_absent:
        return to == wire::request_started || to == wire::request_not_run;
    case wire::request_started:
        return to == wire::request_done || to == wire::request_unknown;
    case wire::request_unknown:
        return to == wire::request_done;
    default: // done and not_run are final.
        return false;
    }
}

bool differs_in_body(const wire::request_record& current,
                     const wire::request_record& next)
{
    return !current.body_hash().empty() && !next.body_hash().empty() &&
           current.body_hash() != next.body_hash();
}

wire::request_record merged(const wire::request_record& current,
                            wire::request_record next)
{
    if (next.account().empty())
    {
        next.set_account(current.account());
    }
    if (next.service().empty())
    {
        next.set_service(current.service());
    }
    if (next.body_hash().empty())
    {
        next.set_body_hash(current.body_hash());
    }
    return next;
}

} // namespace limpetstack
