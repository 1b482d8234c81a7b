#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/call_sending.hpp"

#include "fleet.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace limpetstack
{
class metrics;
} // namespace limpetstack

namespace limpetstack::fleet
{

/// Forwards callers' calls from an entry host to the leader, and sends a call
/// again while its outcome is open. Not thread-safe.
class call_forwarder
{
public:
    /// Gets the answer to a call, or 503 or 504 without one.
    using responder = std::function<void(const forwarded_answer&)>;
    /// Queues a call on the connection to the host with the peer address.
    /// Returns false without a connection.
    using sender = std::function<bool(const std::string& address,
                                      const forwarded_call& call)>;

    /// `origin` identifies this process among all entry processes; not 0.
    call_forwarder(std::uint64_t origin, sender send, metrics& counters);

    /// Takes a call, whose id is set here. `time_left` is how long the caller
    /// waits; zero applies a default.
    void accept(forwarded_call call, milliseconds time_left, responder respond,
                time_point now);

    /// Records that the host leads in the term and is confirmed by a majority.
    void set_leader(const std::string& address, std::uint64_t term,
                    time_point now);

    /// Records that the host does not lead.
    void drop_leader(const std::string& address);

    /// Handles an answer that came on the current connection to the host.
    void on_answer(const std::string& address, const forwarded_answer& answer,
                   time_point now);

    /// Handles the end of a connection. What was sent on it may arrive later.
    void on_link_lost(const std::string& address);

    /// Ends calls whose time has passed and sends those that wait for a leader.
    /// To be called at least every 100 ms.
    void check(time_point now);

    /// Returns the peer address of the leader, empty if unknown.
    const std::string& leader() const { return leader_; }

    /// Returns the number of calls that are not answered.
    std::size_t pending() const { return calls_.size(); }

private:
    struct pending_call
    {
        forwarded_call call;
        responder respond;
        time_point arrived_at;
        time_point deadline;      // Latest time for an answer.
        time_point waiting_since; // When it last began to wait for a leader.
        std::vector<call_sending> sendings; // Oldest first.
    };

    void try_send(pending_call& item, time_point now);
    void send_waiting_calls(time_point now);
    void finish(std::uint64_t id, const forwarded_answer& answer,
                const char* reason, time_point now);
    void fail(std::uint64_t id, const char* reason, time_point now);

    const std::uint64_t origin_;
    sender send_;
    metrics& counters_;
    std::string leader_;
    std::uint64_t leader_term_ = 0;
    std::uint64_t lost_connections_ = 0;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t next_call_ = 1;
};

} // namespace limpetstack::fleet
