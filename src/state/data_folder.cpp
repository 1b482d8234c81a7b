#include "state/data_folder.hpp"

#include "base/hash.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <sys/file.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <utility>

namespace limpetstack
{
namespace
{

constexpr char lock_name[] = "lock";
constexpr char identity_name[] = "replica-id";
constexpr char temporary_suffix[] = ".new";
constexpr std::size_t checksum_digits = 8;

absl::Status sync_directory(const std::string& path)
{
    const auto directory = open_file(path, O_RDONLY | O_DIRECTORY);
    return directory.ok() ? sync_file(*directory, path) : directory.status();
}

std::string parent_of(const std::string& path)
{
    auto folder = std::filesystem::absolute(path).lexically_normal();
    if (!folder.has_filename())
    {
        folder = folder.parent_path(); // The path ended with a separator.
    }
    return folder.parent_path().string();
}

// Creates a folder and those above it. Each new entry is made durable in its
// parent, or a crash could lose the folder with everything synced in it.
absl::Status create_directory(const std::string& path)
{
    std::error_code error;
    if (std::filesystem::is_directory(path, error))
    {
        return absl::OkStatus();
    }
    const auto parent = parent_of(path);
    if (parent != path)
    {
        if (auto status = create_directory(parent); !status.ok())
        {
            return status;
        }
    }
    std::filesystem::create_directory(path, error);
    return error ? file_error(error.value(), "create folder", path)
                 : sync_directory(parent);
}

absl::StatusOr<file_handle> lock_folder(const std::string& path)
{
    const auto lock_path = absl::StrCat(path, "/", lock_name);
    auto file = open_file(lock_path, O_RDWR | O_CREAT);
    if (!file.ok())
    {
        return file;
    }
    if (::flock(file->descriptor(), LOCK_EX | LOCK_NB) != 0)
    {
        if (errno == EWOULDBLOCK)
        {
            return absl::FailedPreconditionError(absl::StrCat(
                "data folder ", path,
                " is in use by another daemon: stop it or set another "
                "data_folder"));
        }
        return file_error(errno, "lock", lock_path);
    }
    return file;
}

// Returns true when the folder holds files of an earlier run.
bool holds_files(const std::string& path)
{
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(path, error))
    {
        const auto name = entry.path().filename().string();
        if (entry.is_regular_file(error) && name != lock_name &&
            !absl::EndsWith(name, temporary_suffix))
        {
            return true;
        }
    }
    return false;
}

std::string checksum(std::initializer_list<std::string_view> pieces)
{
    std::string digits(checksum_digits + 1, '\0');
    std::snprintf(digits.data(), digits.size(), "%08x", crc32c(pieces));
    digits.resize(checksum_digits);
    return digits;
}

std::uint64_t random_identity()
{
    std::uint64_t id = 0;
    while (id == 0)
    {
        const auto digits = random_hex(sizeof id);
        std::from_chars(digits.data(), digits.data() + digits.size(), id, 16);
    }
    return id;
}

} // namespace

data_folder::data_folder(std::string path, file_handle lock)
    : path_(std::move(path))
    , lock_(std::move(lock))
{
}

absl::StatusOr<std::unique_ptr<data_folder>>
data_folder::open(const std::string& path)
{
    if (auto status = create_directory(path); !status.ok())
    {
        return status;
    }
    auto lock = lock_folder(path);
    if (!lock.ok())
    {
        return lock.status();
    }
    std::unique_ptr<data_folder> folder(
        new data_folder(path, std::move(*lock)));
    if (auto status = folder->load_identity(); !status.ok())
    {
        return status;
    }
    return folder;
}

absl::Status data_folder::load_identity()
{
    const auto content = read_checked_file(identity_name);
    if (content.ok())
    {
        const auto* const end = content->data() + content->size();
        const auto result =
            std::from_chars(content->data(), end, replica_id_, 16);
        if (result.ec != std::errc() || result.ptr != end || replica_id_ == 0)
        {
            return absl::DataLossError(
                absl::StrCat(file_path(identity_name),
                             " does not hold a replica identity: restore it or "
                             "erase the data folder"));
        }
        return absl::OkStatus();
    }
    if (!absl::IsNotFound(content.status()))
    {
        return content.status();
    }
    if (holds_files(path_))
    {
        // A new identity over an old log would let one host vote twice.
        return absl::DataLossError(
            absl::StrCat("data folder ", path_, " holds files but no ",
                         identity_name, ": restore it or erase the folder"));
    }
    // An earlier start may have ended between creating and syncing the folder.
    if (auto status = sync_directory(parent_of(path_)); !status.ok())
    {
        return status;
    }
    replica_id_ = random_identity();
    return replace_checked_file(identity_name,
                                absl::StrCat(absl::Hex(replica_id_)));
}

std::string data_folder::file_path(const std::string& name) const
{
    return absl::StrCat(path_, "/", name);
}

absl::Status data_folder::replace_file(const std::string& name,
                                       std::string_view content) const
{
    return replace_pieces(name, "", {content});
}

absl::Status data_folder::replace_pieces(
    const std::string& name, std::string_view begin,
    std::initializer_list<std::string_view> pieces) const
{
    const auto path = file_path(name);
    const auto temporary = absl::StrCat(path, temporary_suffix);
    const auto file = open_file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.ok())
    {
        return file.status();
    }
    if (auto status = write_all(*file, begin, temporary); !status.ok())
    {
        return status;
    }
    for (const auto piece : pieces)
    {
        if (auto status = write_all(*file, piece, temporary); !status.ok())
        {
            return status;
        }
    }
    if (auto status = sync_file(*file, temporary); !status.ok())
    {
        return status;
    }
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
    {
        return file_error(errno, "replace", path);
    }
    return sync_directory(path_);
}

absl::StatusOr<std::string>
data_folder::read_file(const std::string& name) const
{
    return read_whole_file(file_path(name));
}

absl::Status data_folder::replace_checked_file(const std::string& name,
                                               std::string_view content) const
{
    return replace_checked_file(name, {content});
}

absl::Status data_folder::replace_checked_file(
    const std::string& name,
    std::initializer_list<std::string_view> pieces) const
{
    return replace_pieces(name, checksum(pieces), pieces);
}

absl::StatusOr<std::string>
data_folder::read_checked_file(const std::string& name) const
{
    auto content = read_file(name);
    if (!content.ok())
    {
        return content;
    }
    const auto stored = content->substr(0, checksum_digits);
    content->erase(0, checksum_digits);
    if (stored != checksum({*content}))
    {
        return absl::DataLossError(
            absl::StrCat(file_path(name), " is damaged: its checksum does not "
                                          "match; restore it or erase the data "
                                          "folder"));
    }
    return content;
}

} // namespace limpetstack
