#pragma once

#include "state/log_storage.hpp"
#include "state/stored_log.hpp"

namespace limpetstack
{

/// Keeps what a replica has synced; it outlives the replica's crashes.
class memory_log_storage : public log_storage
{
public:
    absl::Status save_hard_state(const hard_state& state) override;
    absl::Status append(const std::vector<wire::log_entry>& entries) override;
    absl::Status install(const log_snapshot& snapshot) override;
    absl::Status compact(const log_snapshot& snapshot,
                         std::uint64_t first_retained) override;

    /// Makes the call after `calls` more ones fail, as a crash before the sync
    /// would; negative for never.
    void fail_after(int calls) { remaining_ = calls; }

    const stored_log& content() const { return content_; }

private:
    absl::Status admit();

    stored_log content_;
    int remaining_ = -1;
};

} // namespace limpetstack
