#pragma once

#include "base/clock.hpp"
#include "peer.pb.h"

#include <condition_variable>
#include <mutex>

namespace limpetstack
{

/// A call that one thread waits for and another one carries out. The carrying
/// thread calls `start` before the first lasting effect, so that a call that
/// timed out earlier is known not to have happened.
class pending_call
{
public:
    /// Returns false when the waiting thread has given up.
    bool start();

    /// Ends the call. Later calls of `finish` change nothing.
    void finish(const wire::command_outcome& outcome);

    /// Waits for the outcome: `command_unavailable` when the call was not
    /// started in time, `command_unknown` when it was but has not finished.
    wire::command_outcome wait(milliseconds timeout);

private:
    enum class phase
    {
        waiting,
        started,
        finished,
        abandoned
    };

    std::mutex mutex_;
    std::condition_variable changed_;
    phase phase_ = phase::waiting;
    wire::command_outcome outcome_;
};

/// Returns an outcome with a code and a message.
wire::command_outcome make_outcome(wire::command_code code,
                                   const std::string& message = "");

} // namespace limpetstack
