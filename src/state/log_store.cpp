#include "state/log_store.hpp"

#include "state/data_folder.hpp"
#include "state/log_records.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace limpetstack
{
namespace
{

constexpr char log_name[] = "control-log";
constexpr char hard_state_name[] = "control-hard-state";
constexpr char snapshot_name[] = "control-snapshot";

// Appends the tag and the length that precede the state in a serialized
// `install_snapshot`.
void append_state_header(std::size_t size, std::string& out)
{
    using google::protobuf::internal::WireFormatLite;
    constexpr auto tag =
        WireFormatLite::MakeTag(wire::install_snapshot::kStateFieldNumber,
                                WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
    google::protobuf::io::StringOutputStream bytes(&out);
    google::protobuf::io::CodedOutputStream coded(&bytes);
    coded.WriteVarint32(tag);
    coded.WriteVarint32(static_cast<std::uint32_t>(size));
}

// A record holds an append request: the position it follows and the entries.
std::string encode_entries(std::uint64_t previous_index,
                           std::uint64_t previous_term,
                           const std::vector<wire::log_entry>& entries)
{
    wire::append_request record;
    record.set_previous_index(previous_index);
    record.set_previous_term(previous_term);
    for (const auto& entry : entries)
    {
        *record.add_entries() = entry;
    }
    return encode_record(record.SerializeAsString());
}

// Adds a record's entries; returns false when they do not continue the log.
bool add_record(const std::string& payload, bool first, stored_log& log)
{
    wire::append_request record;
    if (!record.ParseFromString(payload))
    {
        return false;
    }
    if (first)
    {
        log.base_index = record.previous_index();
        log.base_term = record.previous_term();
    }
    if (record.previous_index() != log.base_index + log.entries.size())
    {
        return false;
    }
    for (auto& entry : *record.mutable_entries())
    {
        if (entry.index() != log.base_index + log.entries.size() + 1)
        {
            return false;
        }
        log.entries.push_back(std::move(entry));
    }
    return true;
}

absl::Status read_hard_state(const data_folder& folder, hard_state& state)
{
    const auto content = folder.read_checked_file(hard_state_name);
    if (!content.ok())
    {
        return absl::IsNotFound(content.status()) ? absl::OkStatus()
                                                  : content.status();
    }
    const std::vector<std::string> words = absl::StrSplit(*content, ' ');
    if (words.size() != 2 || !absl::SimpleAtoi(words[0], &state.term) ||
        !absl::SimpleAtoi(words[1], &state.vote))
    {
        return absl::DataLossError(absl::StrCat(
            folder.file_path(hard_state_name), " can not be read"));
    }
    return absl::OkStatus();
}

absl::Status read_snapshot(const data_folder& folder, log_snapshot& snapshot)
{
    wire::install_snapshot stored;
    {
        const auto content = folder.read_checked_file(snapshot_name);
        if (!content.ok())
        {
            return absl::IsNotFound(content.status()) ? absl::OkStatus()
                                                      : content.status();
        }
        if (!stored.ParseFromString(*content))
        {
            return absl::DataLossError(absl::StrCat(
                folder.file_path(snapshot_name), " can not be read"));
        }
    }
    snapshot = {stored.last_index(), stored.last_term(), stored.members(),
                std::move(*stored.mutable_state())};
    return absl::OkStatus();
}

// A crash between saving a received snapshot and replacing the log leaves a
// log that the snapshot supersedes. Returns true when it was dropped.
bool drop_superseded_entries(stored_log& log)
{
    const auto last = log.base_index + log.entries.size();
    const auto& snapshot = log.snapshot;
    if (snapshot.index < log.base_index)
    {
        return false;
    }
    const auto offset = snapshot.index - log.base_index;
    const auto matches =
        snapshot.index <= last &&
        (offset == 0 ? log.base_term : log.entries[offset - 1].term()) ==
            snapshot.term;
    if (matches)
    {
        return false;
    }
    log.base_index = snapshot.index;
    log.base_term = snapshot.term;
    log.entries.clear();
    return true;
}

} // namespace

log_store::log_store(const data_folder& folder)
    : folder_(folder)
    , path_(folder.file_path(log_name))
{
}

absl::StatusOr<std::unique_ptr<log_store>>
log_store::open(const data_folder& folder, stored_log& content)
{
    std::unique_ptr<log_store> store(new log_store(folder));
    if (auto status = store->load(content); !status.ok())
    {
        return status;
    }
    return store;
}

absl::Status log_store::load(stored_log& content)
{
    content = stored_log();
    if (auto status = read_hard_state(folder_, content.hard); !status.ok())
    {
        return status;
    }
    if (auto status = read_snapshot(folder_, content.snapshot); !status.ok())
    {
        return status;
    }
    if (auto status = read_entries(content); !status.ok())
    {
        if (!absl::IsNotFound(status))
        {
            return status;
        }
        // The log is created before the other files.
        return empty(content) ? rewrite(content)
                              : absl::DataLossError(absl::StrCat(
                                    path_, " is missing: restore it or erase "
                                           "the data folder"));
    }
    if (drop_superseded_entries(content))
    {
        return rewrite(content);
    }
    if (auto status = check(content); !status.ok())
    {
        return status;
    }
    return open_log(content);
}

absl::Status log_store::read_entries(stored_log& content)
{
    const auto data = folder_.read_file(log_name);
    if (!data.ok())
    {
        return data.status();
    }
    const auto decoded = decode_records(*data, path_);
    if (!decoded.ok())
    {
        return decoded.status();
    }
    for (std::size_t i = 0; i < decoded->payloads.size(); ++i)
    {
        if (!add_record(decoded->payloads[i], i == 0, content))
        {
            return absl::DataLossError(absl::StrCat(path_,
                                                    " has a gap at record ", i,
                                                    ": restore it or erase the "
                                                    "data folder"));
        }
    }
    if (decoded->valid_size == data->size())
    {
        return absl::OkStatus();
    }
    if (::truncate(path_.c_str(), static_cast<off_t>(decoded->valid_size)) != 0)
    {
        return file_error(errno, "truncate", path_);
    }
    const auto file = open_file(path_, O_WRONLY);
    return file.ok() ? sync_file(*file, path_) : file.status();
}

absl::Status log_store::reload_entries(stored_log& content)
{
    if (auto status = read_entries(content); !status.ok())
    {
        return status;
    }
    if (content.base_index + content.entries.size() != last_index_)
    {
        return absl::DataLossError(
            absl::StrCat(path_, " was changed by another program"));
    }
    return absl::OkStatus();
}

absl::Status log_store::check(const stored_log& content) const
{
    if (content.base_index > content.snapshot.index)
    {
        return absl::DataLossError(absl::StrCat(
            folder_.file_path(snapshot_name), " is missing or older than ",
            path_, ": restore it or erase the data folder"));
    }
    const auto& entries = content.entries;
    const auto last_term =
        entries.empty() ? content.base_term : entries.back().term();
    // The founding entry is written before the first hard state.
    const auto founding = content.hard == hard_state() &&
                          content.base_index + entries.size() == 1;
    if (content.hard.term < last_term && !founding)
    {
        return absl::DataLossError(absl::StrCat(
            folder_.file_path(hard_state_name), " is missing or older than ",
            path_, ": restore it or erase the data folder"));
    }
    return absl::OkStatus();
}

absl::Status log_store::open_log(const stored_log& content)
{
    auto file = open_file(path_, O_WRONLY | O_APPEND);
    if (!file.ok())
    {
        return file.status();
    }
    file_ = std::move(*file);
    const auto& entries = content.entries;
    last_index_ = content.base_index + entries.size();
    last_term_ = entries.empty() ? content.base_term : entries.back().term();
    return absl::OkStatus();
}

absl::Status log_store::rewrite(const stored_log& content)
{
    auto data = encode_entries(content.base_index, content.base_term, {});
    if (!content.entries.empty())
    {
        data += encode_entries(content.base_index, content.base_term,
                               content.entries);
    }
    if (auto status = folder_.replace_file(log_name, data); !status.ok())
    {
        return status;
    }
    return open_log(content);
}

absl::Status log_store::fail(absl::Status status)
{
    if (!status.ok() && status_.ok())
    {
        status_ = status;
    }
    return status;
}

absl::Status log_store::save_hard_state(const hard_state& state)
{
    if (!status_.ok())
    {
        return status_;
    }
    return fail(folder_.replace_checked_file(
        hard_state_name, absl::StrCat(state.term, " ", state.vote)));
}

absl::Status
log_store::append_record(const std::vector<wire::log_entry>& entries)
{
    const auto record = encode_entries(last_index_, last_term_, entries);
    if (auto status = write_all(file_, record, path_); !status.ok())
    {
        return status;
    }
    if (auto status = sync_file(file_, path_); !status.ok())
    {
        return status;
    }
    last_index_ = entries.back().index();
    last_term_ = entries.back().term();
    return absl::OkStatus();
}

absl::Status log_store::append(const std::vector<wire::log_entry>& entries)
{
    if (!status_.ok() || entries.empty())
    {
        return status_;
    }
    const auto first = entries.front().index();
    if (first == last_index_ + 1)
    {
        return fail(append_record(entries));
    }
    // A conflicting suffix is replaced together with its successor in one
    // atomic step, so that no crash can lose the entries before it.
    stored_log content;
    if (auto status = reload_entries(content); !status.ok())
    {
        return fail(status);
    }
    if (first <= content.base_index || first > last_index_ + 1)
    {
        return fail(absl::InternalError(
            absl::StrCat("entry ", first, " does not continue ", path_)));
    }
    content.entries.resize(first - content.base_index - 1);
    content.entries.insert(content.entries.end(), entries.begin(),
                           entries.end());
    return fail(rewrite(content));
}

absl::Status log_store::save_snapshot(const log_snapshot& snapshot)
{
    wire::install_snapshot stored;
    stored.set_last_index(snapshot.index);
    stored.set_last_term(snapshot.term);
    *stored.mutable_members() = snapshot.members;
    // The state follows in pieces: a copy of it in the message and another one
    // in its serialized form would take twice its size.
    auto begin = stored.SerializeAsString();
    append_state_header(snapshot.state.size(), begin);
    return folder_.replace_checked_file(snapshot_name,
                                        {begin, snapshot.state.str()});
}

absl::Status log_store::install(const log_snapshot& snapshot)
{
    if (!status_.ok())
    {
        return status_;
    }
    if (auto status = save_snapshot(snapshot); !status.ok())
    {
        return fail(status);
    }
    stored_log content;
    content.base_index = snapshot.index;
    content.base_term = snapshot.term;
    return fail(rewrite(content));
}

absl::Status log_store::compact(const log_snapshot& snapshot,
                                std::uint64_t first_retained)
{
    if (!status_.ok())
    {
        return status_;
    }
    if (auto status = save_snapshot(snapshot); !status.ok())
    {
        return fail(status);
    }
    stored_log content;
    if (auto status = reload_entries(content); !status.ok())
    {
        return fail(status);
    }
    if (first_retained > content.base_index + 1)
    {
        const auto dropped = first_retained - content.base_index - 1;
        const auto end =
            content.entries.begin() + static_cast<std::ptrdiff_t>(dropped);
        content.base_index = first_retained - 1;
        content.base_term = (end - 1)->term();
        content.entries.erase(content.entries.begin(), end);
    }
    return fail(rewrite(content));
}

} // namespace limpetstack
