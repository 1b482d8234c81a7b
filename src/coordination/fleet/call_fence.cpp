#include "coordination/fleet/call_fence.hpp"

#include "fleet.pb.h"

#include <algorithm>

namespace limpetstack::fleet
{

bool call_fence::admit(const forwarded_call& call, std::uint64_t term)
{
    if (term_ != term)
    {
        term_ = term;
        newest_connections_.clear();
    }
    if (call.term() != 0 && call.term() != term)
    {
        return false;
    }
    if (call.origin() == 0)
    {
        return true;
    }
    auto& newest = newest_connections_[call.origin()];
    newest = std::max(newest, call.connection_epoch());
    return call.connection_epoch() == newest;
}

} // namespace limpetstack::fleet
