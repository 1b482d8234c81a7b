#pragma once

#include "base/clock.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>

namespace limpetstack
{

/// Counts the bytes that the connections of one listener keep, against a limit.
/// When they exceed it, incomplete requests are refused, the one that keeps the
/// most first, so that small requests are still served. Thread-safe.
class connection_budget
{
public:
    /// What the budget knows of one connection. Its members belong to the
    /// budget.
    struct connection
    {
        int socket = -1;
        std::size_t kept_bytes = 0;
        bool reading = false; // Waits for the rest of a request.
        bool refused = false;
        time_point reading_since;
    };

    explicit connection_budget(std::size_t limit_bytes);

    void add(connection& item);

    /// Must be called before the connection's socket is closed.
    void remove(connection& item);

    /// Marks the begin and the end of the time in which the connection waits
    /// for the rest of a request and may be refused.
    void set_reading(connection& item, bool reading);

    /// Lets the connection keep `bytes` more. Returns false when its own
    /// request is refused.
    bool reserve(connection& item, std::size_t bytes);

    /// Releases everything that the connection keeps.
    void release(connection& item);

    /// Returns true when another connection needed the room or the thread.
    bool is_refused(const connection& item) const;

    /// Refuses the incomplete request that has been read for the longest time.
    /// Returns false when there is none.
    bool refuse_oldest();

    /// Counts the connections that wait for a thread to serve them.
    void add_waiting() { ++waiting_; }
    void remove_waiting() { --waiting_; }
    std::uint32_t waiting() const { return waiting_; }

    std::size_t used_bytes() const;
    std::size_t limit_bytes() const { return limit_; }

private:
    static void refuse(connection& item);

    const std::size_t limit_;
    std::atomic<std::uint32_t> waiting_{0};
    mutable std::mutex mutex_;
    std::condition_variable released_;
    std::size_t used_ = 0;
    std::set<connection*> connections_;
};

} // namespace limpetstack
