#include "state/file_journal_store.hpp"

#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace limpetstack
{
namespace
{

constexpr mode_t file_mode = 0600;

// Returns 0 or an errno value.
int write_all(int file, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written <= 0)
        {
            return written < 0 ? errno : EIO;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return 0;
}

int sync_folder(const std::string& folder)
{
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (handle < 0)
    {
        return errno;
    }
    const int error = ::fsync(handle) == 0 ? 0 : errno;
    ::close(handle);
    return error;
}

absl::Status file_error(const std::string& path, const char* action, int error)
{
    return absl::UnavailableError(
        absl::StrCat(path, ": ", action, " failed: ", std::strerror(error)));
}

} // namespace

absl::StatusOr<std::unique_ptr<file_journal_store>>
file_journal_store::open(const std::string& folder)
{
    const std::string path = folder + "/journal";
    const int file = ::open(path.c_str(),
                            O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (file < 0)
    {
        return file_error(path, "open", errno);
    }
    std::unique_ptr<file_journal_store> store(
        new file_journal_store(folder, file));
    if (const int error = sync_folder(folder); error != 0)
    {
        return file_error(path, "sync of the folder", error);
    }
    struct stat details
    {
    };
    if (::fstat(file, &details) != 0)
    {
        return file_error(path, "stat", errno);
    }
    store->size_ = static_cast<std::uint64_t>(details.st_size);
    return store;
}

file_journal_store::file_journal_store(std::string folder, int file)
    : folder_(std::move(folder))
    , path_(folder_ + "/journal")
    , file_(file)
{
}

file_journal_store::~file_journal_store()
{
    ::close(file_);
}

absl::Status file_journal_store::fail(const char* action, int error)
{
    broken_ = true;
    return file_error(path_, action, error);
}

absl::StatusOr<std::string> file_journal_store::read()
{
    std::string bytes(size_, '\0');
    std::size_t done = 0;
    while (done < bytes.size())
    {
        const auto count =
            ::pread(file_, bytes.data() + done, bytes.size() - done,
                    static_cast<off_t>(done));
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count <= 0)
        {
            return file_error(path_, "read", count < 0 ? errno : EIO);
        }
        done += static_cast<std::size_t>(count);
    }
    return bytes;
}

absl::Status file_journal_store::append(std::string_view bytes)
{
    if (broken_)
    {
        return absl::UnavailableError(
            path_ + ": no writes after an earlier write error");
    }
    if (const int error = write_all(file_, bytes); error != 0)
    {
        // A full disk may have taken a part of the record.
        if (::ftruncate(file_, static_cast<off_t>(size_)) != 0)
        {
            return fail("write", error);
        }
        return file_error(path_, "write", error);
    }
    if (::fdatasync(file_) != 0)
    {
        return fail("sync", errno);
    }
    size_ += bytes.size();
    return absl::OkStatus();
}

absl::Status file_journal_store::truncate(std::uint64_t size)
{
    if (::ftruncate(file_, static_cast<off_t>(size)) != 0)
    {
        return fail("truncate", errno);
    }
    if (::fsync(file_) != 0)
    {
        return fail("sync", errno);
    }
    size_ = size;
    return absl::OkStatus();
}

absl::Status
file_journal_store::replace(const std::function<std::string()>& next)
{
    if (broken_)
    {
        return absl::UnavailableError(
            path_ + ": no writes after an earlier write error");
    }
    const std::string fresh = path_ + ".new";
    const int file =
        ::open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
               file_mode);
    if (file < 0)
    {
        return file_error(fresh, "open", errno);
    }
    std::uint64_t size = 0;
    int error = 0;
    for (auto piece = next(); error == 0 && !piece.empty(); piece = next())
    {
        error = write_all(file, piece);
        size += piece.size();
    }
    if (error == 0 && ::fsync(file) != 0)
    {
        error = errno;
    }
    if (error == 0 && std::rename(fresh.c_str(), path_.c_str()) != 0)
    {
        error = errno;
    }
    if (error != 0)
    {
        ::close(file);
        ::unlink(fresh.c_str());
        return file_error(fresh, "replacement", error);
    }
    ::close(file_);
    file_ = file;
    size_ = size;
    if (const int failed = sync_folder(folder_); failed != 0)
    {
        return fail("sync of the folder", failed);
    }
    return absl::OkStatus();
}

} // namespace limpetstack
