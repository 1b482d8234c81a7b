#pragma once

#include "base/clock.hpp"
#include "transport/bounded_stream.hpp"
#include "transport/http_listener.hpp"

#include <httplib.h>

#include <mutex>
#include <string>

namespace limpetstack
{

/// Refuses the request that this thread reads if its body is compressed: the
/// library would decompress it without a limit. Returns true when it did. The
/// server does so for each request, unless the pre-routing handler is replaced;
/// a new one has to call this function.
bool refuse_encoded_body(const httplib::Request& request);

/// The library's HTTP server with bounds on what clients make it keep: for each
/// connection (`bounded_stream`), for all of them (`connection_budget`), and on
/// their number.
class bounded_http_server : public httplib::Server
{
public:
    explicit bounded_http_server(const http_listener_options& options);

    /// Called for each connection beyond the limit. Closes the connection that
    /// has waited longest without a complete request; false when there is none.
    bool make_room_for_connection();

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(bounded_stream& stream);
    bool wait_for_request(const bounded_stream& stream) const;
    void report_refusal(const bounded_stream& stream);
    void report(const char* event, const char* counter, time_point& reported_at,
                const std::string& peer);

    stream_limits limits_;
    connection_budget budget_;
    metrics* counters_;
    std::mutex report_mutex_;
    time_point too_large_reported_at_;
    time_point budget_reported_at_;
    time_point connections_reported_at_;
};

} // namespace limpetstack
