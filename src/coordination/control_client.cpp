#include "coordination/control_client.hpp"

#include "coordination/peer_network.hpp"

#include <peer.pb.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace limpetstack
{
namespace
{

constexpr milliseconds query_timeout{300};
constexpr milliseconds retry_pause{50};

milliseconds left(time_point deadline)
{
    return std::max(milliseconds(1), deadline - steady_now());
}

wire::command_outcome unanswered(bool maybe_appended)
{
    wire::command_outcome outcome;
    outcome.set_code(maybe_appended ? wire::command_unknown
                                    : wire::command_unavailable);
    outcome.set_message(
        maybe_appended
            ? "the control group did not confirm the command; send it again "
              "with the same request id"
            : "no leader of the control group can be reached; nothing was "
              "changed");
    return outcome;
}

bool final_code(wire::command_code code)
{
    return code == wire::command_accepted || code == wire::command_conflict ||
           code == wire::command_invalid;
}

} // namespace

std::string leader_host(const wire::members_response& members)
{
    for (const auto& member : members.members().members())
    {
        if (member.id() == members.leader())
        {
            return member.host();
        }
    }
    return "";
}

control_client::control_client(peer_network& network,
                               std::vector<std::string> voters,
                               local_member local)
    : network_(network)
    , voters_(std::move(voters))
    , local_(std::move(local))
{
}

void control_client::remember_leader(const std::string& host)
{
    const std::lock_guard lock(mutex_);
    leader_ = host;
}

std::string control_client::find_leader(milliseconds timeout)
{
    {
        const std::lock_guard lock(mutex_);
        if (!leader_.empty())
        {
            return leader_;
        }
    }
    auto found = leader_host(members(timeout));
    if (std::find(voters_.begin(), voters_.end(), found) == voters_.end())
    {
        return "";
    }
    remember_leader(found);
    return found;
}

wire::members_response control_client::members(milliseconds timeout)
{
    const auto deadline = steady_now() + timeout;
    wire::members_response best;
    if (local_.members)
    {
        best = local_.members();
        if (local_.leads())
        {
            return best;
        }
    }
    for (const auto& host : voters_)
    {
        if (steady_now() >= deadline)
        {
            break;
        }
        const auto answer = network_.read_members(
            host, std::min(query_timeout, left(deadline)));
        if (!answer.ok() || answer->members().members().empty())
        {
            continue;
        }
        if (leader_host(*answer) == host)
        {
            return *answer;
        }
        if (answer->term() >= best.term())
        {
            best = *answer;
        }
    }
    return best;
}

wire::command_outcome
control_client::submit(const wire::control_command& command,
                       milliseconds timeout)
{
    const auto deadline = steady_now() + timeout;
    bool maybe_appended = false;
    while (steady_now() < deadline)
    {
        wire::command_outcome outcome;
        if (local_.leads && local_.leads())
        {
            outcome = local_.propose(command, left(deadline));
            maybe_appended |= outcome.code() == wire::command_unknown;
        }
        else
        {
            const auto host = find_leader(left(deadline));
            if (host.empty())
            {
                std::this_thread::sleep_for(retry_pause);
                continue;
            }
            const auto answer = network_.propose(host, command, left(deadline));
            maybe_appended |=
                !answer.ok() || answer->code() == wire::command_unknown;
            if (!answer.ok() || !final_code(answer->code()))
            {
                remember_leader("");
                std::this_thread::sleep_for(retry_pause);
                continue;
            }
            outcome = *answer;
        }
        if (final_code(outcome.code()))
        {
            return outcome;
        }
        std::this_thread::sleep_for(retry_pause);
    }
    return unanswered(maybe_appended);
}

} // namespace limpetstack
