// Implements the part of `core_node` that exchanges consensus messages, pings
// and status with other hosts.
#include "daemon/fleet/core_node.hpp"

#include "coordination/member_rules.hpp"
#include "transport/address.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr std::uint32_t retry_after_ms = 1000;

// Core hosts that are remembered, which are called as well. A group has at most
// 7 voters; others are learners and successors.
constexpr std::size_t max_learned_hosts = 64;

// A host that has been silent for this long may be forgotten.
constexpr milliseconds host_memory{60000};

// Names and addresses in an introduction are shorter.
constexpr std::size_t max_hello_text_bytes = 255;

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
    for (const auto& [address, heard_at] : learned_addresses_)
    {
        targets.insert(address);
    }
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
        learn_host(message.from(), message.from_address());
    }
    runner_->receive(message, boot_now());
    update_leadership();
    run_due_work();
}

// Remembers where a core host is. Anybody can introduce hosts, and each is
// called, so that only a limited number is remembered beside the members of the
// group. Returns false when there are too many.
bool core_node::learn_host(std::uint64_t replica, const std::string& address)
{
    if (address.size() > max_hello_text_bytes || !parse_endpoint(address))
    {
        return false;
    }
    const auto now = boot_now();
    const bool known = learned_addresses_.count(address) > 0 &&
                       replica_addresses_.count(replica) > 0;
    if (!known)
    {
        forget_silent_hosts(now);
        if (learned_addresses_.size() >= max_learned_hosts ||
            replica_addresses_.size() >= max_learned_hosts + max_voters)
        {
            counters_.add("hosts_ignored_total");
            return false;
        }
    }
    replica_addresses_[replica] = address;
    const bool added = learned_addresses_.count(address) == 0;
    learned_addresses_[address] = now;
    if (added)
    {
        update_targets();
    }
    return true;
}

void core_node::forget_silent_hosts(time_point now)
{
    for (auto at = learned_addresses_.begin(); at != learned_addresses_.end();)
    {
        at = now - at->second > host_memory ? learned_addresses_.erase(at)
                                            : std::next(at);
    }
    const auto& members = runner_->replica().log().members();
    for (auto at = replica_addresses_.begin(); at != replica_addresses_.end();)
    {
        const bool needed = find_member(members, at->first) != nullptr ||
                            learned_addresses_.count(at->second) > 0;
        at = needed ? std::next(at) : replica_addresses_.erase(at);
    }
    for (auto at = observed_hosts_.begin(); at != observed_hosts_.end();)
    {
        at = now - at->second.last_ping > host_memory
                 ? observed_hosts_.erase(at)
                 : std::next(at);
    }
}

void core_node::record_observed_host(const hello& from)
{
    if (!from.core() || from.name().size() > max_hello_text_bytes ||
        from.data_centre().size() > max_hello_text_bytes ||
        !learn_host(from.replica(), from.peer_address()))
    {
        return;
    }
    observed_hosts_[from.replica()] = {
        from.replica(),     from.name(), from.peer_address(),
        from.data_centre(), boot_now(),  from.applies_evacuations()};
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
            drop_closed_subscribers();
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

void core_node::drop_closed_subscribers()
{
    auto& list = status_subscribers_;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [](const auto& item)
                              {
                                  const auto open = item.lock();
                                  return !open || !open->is_open();
                              }),
               list.end());
}

void core_node::push_status()
{
    peer_frame frame;
    *frame.mutable_status() = status();
    drop_closed_subscribers();
    for (const auto& item : status_subscribers_)
    {
        if (const auto to = item.lock())
        {
            to->send(frame);
        }
    }
}

} // namespace limpetstack::fleet
