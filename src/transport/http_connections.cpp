#include "transport/http_connections.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "transport/http_session.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Clients must not be able to fill the log.
constexpr milliseconds report_interval{1000};

} // namespace

http_connections::http_connections(std::string deadline_header_name,
                                   http_handler request_handler)
    : deadline_header(std::move(deadline_header_name))
    , handler(std::move(request_handler))
{
}

void http_connections::add(http_session& session)
{
    sessions_.insert(&session);
}

void http_connections::remove(http_session& session)
{
    sessions_.erase(&session);
}

void http_connections::set_capacity(const http_server_capacity& capacity)
{
    budget_ = input_budget(capacity.kept_bytes);
    max_connections_ = capacity.connections;
}

bool http_connections::reserve(http_session& session, std::size_t before,
                               std::size_t after)
{
    while (!budget_.fits(before, after))
    {
        // The session itself is a candidate with the bytes that it asks for.
        auto* largest = &session;
        auto most = after;
        for (auto* const item : sessions_)
        {
            if (item != &session && item->is_reading() &&
                item->kept_bytes() > most)
            {
                largest = item;
                most = item->kept_bytes();
            }
        }
        report("input_budget_exhausted",
               "requests_refused_total{reason=\"input_budget\"}",
               refusal_reported_at_, largest->peer());
        largest->refuse();
        if (largest == &session)
        {
            return false;
        }
    }
    budget_.change(before, after);
    return true;
}

void http_connections::record(std::size_t before, std::size_t after)
{
    budget_.change(before, after);
}

void http_connections::make_room_for_connection()
{
    while (sessions_.size() >= max_connections_)
    {
        http_session* oldest = nullptr;
        for (auto* const item : sessions_)
        {
            if (item->is_reading() &&
                (oldest == nullptr ||
                 item->reading_since() < oldest->reading_since()))
            {
                oldest = item;
            }
        }
        if (oldest == nullptr)
        {
            return; // All connections have a request in progress.
        }
        report("connection_limit_reached",
               "connections_closed_total{reason=\"connection_limit\"}",
               eviction_reported_at_, oldest->peer());
        oldest->disconnect();
        sessions_.erase(oldest);
    }
}

void http_connections::report_too_large(const std::string& peer)
{
    report("request_too_large", "requests_refused_total{reason=\"too_large\"}",
           too_large_reported_at_, peer);
}

// Counts the event, and logs it unless it was logged a short time ago.
void http_connections::report(const char* event, const char* counter,
                              time_point& reported_at, const std::string& peer)
{
    if (counters != nullptr)
    {
        counters->add(counter);
    }
    const auto now = boot_now();
    if (now - reported_at < report_interval)
    {
        return;
    }
    reported_at = now;
    log_event(log_level::warning, event,
              {{"peer", peer},
               {"kept_bytes", absl::StrCat(budget_.used())},
               {"limit_bytes", absl::StrCat(budget_.limit())},
               {"connections", absl::StrCat(sessions_.size())}});
}

} // namespace limpetstack
