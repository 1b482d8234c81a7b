#pragma once

#include "base/clock.hpp"
#include "transport/http_server.hpp"
#include "transport/input_budget.hpp"

#include <cstddef>
#include <set>
#include <string>

namespace limpetstack
{

class http_session;

/// What the connections of one listener share: its handler, its limits, and the
/// bytes that they keep. When these exceed the capacity, incomplete requests
/// are refused, the one that keeps the most first, so that small requests are
/// still served. For the thread that runs the listener.
class http_connections
{
public:
    http_connections(std::string deadline_header, http_handler handler);

    void add(http_session& session);
    void remove(http_session& session);

    /// Lets the session keep `after` bytes instead of `before`. Refuses
    /// incomplete requests until they fit. Returns false when the session's own
    /// request was refused.
    bool reserve(http_session& session, std::size_t before, std::size_t after);

    /// Records a change that is not refused: of requests in progress, of
    /// answers, and of what is released.
    void record(std::size_t before, std::size_t after);

    /// Closes connections without a complete request, the one that has waited
    /// longest first, until another one fits.
    void make_room_for_connection();

    void report_too_large(const std::string& peer);

    const std::string deadline_header;
    const http_handler handler;
    http_server_limits limits;
    bool draining = false;
    metrics* counters = nullptr;

    void set_capacity(const http_server_capacity& capacity);
    const input_budget& budget() const { return budget_; }
    const std::set<http_session*>& sessions() const { return sessions_; }

private:
    void report(const char* event, const char* counter, time_point& reported_at,
                const std::string& peer);

    input_budget budget_{http_server_capacity().kept_bytes};
    std::size_t max_connections_ = http_server_capacity().connections;
    std::set<http_session*> sessions_;
    time_point too_large_reported_at_;
    time_point refusal_reported_at_;
    time_point eviction_reported_at_;
};

} // namespace limpetstack
