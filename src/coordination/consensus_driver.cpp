#include "coordination/consensus_driver.hpp"

#include "coordination/consensus.hpp"
#include "state/log_storage.hpp"

namespace limpetstack
{
namespace
{

absl::Status save(const consensus_output& output, log_storage& storage)
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

absl::Status process_outputs(consensus& core, log_storage& storage,
                             const consensus_callbacks& effects)
{
    for (;;)
    {
        const auto output = core.take_output();
        if (empty(output))
        {
            effects.commit(output.commit);
            return absl::OkStatus();
        }
        if (auto status = save(output, storage); !status.ok())
        {
            return status;
        }
        core.persisted();
        for (const auto& message : output.messages)
        {
            effects.send(message);
        }
        if (output.snapshot)
        {
            effects.restore(*output.snapshot);
        }
        effects.commit(output.commit);
        for (const auto& read : output.reads)
        {
            effects.confirm(read);
        }
    }
}

} // namespace limpetstack
