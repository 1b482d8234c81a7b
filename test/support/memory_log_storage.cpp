#include "support/memory_log_storage.hpp"

namespace limpetstack
{

absl::Status memory_log_storage::count_call()
{
    if (remaining_calls_ > 0)
    {
        --remaining_calls_;
    }
    else if (remaining_calls_ == 0)
    {
        return absl::UnavailableError("crashed before the sync");
    }
    return absl::OkStatus();
}

absl::Status memory_log_storage::save_hard_state(const hard_state& state)
{
    auto status = count_call();
    if (status.ok())
    {
        content_.hard = state;
    }
    return status;
}

absl::Status
memory_log_storage::append(const std::vector<wire::log_entry>& entries)
{
    auto status = count_call();
    if (status.ok())
    {
        auto& stored = content_.entries;
        stored.resize(entries.front().index() - content_.base_index - 1);
        stored.insert(stored.end(), entries.begin(), entries.end());
    }
    return status;
}

absl::Status memory_log_storage::install(const log_snapshot& snapshot)
{
    auto status = count_call();
    if (status.ok())
    {
        content_ = {content_.hard, snapshot, snapshot.index, snapshot.term, {}};
    }
    return status;
}

absl::Status memory_log_storage::compact(const log_snapshot& snapshot,
                                         std::uint64_t first_retained)
{
    auto status = count_call();
    if (status.ok())
    {
        content_.snapshot = snapshot;
        while (content_.base_index + 1 < first_retained)
        {
            content_.base_term = content_.entries.front().term();
            content_.entries.erase(content_.entries.begin());
            ++content_.base_index;
        }
    }
    return status;
}

} // namespace limpetstack
