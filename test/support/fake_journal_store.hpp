#pragma once

#include "state/journal_store.hpp"

#include <memory>
#include <string>

namespace limpetstack
{

/// What a fake store keeps over a crash.
struct fake_disk
{
    std::string bytes;
    bool fail_writes = false;
    bool tear_next = false; // The next append is cut in the middle, and fails.
};

class fake_journal_store : public journal_store
{
public:
    explicit fake_journal_store(std::shared_ptr<fake_disk> disk)
        : disk_(std::move(disk))
    {
    }

    absl::StatusOr<std::string> read() override { return disk_->bytes; }

    absl::Status append(std::string_view bytes) override
    {
        if (disk_->tear_next)
        {
            disk_->tear_next = false;
            disk_->fail_writes = true;
            disk_->bytes += bytes.substr(0, bytes.size() / 2);
        }
        if (disk_->fail_writes)
        {
            return absl::UnavailableError("fake: no write");
        }
        disk_->bytes += bytes;
        return absl::OkStatus();
    }

    absl::Status truncate(std::uint64_t size) override
    {
        disk_->bytes.resize(size);
        return absl::OkStatus();
    }

    absl::Status replace(const std::function<std::string()>& next) override
    {
        if (disk_->fail_writes)
        {
            return absl::UnavailableError("fake: no write");
        }
        std::string bytes;
        for (auto piece = next(); !piece.empty(); piece = next())
        {
            bytes += piece;
        }
        disk_->bytes = bytes;
        return absl::OkStatus();
    }

    std::string name() const override { return "fake"; }

private:
    std::shared_ptr<fake_disk> disk_;
};

} // namespace limpetstack
