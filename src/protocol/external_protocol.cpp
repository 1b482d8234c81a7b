#include "protocol/external_protocol.hpp"

namespace limpetstack::fleet
{

const char* name_of(order_result result)
{
    switch (result)
    {
    case order_result::accepted:
        return "accepted";
    case order_result::newer_epoch:
        return "newer_epoch";
    case order_result::old_run:
        return "old_run";
    case order_result::expired:
        return "expired";
    case order_result::no_capacity:
        return "no_room";
    case order_result::bad_ticket:
        return "bad_ticket";
    case order_result::invalid:
        return "invalid";
    case order_result::unhealthy:
        return "unhealthy";
    case order_result::other_worker:
        return "other_worker";
    case order_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace limpetstack::fleet
