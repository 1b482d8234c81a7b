#pragma once

#include <string>
#include <tuple>

namespace limpetstack::fleet
{

/// Whose share of the room for accepted jobs a job takes: the client account
/// of its call, or the queue when the call had no key.
struct job_holder
{
    const std::string account; // Empty for calls without a key.
    const std::string queue;   // Empty for calls with a key.
};

inline bool operator==(const job_holder& a, const job_holder& b)
{
    return std::tie(a.account, a.queue) == std::tie(b.account, b.queue);
}

inline bool operator!=(const job_holder& a, const job_holder& b)
{
    return !(a == b);
}

inline bool operator<(const job_holder& a, const job_holder& b)
{
    return std::tie(a.account, a.queue) < std::tie(b.account, b.queue);
}

} // namespace limpetstack::fleet
