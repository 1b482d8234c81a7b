#pragma once

#include "state/file_io.hpp"
#include "state/log_storage.hpp"
#include "state/stored_log.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack
{

class data_folder;

/// The control log in a data folder: the files `control-log` (entries, a
/// CRC-32C per record, one record for each append), `control-hard-state` and
/// `control-snapshot`. For one thread.
class log_store : public log_storage
{
public:
    /// Opens the log and reads it into `content`. A torn last record is
    /// truncated; a bad record before the end is an error with file and
    /// offset.
    static absl::StatusOr<std::unique_ptr<log_store>>
    open(const data_folder& folder, stored_log& content);

    absl::Status save_hard_state(const hard_state& state) override;
    absl::Status append(const std::vector<wire::log_entry>& entries) override;
    absl::Status install(const log_snapshot& snapshot) override;
    absl::Status compact(const log_snapshot& snapshot,
                         std::uint64_t first_retained) override;

    /// Returns the error of the write that failed, if one did.
    const absl::Status& status() const { return status_; }

private:
    explicit log_store(const data_folder& folder);

    absl::Status load(stored_log& content);
    absl::Status read_entries(stored_log& content);
    absl::Status reload_entries(stored_log& content);
    absl::Status check(const stored_log& content) const;
    absl::Status rewrite(const stored_log& content);
    absl::Status append_record(const std::vector<wire::log_entry>& entries);
    absl::Status save_snapshot(const log_snapshot& snapshot);
    absl::Status open_log(const stored_log& content);
    absl::Status fail(absl::Status status);

    const data_folder& folder_;
    std::string path_;
    file_handle file_;
    std::uint64_t last_index_ = 0;
    std::uint64_t last_term_ = 0;
    absl::Status status_;
};

} // namespace limpetstack
