#pragma once

#include "coordination/upstream_caller.hpp"

#include <cstdint>
#include <memory>

namespace limpetstack
{

class metrics;

/// Calls upstreams over HTTP with kept-alive connections, at most `connections`
/// to each upstream at once.
class upstream_client : public upstream_caller
{
public:
    /// Refuses answers longer than `answer_bytes`.
    upstream_client(std::uint64_t answer_bytes, metrics& counters);
    ~upstream_client() override;
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    upstream_answer call(const upstream_attempt& attempt) override;

private:
    class pool;
    class watchdog;

    upstream_answer exchange(const upstream_attempt& attempt);

    const std::uint64_t answer_bytes_;
    metrics& metrics_;
    std::unique_ptr<pool> pool_;
    std::unique_ptr<watchdog> watchdog_;
};

} // namespace limpetstack
