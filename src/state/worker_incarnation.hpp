#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace limpetstack::fleet
{

/// Identifies one incarnation of a worker: the worker's id and the start time
/// of its process.
struct worker_incarnation
{
    std::string worker;
    std::int64_t born_ms = 0;
};

inline bool operator==(const worker_incarnation& a, const worker_incarnation& b)
{
    return a.born_ms == b.born_ms && a.worker == b.worker;
}
inline bool operator<(const worker_incarnation& a, const worker_incarnation& b)
{
    return std::tie(a.worker, a.born_ms) < std::tie(b.worker, b.born_ms);
}

} // namespace limpetstack::fleet
