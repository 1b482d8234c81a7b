#include "state/journal.hpp"

#include "base/hash.hpp"
#include "peer.pb.h"
#include "state/file_journal_store.hpp"
#include "state/journal_frame.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace limpetstack
{
namespace
{

// Records of one frame when the whole state is written.
constexpr std::size_t records_per_frame = 256;

// Below this size a file is not worth rewriting.
constexpr std::uint64_t min_compaction_bytes = 4U << 20U;

wire::journal_header to_header(const journal_position& position)
{
    wire::journal_header header;
    header.set_store(position.store);
    header.set_incarnation(position.incarnation);
    header.set_promised_epoch(position.promised_epoch);
    header.set_complete_epoch(position.complete_epoch);
    header.set_last_sequence(position.last_sequence);
    header.set_last_epoch(position.last_epoch);
    auto& mark = *header.mutable_retention();
    mark.set_requests_before_ms(position.requests_before_ms);
    mark.set_jobs_before_ms(position.jobs_before_ms);
    return header;
}

journal_position to_position(const wire::journal_header& header)
{
    journal_position position;
    position.store = header.store();
    position.incarnation = header.incarnation();
    position.promised_epoch = header.promised_epoch();
    position.complete_epoch = header.complete_epoch();
    position.last_sequence = header.last_sequence();
    position.last_epoch = header.last_epoch();
    position.requests_before_ms = header.retention().requests_before_ms();
    position.jobs_before_ms = header.retention().jobs_before_ms();
    return position;
}

} // namespace

journal::journal(std::unique_ptr<journal_store> store)
    : store_(std::move(store))
{
}

absl::StatusOr<std::unique_ptr<journal>>
journal::open(std::unique_ptr<journal_store> store, std::uint64_t fresh_store)
{
    std::unique_ptr<journal> result(new journal(std::move(store)));
    if (auto status = result->load(fresh_store); !status.ok())
    {
        return status;
    }
    return result;
}

absl::StatusOr<std::unique_ptr<journal>>
journal::open_folder(const std::string& folder)
{
    const std::uint64_t fresh = stable_hash(random_hex(16)) | 1U;
    if (folder.empty())
    {
        return open(nullptr, fresh);
    }
    auto store = file_journal_store::open(folder);
    if (!store.ok())
    {
        return store.status();
    }
    return open(*std::move(store), fresh);
}

absl::Status journal::load(std::uint64_t fresh_store)
{
    if (!store_)
    {
        position_.store = fresh_store;
        return absl::OkStatus();
    }
    const auto bytes = store_->read();
    if (!bytes.ok())
    {
        return bytes.status();
    }
    const auto whole =
        read_frames(store_->name(), *bytes,
                    [this](const wire::journal_frame& frame)
                    {
                        for (const auto& record : frame.records())
                        {
                            apply(record);
                        }
                        if (frame.has_header())
                        {
                            position_ = to_position(frame.header());
                        }
                    });
    if (!whole.ok())
    {
        return whole.status();
    }
    file_bytes_ = *whole;
    if (*whole != bytes->size())
    {
        if (auto status = store_->truncate(*whole); !status.ok())
        {
            return status;
        }
    }
    if (position_.store != 0)
    {
        return absl::OkStatus();
    }
    position_.store = fresh_store;
    return rewrite(position_, {});
}

journal_position journal::position() const
{
    const std::lock_guard lock(mutex_);
    return position_;
}

bool journal::writable() const
{
    const std::lock_guard lock(mutex_);
    return writable_;
}

std::uint64_t journal::file_bytes() const
{
    const std::lock_guard lock(mutex_);
    return file_bytes_;
}

void journal::apply(const wire::journal_record& record)
{
    if (record.has_request())
    {
        requests_.put(record.sequence(), record.request());
    }
    else if (record.has_job())
    {
        jobs_.put(record.job());
    }
    const std::lock_guard lock(mutex_);
    if (record.has_retention())
    {
        auto& mark = record.retention();
        position_.requests_before_ms =
            std::max(position_.requests_before_ms, mark.requests_before_ms());
        position_.jobs_before_ms =
            std::max(position_.jobs_before_ms, mark.jobs_before_ms());
        requests_.drop_before(position_.requests_before_ms);
        jobs_.drop_finished_before(position_.jobs_before_ms);
    }
    position_.last_sequence = record.sequence();
    position_.last_epoch = record.epoch();
}

absl::Status journal::append(const std::vector<wire::journal_record>& records,
                             std::uint64_t promised_epoch,
                             std::uint64_t complete_epoch)
{
    auto next = position();
    const bool epochs_change = next.promised_epoch != promised_epoch ||
                               next.complete_epoch != complete_epoch;
    if (records.empty() && !epochs_change)
    {
        return absl::OkStatus();
    }
    wire::journal_frame frame;
    for (const auto& record : records)
    {
        if (record.sequence() != next.last_sequence + 1)
        {
            return absl::FailedPreconditionError(
                absl::StrCat("journal record ", record.sequence(), " after ",
                             next.last_sequence));
        }
        next.last_sequence = record.sequence();
        next.last_epoch = record.epoch();
        *frame.add_records() = record;
    }
    next.promised_epoch = promised_epoch;
    next.complete_epoch = complete_epoch;
    if (epochs_change)
    {
        // The mark of a record in this frame is applied before the header.
        for (const auto& record : records)
        {
            next.requests_before_ms =
                std::max(next.requests_before_ms,
                         record.retention().requests_before_ms());
            next.jobs_before_ms = std::max(next.jobs_before_ms,
                                           record.retention().jobs_before_ms());
        }
        *frame.mutable_header() = to_header(next);
    }
    if (store_)
    {
        const auto bytes = encode_frame(frame);
        auto status = store_->append(bytes);
        const std::lock_guard lock(mutex_);
        if (!status.ok())
        {
            writable_ = false;
            return status;
        }
        file_bytes_ += bytes.size();
    }
    for (const auto& record : records)
    {
        apply(record);
    }
    const std::lock_guard lock(mutex_);
    position_.promised_epoch = promised_epoch;
    position_.complete_epoch = complete_epoch;
    return absl::OkStatus();
}

absl::Status journal::rewrite(const journal_position& position,
                              const std::vector<wire::journal_record>& state)
{
    std::size_t written = 0;
    bool header_written = false;
    std::uint64_t bytes = 0;
    const auto next = [&]
    {
        wire::journal_frame frame;
        while (written < state.size() &&
               static_cast<std::size_t>(frame.records_size()) <
                   records_per_frame)
        {
            *frame.add_records() = state[written++];
        }
        if (frame.records_size() == 0)
        {
            if (header_written)
            {
                return std::string();
            }
            // Last, because every record moves the position.
            *frame.mutable_header() = to_header(position);
            header_written = true;
        }
        auto piece = encode_frame(frame);
        bytes += piece.size();
        return piece;
    };
    auto status = store_->replace(next);
    const std::lock_guard lock(mutex_);
    if (!status.ok())
    {
        writable_ = false;
        return status;
    }
    file_bytes_ = bytes;
    return absl::OkStatus();
}

absl::Status journal::replace(const journal_position& content,
                              const std::vector<wire::journal_record>& state)
{
    auto position = content;
    position.store = this->position().store;
    if (store_)
    {
        if (auto status = rewrite(position, state); !status.ok())
        {
            return status;
        }
    }
    requests_.clear();
    jobs_.clear();
    for (const auto& record : state)
    {
        apply(record);
    }
    const std::lock_guard lock(mutex_);
    position_ = position;
    return absl::OkStatus();
}

std::vector<wire::journal_record> journal::state() const
{
    std::vector<wire::journal_record> records;
    requests_.visit(
        [&](const std::string& id, const request_table::entry& entry)
        {
            auto& record = records.emplace_back();
            record.set_sequence(entry.sequence);
            record.mutable_request()->ParseFromString(entry.bytes);
            record.mutable_request()->set_id(id);
        });
    jobs_.visit(
        [&](const std::string&, const job_table::entry& entry)
        {
            records.emplace_back().mutable_job()->ParseFromString(entry.bytes);
        });
    return records;
}

absl::StatusOr<bool> journal::compact_if_due()
{
    const auto size = file_bytes();
    if (!store_ || size < min_compaction_bytes || !writable() ||
        size < 2 * (requests_.memory_bytes() + jobs_.memory_bytes()))
    {
        return false;
    }
    if (auto status = rewrite(position(), state()); !status.ok())
    {
        return status;
    }
    return true;
}

} // namespace limpetstack
