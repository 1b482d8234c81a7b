#include "coordination/consensus_driver.hpp"

#include "coordination/consensus.hpp"
#include "state/log_storage.hpp"

namespace limpetstack
{
namespace
{

absl::Status persist(const consensus_output& output, log_storage& storage)
{
    if (output.hard)
    {
        if (auto status = storage.save_hard_state(*output.hard); !status.ok())
        {
            return status;
        }
    }
    if (output.snapshot)
    {
        if (auto status = storage.install(*output.snapshot); !status.ok())
        {
            return status;
        }
    }
    return output.entries.empty() ? absl::OkStatus()
                                  : storage.append(output.entries);
}

} // namespace

absl::Status process_outputs(consensus& protocol, log_storage& storage,
                             const consensus_callbacks& callbacks)
{
    for (;;)
    {
        const auto output = protocol.take_output();
        if (empty(output))
        {
            callbacks.commit(output.commit);
            return absl::OkStatus();
        }
        if (auto status = persist(output, storage); !status.ok())
        {
            return status;
        }
        protocol.persisted();
        for (const auto& message : output.messages)
        {
            callbacks.send(message);
        }
        if (output.snapshot)
        {
            callbacks.restore(*output.snapshot);
        }
        callbacks.commit(output.commit);
        for (const auto& read : output.reads)
        {
            callbacks.confirm(read);
        }
    }
}

} // namespace limpetstack
