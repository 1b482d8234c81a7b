// Implements the part of `core_node` that exchanges consensus messages, pings
// and status with other hosts.
#include "daemon/fleet/core_node.hpp"

#include "coordination/member_rules.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr std::uint32_t retry_after_ms = 1000;

http_server_answer to_http(const forwarded_answer& answer)
{
    http_server_answer out;
    out.status = answer.not_leader() ? 503 : answer.status();
    out.body = answer.body();
    out.retry_after_ms =
        answer.not_leader() ? retry_after_ms : answer.retry_after_ms();
    return out;
}

} // namespace

void core_node::update_targets()
{
    std::set<std::string> targets(settings_.seeds.begin(),
                                  settings_.seeds.end());
    for (const auto& member : runner_->replica().log().members().members())
    {
        targets.insert(member.peer_address());
        replica_addresses_[member.id()] = member.peer_address();
    }
    targets.insert(learned_addresses_.begin(), learned_addresses_.end());
    targets.erase(settings_.peer_address);
    links_->set_targets(targets);
}

void core_node::send_message(const wire::consensus_message& message)
{
    const auto* const member =
        find_member(runner_->replica().log().members(), message.to());
    const auto known = replica_addresses_.find(message.to());
    const auto address = member != nullptr ? member->peer_address()
                         : known != replica_addresses_.end() ? known->second
                                                             : std::string();
    peer_frame frame;
    *frame.mutable_consensus() = message;
    links_->send(address, frame);
}

void core_node::on_consensus(const wire::consensus_message& message)
{
    if (!message.from_address().empty())
    {
        replica_addresses_[message.from()] = message.from_address();
        if (learned_addresses_.insert(message.from_address()).second)
        {
            update_targets();
        }
    }
    runner_->receive(message, boot_now());
    update_leadership();
    run_due_work();
}

void core_node::record_observed_host(const hello& from)
{
    if (!from.core())
    {
        return;
    }
    observed_hosts_[from.replica()] = {
        from.replica(),     from.name(), from.peer_address(),
        from.data_centre(), boot_now(),  from.applies_evacuations()};
    replica_addresses_[from.replica()] = from.peer_address();
    if (learned_addresses_.insert(from.peer_address()).second)
    {
        update_targets();
    }
}

void core_node::on_peer_frame(const std::shared_ptr<frame_connection>& from,
                              const peer_frame& frame)
{
    switch (frame.body_case())
    {
    case peer_frame::kPing:
    {
        record_observed_host(frame.ping().from());
        const bool known =
            std::any_of(status_subscribers_.begin(), status_subscribers_.end(),
                        [&](const auto& item)
                        {
                            return item.lock() == from;
                        });
        if (!known)
        {
            status_subscribers_.push_back(from);
        }
        peer_frame answer;
        *answer.mutable_status() = status();
        from->send(answer);
        break;
    }
    case peer_frame::kConsensus:
        on_consensus(frame.consensus());
        break;
    case peer_frame::kCall:
        serve_call(frame.call(),
                   [weak = std::weak_ptr<frame_connection>(from),
                    id = frame.call().id()](const forwarded_answer& answer)
                   {
                       if (const auto to = weak.lock())
                       {
                           peer_frame out;
                           *out.mutable_answer() = answer;
                           out.mutable_answer()->set_id(id);
                           to->send(out);
                       }
                   });
        break;
    default:
        break;
    }
}

void core_node::on_link_frame(const peer_frame& frame)
{
    if (frame.has_answer())
    {
        const auto found = forwarded_calls_.find(frame.answer().id());
        if (found != forwarded_calls_.end())
        {
            const auto respond = std::move(found->second.respond);
            forwarded_calls_.erase(found);
            respond(to_http(frame.answer()));
        }
    }
}

std::string core_node::leader_address() const
{
    const auto& replica = runner_->replica();
    if (replica.is_leader())
    {
        return settings_.peer_address;
    }
    const auto* const member =
        find_member(replica.log().members(), replica.leader());
    if (member != nullptr)
    {
        return member->peer_address();
    }
    const auto known = replica_addresses_.find(replica.leader());
    return replica.leader() == 0 || known == replica_addresses_.end()
               ? std::string()
               : known->second;
}

host_status core_node::status() const
{
    host_status out;
    out.set_term(runner_->replica().term());
    out.set_leader_address(leader_address());
    out.set_confirmed_leader(leadership_ != nullptr &&
                             runner_->replica().is_leader());
    for (const auto& member : runner_->replica().log().members().members())
    {
        out.add_members(member.peer_address());
    }
    if (document_)
    {
        out.set_document_version(document_->version);
        out.set_max_header_bytes(document_->limits.max_header_bytes);
        out.set_max_body_bytes(document_->limits.max_body_bytes);
        out.set_header_timeout_ms(document_->limits.header_timeout_ms);
        out.set_idle_timeout_ms(document_->limits.idle_timeout_ms);
    }
    return out;
}

void core_node::push_status()
{
    peer_frame frame;
    *frame.mutable_status() = status();
    auto& list = status_subscribers_;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [](const auto& item)
                              {
                                  const auto open = item.lock();
                                  return !open || !open->is_open();
                              }),
               list.end());
    for (const auto& item : list)
    {
        if (const auto to = item.lock())
        {
            to->send(frame);
        }
    }
}

} // namespace limpetstack::fleet
