#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <functional>

namespace limpetstack::wire
{
class consensus_message;
} // namespace limpetstack::wire

namespace limpetstack
{

class consensus;
class log_storage;
struct confirmed_read;
struct log_snapshot;

/// The callbacks that receive the results of the protocol once the state that
/// they depend on is durable.
struct consensus_callbacks
{
    std::function<void(const wire::consensus_message&)> send;
    // Replaces the applied state by that of a snapshot from the leader.
    std::function<void(const log_snapshot&)> restore;
    // Applies the entries up to this index, which are committed.
    std::function<void(std::uint64_t)> commit;
    std::function<void(const confirmed_read&)> confirm;
};

/// Takes outputs from the protocol and carries them out until none remain.
/// State is durable before any callback that depends on it is called. After a
/// storage error no callback is called and `protocol` must not be used again.
absl::Status process_outputs(consensus& protocol, log_storage& storage,
                             const consensus_callbacks& callbacks);

} // namespace limpetstack
