#include "coordination/journal_sender.hpp"

#include "base/hash.hpp"
#include "base/metrics.hpp"
#include "coordination/peer_network.hpp"
#include "peer.pb.h"

namespace limpetstack
{
namespace
{

wire::journal_append message_to(const replication_target& target,
                                std::uint64_t store, journal_point previous)
{
    wire::journal_append message;
    message.set_data_centre(target.data_centre);
    message.set_epoch(target.epoch);
    message.set_incarnation(target.incarnation);
    message.set_owner(target.owner);
    message.set_candidate(target.candidate);
    message.set_copy_store(target.candidate ? store : target.copy_store);
    message.set_previous_sequence(previous.sequence);
    message.set_previous_epoch(previous.epoch);
    return message;
}

// The first record of a full copy carries what the journal has dropped.
wire::journal_record mark_of(const journal_position& position)
{
    wire::journal_record record;
    record.mutable_retention()->set_requests_before_ms(
        position.requests_before_ms);
    record.mutable_retention()->set_jobs_before_ms(position.jobs_before_ms);
    return record;
}

} // namespace

journal_sender::journal_sender(peer_network& network, metrics& counters,
                               const recent_records& recent,
                               std::function<journal_content()> content,
                               std::size_t message_bytes)
    : network_(network)
    , counters_(counters)
    , recent_(recent)
    , content_(std::move(content))
    , message_bytes_(message_bytes)
{
}

void journal_sender::reset()
{
    peer_.reset();
    peer_store_ = 0;
    needs_full_copy_ = false;
}

send_result journal_sender::send(const replication_target& target,
                                 milliseconds timeout)
{
    if (target.host != host_)
    {
        host_ = target.host;
        reset();
    }
    if (needs_full_copy_)
    {
        return send_full_copy(target, timeout);
    }
    if (!peer_)
    {
        // The answer tells where the peer is.
        return send_records(target, recent_.end(), {}, timeout);
    }
    auto records = recent_.after(*peer_, message_bytes_);
    if (!records)
    {
        return send_full_copy(target, timeout);
    }
    return send_records(target, *peer_, *std::move(records), timeout);
}

send_result journal_sender::send_records(
    const replication_target& target, journal_point after,
    std::vector<wire::journal_record> records, milliseconds timeout)
{
    auto message = message_to(target, peer_store_, after);
    message.set_owner_last(recent_.end().sequence);
    journal_point end = after;
    for (auto& record : records)
    {
        end = {record.sequence(), record.epoch()};
        *message.add_records() = std::move(record);
    }
    const auto response = network_.append(target.host, message, timeout);
    if (!response.ok())
    {
        return {false, 0, 0, false, std::string(response.status().message())};
    }
    auto result = evaluate(target, *response);
    if (result.accepted)
    {
        peer_ = end;
        result.acknowledged = end.sequence;
    }
    return result;
}

send_result
journal_sender::evaluate(const replication_target& target,
                         const wire::journal_append_response& response)
{
    send_result result;
    result.peer_epoch = response.epoch();
    result.reason = response.reason();
    const journal_point last{response.last_sequence(), response.last_epoch()};
    const bool same = response.incarnation() == target.incarnation;
    result.peer_has_more = same && !target.candidate &&
                           response.store() == target.copy_store &&
                           response.complete_epoch() == target.epoch &&
                           last.sequence > recent_.end().sequence;
    result.accepted = response.accepted() && response.epoch() == target.epoch &&
                      !result.peer_has_more;
    if (result.accepted)
    {
        return result;
    }
    peer_store_ = response.store();
    needs_full_copy_ = !same || !recent_.holds(last);
    peer_.reset();
    if (!needs_full_copy_)
    {
        peer_ = last;
    }
    return result;
}

send_result journal_sender::send_full_copy(const replication_target& target,
                                           milliseconds timeout)
{
    auto content = content_();
    const journal_point end{content.position.last_sequence,
                            content.position.last_epoch};
    const auto copy_id = stable_hash(random_hex(8));
    counters_.add("journal_full_copies_total");
    content.state.push_back(mark_of(content.position));
    std::size_t sent = 0;
    for (std::uint32_t part = 0; sent < content.state.size(); ++part)
    {
        auto message = message_to(target, peer_store_, end);
        message.set_full_copy(true);
        message.set_owner_last(end.sequence);
        message.set_copy_id(copy_id);
        message.set_part(part);
        for (std::size_t bytes = 0;
             sent < content.state.size() && bytes < message_bytes_; ++sent)
        {
            bytes += content.state[sent].ByteSizeLong();
            *message.add_records() = std::move(content.state[sent]);
        }
        message.set_last_part(sent == content.state.size());
        const auto response = network_.append(target.host, message, timeout);
        if (!response.ok())
        {
            return {false, 0, 0, false,
                    std::string(response.status().message())};
        }
        auto result = evaluate(target, *response);
        if (!result.accepted)
        {
            return result;
        }
    }
    needs_full_copy_ = false;
    peer_ = end;
    return {true, end.sequence, target.epoch, false, ""};
}

} // namespace limpetstack
