#include "state/file_io.hpp"

#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace limpetstack
{

file_handle::~file_handle()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
    }
}

file_handle::file_handle(file_handle&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

file_handle& file_handle::operator=(file_handle&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

absl::Status file_error(int error, const std::string& action,
                        const std::string& path)
{
    const char* advice = "";
    switch (error)
    {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
        advice = " (free space for the data folder, then restart)";
        break;
    case EROFS:
        advice = " (the file system is read-only: check the disk, mount it "
                 "writable, then restart)";
        break;
    case EACCES:
    case EPERM:
        advice = " (give the daemon's user access to the data folder)";
        break;
    case EIO:
        advice = " (check the disk; if it is lost, erase the data folder and "
                 "restart the host as a new member)";
        break;
    default:
        break;
    }
    return absl::ErrnoToStatus(
        error, absl::StrCat("can not ", action, " ", path, advice));
}

absl::StatusOr<file_handle> open_file(const std::string& path, int flags)
{
    file_handle file(::open(path.c_str(), flags | O_CLOEXEC, 0640)); // NOLINT
    if (file.descriptor() < 0)
    {
        return file_error(errno, "open", path);
    }
    return file;
}

absl::Status write_all(const file_handle& file, std::string_view data,
                       const std::string& path)
{
    while (!data.empty())
    {
        const auto written =
            ::write(file.descriptor(), data.data(), data.size());
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written <= 0)
        {
            return file_error(written < 0 ? errno : EIO, "write", path);
        }
        data.remove_prefix(static_cast<std::size_t>(written));
    }
    return absl::OkStatus();
}

absl::Status sync_file(const file_handle& file, const std::string& path)
{
    if (::fdatasync(file.descriptor()) != 0)
    {
        return file_error(errno, "sync", path);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::string> read_whole_file(const std::string& path)
{
    const auto file = open_file(path, O_RDONLY);
    if (!file.ok())
    {
        return file.status();
    }
    std::string content;
    std::array<char, 1U << 16U> buffer;
    for (;;)
    {
        const auto size =
            ::read(file->descriptor(), buffer.data(), buffer.size());
        if (size < 0 && errno == EINTR)
        {
            continue;
        }
        if (size < 0)
        {
            return file_error(errno, "read", path);
        }
        if (size == 0)
        {
            return content;
        }
        content.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

} // namespace limpetstack
