#pragma once

#include "base/clock.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace limpetstack::wire
{
class command_outcome;
class control_command;
class members_response;
} // namespace limpetstack::wire

namespace limpetstack
{

class peer_network;

/// Sends commands to the leader of the control group, wherever it is.
class control_client
{
public:
    /// The control group's part on this host; empty functions when this host
    /// has none.
    struct local_member
    {
        std::function<bool()> leads;
        std::function<wire::command_outcome(const wire::control_command&,
                                            milliseconds)>
            propose;
        std::function<wire::members_response()> members;
    };

    /// `voters` are the other hosts that the settings name as voters.
    control_client(peer_network& network, std::vector<std::string> voters,
                   local_member local);

    /// Tries until the command has an outcome or `timeout` has passed. The
    /// outcome is command_unavailable only when no attempt can have been
    /// appended, command_unknown when one may have been. The replicated state
    /// recognizes repeated attempts by the command's request id.
    wire::command_outcome submit(const wire::control_command& command,
                                 milliseconds timeout);

    /// Returns the members as the leader sees them, or as any voter does when
    /// no leader answers; no members when nobody answers.
    wire::members_response members(milliseconds timeout);

private:
    std::string find_leader(milliseconds timeout);
    void remember_leader(const std::string& host);

    peer_network& network_;
    const std::vector<std::string> voters_;
    const local_member local_;
    std::mutex mutex_;
    std::string leader_; // Host that answered last as the leader.
};

/// Returns the host of the leader that `members` names, or nothing.
std::string leader_host(const wire::members_response& members);

} // namespace limpetstack
