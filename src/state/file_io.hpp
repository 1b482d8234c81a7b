#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace limpetstack
{

/// Owns an open file descriptor.
class file_handle
{
public:
    file_handle() = default;
    explicit file_handle(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~file_handle();
    file_handle(file_handle&& other) noexcept;
    file_handle& operator=(file_handle&& other) noexcept;

    int descriptor() const { return descriptor_; }

private:
    int descriptor_ = -1;
};

/// Returns the error of a failed system call: what was done, the file, the
/// system's reason and, for a full or read-only disk, what to do about it.
absl::Status file_error(int error, const std::string& action,
                        const std::string& path);

/// Opens a file, closed on exec. `flags` are those of open(2).
absl::StatusOr<file_handle> open_file(const std::string& path, int flags);

/// Writes all of `data` at the descriptor's position.
absl::Status write_all(const file_handle& file, std::string_view data,
                       const std::string& path);

/// Makes the file's content durable. After an error the content is undefined,
/// because the system may drop pages that it could not write: a second call
/// can succeed without them.
absl::Status sync_file(const file_handle& file, const std::string& path);

/// Returns a file's content; `kNotFound` when it does not exist.
absl::StatusOr<std::string> read_whole_file(const std::string& path);

} // namespace limpetstack
