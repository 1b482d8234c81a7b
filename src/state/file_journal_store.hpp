#pragma once

#include "state/journal_store.hpp"

#include <memory>
#include <string>

namespace limpetstack
{

/// Journal bytes in the file `journal` of a data folder.
class file_journal_store : public journal_store
{
public:
    /// Opens the file, and creates it when it is missing.
    static absl::StatusOr<std::unique_ptr<file_journal_store>>
    open(const std::string& folder);

    ~file_journal_store() override;
    file_journal_store(const file_journal_store&) = delete;
    file_journal_store& operator=(const file_journal_store&) = delete;

    absl::StatusOr<std::string> read() override;
    absl::Status append(std::string_view bytes) override;
    absl::Status truncate(std::uint64_t size) override;
    absl::Status replace(const std::function<std::string()>& next) override;
    std::string name() const override { return path_; }

private:
    file_journal_store(std::string folder, int file);
    absl::Status fail(const char* action, int error);

    std::string folder_;
    std::string path_;
    int file_;
    std::uint64_t size_ = 0;
    // A failed sync may have dropped pages that a later sync reports as
    // written, so that nothing may be written after it.
    bool broken_ = false;
};

} // namespace limpetstack
