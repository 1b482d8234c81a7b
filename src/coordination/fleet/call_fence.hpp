#pragma once

#include <cstdint>
#include <map>

namespace limpetstack::fleet
{

class forwarded_call;

/// Decides on the leader which sendings of callers' calls it may carry out. A
/// sending that another term or a later connection of the same entry host has
/// superseded may not, however late it arrives: the entry host may have been
/// told that the call does not run. Not thread-safe.
class call_fence
{
public:
    /// Returns true when the leader of `term` may carry out the call. Calls
    /// without a term or an origin, which earlier versions send, are admitted.
    bool admit(const forwarded_call& call, std::uint64_t term);

private:
    std::uint64_t term_ = 0;
    // Newest connection in `term_`, by the identity of the entry process.
    std::map<std::uint64_t, std::uint64_t> newest_connections_;
};

} // namespace limpetstack::fleet
