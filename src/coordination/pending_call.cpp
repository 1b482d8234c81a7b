#include "coordination/pending_call.hpp"

namespace limpetstack
{

bool pending_call::start()
{
    const std::lock_guard lock(mutex_);
    if (phase_ != phase::waiting)
    {
        return false;
    }
    phase_ = phase::started;
    return true;
}

void pending_call::finish(const wire::command_outcome& outcome)
{
    {
        const std::lock_guard lock(mutex_);
        if (phase_ == phase::finished || phase_ == phase::abandoned)
        {
            return;
        }
        phase_ = phase::finished;
        outcome_ = outcome;
    }
    changed_.notify_all();
}

wire::command_outcome pending_call::wait(milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout,
                      [this]
                      {
                          return phase_ == phase::finished;
                      });
    if (phase_ == phase::finished)
    {
        return outcome_;
    }
    const auto started = phase_ == phase::started;
    phase_ = phase::abandoned;
    return started ? make_outcome(wire::command_unknown,
                                  "timed out waiting for a majority")
                   : make_outcome(wire::command_unavailable,
                                  "timed out before the command was appended");
}

wire::command_outcome make_outcome(wire::command_code code,
                                   const std::string& message)
{
    wire::command_outcome outcome;
    outcome.set_code(code);
    outcome.set_message(message);
    return outcome;
}

} // namespace limpetstack
