#pragma once

#include "base/metrics.hpp"
#include "daemon/fleet/node_settings.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_links.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace limpetstack::fleet
{

/// A host without a disk: takes callers' requests and passes them on to the
/// leader. It keeps no state that must survive. For the thread that runs `io`.
class entry_node
{
public:
    entry_node(boost::asio::io_context& io, const node_settings& settings,
               const std::string& deadline_header, metrics& counters);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// Opens the listeners; false when an address can not be used.
    bool start();

    void reload(const node_settings& settings);

    /// Tells the balancer to send nothing more and closes connections as they
    /// become idle.
    void stop();

    /// Returns true when no caller waits or is connected any more.
    bool is_idle() const;

private:
    struct pending_call
    {
        fleet::forwarded_call call;
        http_responder respond;
        time_point arrived;
        time_point until;    // When the caller's time is over.
        std::string sent_to; // Leader's address; empty while it waits for one.
        bool was_sent = false;
    };

    void take_call(http_server_request request, http_responder respond);
    void send_pending(std::uint64_t id);
    void send_waiting();
    void answer(std::uint64_t id, http_server_answer out, const char* reason);
    void give_up(std::uint64_t id, const char* reason);
    void on_frame(const std::string& address, const peer_frame& frame);
    void on_status(const std::string& address, const host_status& status);
    void on_link(const std::string& address, bool up);
    void update_targets();
    void schedule_check();
    void check();

    boost::asio::io_context& io_;
    node_settings settings_;
    metrics& counters_;
    std::unique_ptr<peer_links> links_;
    http_server callers_;
    http_server ready_;
    boost::asio::steady_timer timer_;
    std::set<std::string> members_;
    std::string leader_; // Peer address of the confirmed leader.
    std::uint64_t leader_term_ = 0;
    std::uint64_t document_version_ = 0;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t next_call_ = 1;
    bool stopping_ = false;
    time_point stopped_at_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet
