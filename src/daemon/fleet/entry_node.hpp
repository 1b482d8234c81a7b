#pragma once

#include "coordination/fleet/call_forwarder.hpp"
#include "daemon/fleet/node_settings.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_links.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace limpetstack::fleet
{

/// A host without a disk. It accepts callers' requests and forwards them to the
/// leader, and holds no state that must survive a restart. All calls must come
/// from the thread that runs `io`.
class entry_node
{
public:
    entry_node(boost::asio::io_context& io, const node_settings& settings,
               const std::string& deadline_header, metrics& counters);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Opens the listeners. Returns false when an address can not be used.
    bool start();

    /// Applies changed settings; only changes of the seeds take effect.
    void reload(const node_settings& settings);

    /// Reports to the balancer that this host is not ready, and closes
    /// connections as they become idle.
    void stop();

    /// Returns true when the host is stopping, the balancer sends no more
    /// calls, and no caller waits or is connected.
    bool is_idle() const;

private:
    void accept_call(http_server_request request,
                     const http_responder& respond);
    void on_frame(const std::string& address, const peer_frame& frame);
    void on_status(const std::string& address, const host_status& status);
    void on_link(const std::string& address, bool up);
    void update_targets();
    void schedule_check();
    void check();

    boost::asio::io_context& io_;
    node_settings settings_;
    std::unique_ptr<peer_links> links_;
    call_forwarder forwarder_;
    http_server caller_server_;
    http_server readiness_server_;
    boost::asio::steady_timer timer_;
    // Peer addresses of the group's members, as hosts have reported them.
    std::set<std::string> core_addresses_;
    std::uint64_t document_version_ = 0;
    bool stopping_ = false;
    time_point stopped_at_;
    // Is reset by the destructor; timer handlers that run later do nothing.
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet
