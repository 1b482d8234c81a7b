#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace limpetstack::test
{

/// What each client of a crowd sends: `begin`, and then `repeat` again and
/// again until `bytes` have been sent.
struct crowd_input
{
    std::string begin;
    std::string repeat;
    std::size_t bytes = 0; // In total; `begin` is always sent whole.
};

/// Connections to one listener that send as fast as the receiver takes it and
/// read nothing. All are served by the calling thread.
class client_crowd
{
public:
    /// Connects `size` clients to `address` (IP:port).
    client_crowd(const std::string& address, int size, crowd_input input);
    ~client_crowd(); // Closes the connections.
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Sends until every client has sent its input or was disconnected, or the
    /// receiver has taken nothing for two seconds. Calls `observe` meanwhile.
    /// Returns the number of bytes sent.
    std::size_t send(const std::function<void()>& observe);

private:
    struct client
    {
        int socket = -1;
        std::size_t sent = 0;
        bool ended = false; // Has sent its input or was disconnected.
    };

    std::size_t advance(client& item) const;

    const crowd_input input_;
    std::string repeated_; // Several times `repeat`, so that calls are few.
    std::vector<client> clients_;
};

/// Highest values seen of a process.
struct process_usage
{
    std::size_t resident_bytes = 0;
    std::size_t descriptors = 0;

    /// Takes a sample of `pid`; a process that has ended uses nothing.
    void sample(pid_t pid);

    /// Takes samples until the highest values have hardly risen for two
    /// seconds.
    void sample_until_steady(pid_t pid);
};

/// Connects to `address` (IP:port) and limits each later operation to
/// `timeout`. Returns the socket, or -1 when the connection is not accepted.
int connect_to(const std::string& address, std::chrono::milliseconds timeout);

/// Sends `request` on a connection of its own and returns the status code of
/// the answer if it arrives whole within `timeout`, else 0.
int call_status(const std::string& address, const std::string& request,
                std::chrono::milliseconds timeout = std::chrono::seconds(5));

} // namespace limpetstack::test
