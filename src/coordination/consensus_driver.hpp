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

/// What happens to the results of the protocol once they are durable.
struct consensus_callbacks
{
    std::function<void(const wire::consensus_message&)> send;
    std::function<void(const log_snapshot&)> restore;
    std::function<void(std::uint64_t)> commit; // Entries up to this index.
    std::function<void(const confirmed_read&)> confirm;
};

/// Carries out everything the protocol asks for, until it asks for nothing
/// more. State is durable before any effect that depends on it; after a storage
/// error no effect happens and `core` must not be used again.
absl::Status process_outputs(consensus& core, log_storage& storage,
                             const consensus_callbacks& effects);

} // namespace limpetstack
