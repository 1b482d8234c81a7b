#pragma once

#include "base/clock.hpp"
#include "coordination/recent_records.hpp"
#include "state/journal.hpp"

#include <functional>
#include <optional>
#include <string>

namespace limpetstack::wire
{
class journal_append;
class journal_append_response;
} // namespace limpetstack::wire

namespace limpetstack
{

class metrics;
class peer_network;

/// Where an owner sends its journal, and as what.
struct replication_target
{
    std::string host;
    std::string data_centre;
    std::string owner;
    std::uint64_t epoch = 0;
    std::uint64_t incarnation = 0;
    /// Store of the recorded copy; 0 for a candidate, whose store is learnt.
    std::uint64_t copy_store = 0;
    bool candidate = false;
};

struct send_result
{
    bool accepted = false;
    std::uint64_t acknowledged = 0; // Sequence, when accepted.
    std::uint64_t peer_epoch = 0;   // Highest epoch that the peer knows.
    bool peer_has_more = false;     // The recorded copy holds later records.
    std::string reason;
};

/// The whole content of a journal at one point.
struct journal_content
{
    journal_position position;
    std::vector<wire::journal_record> state;
};

/// Sends one journal to one peer, as the records it lacks or as a full copy.
/// Calls must not overlap.
class journal_sender
{
public:
    journal_sender(peer_network& network, metrics& counters,
                   const recent_records& recent,
                   std::function<journal_content()> content,
                   std::size_t message_bytes);

    /// Makes one step towards the target: asks where it is, sends records, or
    /// sends a full copy. `timeout` is for each message.
    send_result send(const replication_target& target, milliseconds timeout);

    /// Forgets where the peer is.
    void reset();

private:
    send_result send_records(const replication_target& target,
                             journal_point after,
                             std::vector<wire::journal_record> records,
                             milliseconds timeout);
    send_result send_full_copy(const replication_target& target,
                               milliseconds timeout);
    send_result evaluate(const replication_target& target,
                         const wire::journal_append_response& response);

    peer_network& network_;
    metrics& counters_;
    const recent_records& recent_;
    std::function<journal_content()> content_;
    const std::size_t message_bytes_; // Records in one message, about.
    std::string host_;
    std::optional<journal_point> peer_; // Last record of the peer.
    std::uint64_t peer_store_ = 0;
    bool needs_full_copy_ = false;
};

} // namespace limpetstack
