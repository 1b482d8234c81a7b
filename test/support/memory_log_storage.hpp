#pragma once

#include "state/log_storage.hpp"
#include "state/stored_log.hpp"

namespace limpetstack
{

/// Stores in memory what a replica has synced. A test retains it while the
/// replica crashes and restarts.
class memory_log_storage : public log_storage
{
public:
    absl::Status save_hard_state(const hard_state& state) override;
    absl::Status append(const std::vector<wire::log_entry>& entries) override;
    absl::Status install(const log_snapshot& snapshot) override;
    absl::Status compact(const log_snapshot& snapshot,
                         std::uint64_t first_retained) override;

    /// Lets `calls` more calls succeed and then makes every call fail, as a
    /// crash before the sync would. A negative number means that no call fails.
    void fail_after(int calls) { remaining_calls_ = calls; }

    const stored_log& content() const { return content_; }

private:
    absl::Status count_call();

    stored_log content_;
    int remaining_calls_ = -1;
};

} // namespace limpetstack
