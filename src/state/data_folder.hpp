#pragma once

#include "state/file_io.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace limpetstack
{

/// The folder that holds everything a daemon keeps on disk. One process at a
/// time may have it open. Calls for different files may come from several
/// threads.
class data_folder
{
public:
    /// Opens the folder, creates it when it does not exist, locks it and reads
    /// or creates its replica identity. Fails when another process has it open
    /// or when it holds files but no identity.
    static absl::StatusOr<std::unique_ptr<data_folder>>
    open(const std::string& path);

    const std::string& path() const { return path_; }

    /// Returns the random identity of this folder, never 0. An erased folder
    /// gets a new one.
    std::uint64_t replica_id() const { return replica_id_; }

    /// Returns the path of the file `name` in this folder.
    std::string file_path(const std::string& name) const;

    /// Replaces a file atomically and durably: after a crash it holds either
    /// the old content or the new one.
    absl::Status replace_file(const std::string& name,
                              std::string_view content) const;

    /// Returns a file's content; `kNotFound` when it does not exist.
    absl::StatusOr<std::string> read_file(const std::string& name) const;

    /// As `replace_file`, with a checksum before the content.
    absl::Status replace_checked_file(const std::string& name,
                                      std::string_view content) const;
    /// The content is the pieces, one behind the other.
    absl::Status
    replace_checked_file(const std::string& name,
                         std::initializer_list<std::string_view> pieces) const;

    /// Reads a file from `replace_checked_file`; `kDataLoss` when the checksum
    /// does not match.
    absl::StatusOr<std::string>
    read_checked_file(const std::string& name) const;

private:
    data_folder(std::string path, file_handle lock);
    absl::Status load_identity();
    absl::Status
    replace_pieces(const std::string& name, std::string_view begin,
                   std::initializer_list<std::string_view> pieces) const;

    std::string path_;
    file_handle lock_;
    std::uint64_t replica_id_ = 0;
};

} // namespace limpetstack
