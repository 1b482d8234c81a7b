#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack::test
{

/// How a relay treats the bytes of a direction.
enum class link_state
{
    open,
    black_hole, // Nothing passes; bytes wait and arrive once the link is open.
    closed      // Connections are closed, new ones are refused.
};

/// Forwards TCP connections from a port of its own to a target, so that a test
/// can cut a link between two processes.
class relay
{
public:
    /// Listens at 127.0.0.1 on a free port; `target` is IP:port.
    explicit relay(std::string target);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// IP:port that forwards to the target.
    std::string address() const;

    /// Sets the state of the bytes to the target and of those back.
    void set(link_state forward, link_state backward);

private:
    struct connection
    {
        int client = -1;
        int server = -1;
        // Bytes read but not yet written, each direction.
        std::string to_server;
        std::string to_client;
    };

    void run();
    void accept_connection();
    bool serve(connection& open, short client_events, short server_events);
    bool move(int from, int to, std::string& pending, link_state state,
              short from_events, short to_events);
    void close_all();

    const std::string target_;
    int port_ = 0;
    int listener_ = -1;
    std::atomic<link_state> forward_{link_state::open};
    std::atomic<link_state> backward_{link_state::open};
    std::atomic<bool> stopping_{false};
    std::vector<connection> connections_;
    std::thread thread_;
};

} // namespace limpetstack::test
