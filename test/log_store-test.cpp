#include "state/log_store.hpp"

#include "state/data_folder.hpp"
#include "support/temporary_folder.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace limpetstack
{
namespace
{

wire::log_entry make_entry(std::uint64_t index, std::uint64_t term,
                           const std::string& payload)
{
    wire::log_entry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_kind(wire::entry_command);
    entry.set_payload(payload);
    return entry;
}

std::vector<wire::log_entry>
make_entries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    std::vector<wire::log_entry> entries;
    for (auto i = first; i <= last; ++i)
    {
        entries.push_back(make_entry(i, term, "entry" + std::to_string(i)));
    }
    return entries;
}

class log_store_test : public testing::Test
{
protected:
    log_store_test()
        : folder_(std::move(*data_folder::open(root_.path("data"))))
    {
    }

    // Closes the log and reads it again, as a restart does.
    absl::Status reopen()
    {
        store_.reset();
        auto opened = log_store::open(*folder_, stored_);
        if (opened.ok())
        {
            store_ = std::move(*opened);
        }
        return opened.status();
    }

    void write_ten_entries()
    {
        ASSERT_TRUE(reopen().ok());
        ASSERT_TRUE(store_->save_hard_state({3, 7}).ok());
        for (std::uint64_t i = 1; i <= 10; ++i)
        {
            ASSERT_TRUE(store_->append(make_entries(i, i, 3)).ok());
        }
    }

    std::string log_path() const { return folder_->file_path("control-log"); }

    void damage(std::uint64_t offset) const
    {
        std::fstream file(log_path(),
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(static_cast<std::streamoff>(offset));
        file.put('\xFF');
    }

    // NOLINTBEGIN(readability-identifier-naming): fixtures share members.
    temporary_folder root_;
    std::unique_ptr<data_folder> folder_;
    std::unique_ptr<log_store> store_;
    stored_log stored_;
    // NOLINTEND(readability-identifier-naming)
};

// Guards against a restart that loses entries, terms or votes.
TEST_F(log_store_test, restart_returns_everything)
{
    write_ten_entries();
    ASSERT_TRUE(reopen().ok());
    EXPECT_EQ(stored_.hard, (hard_state{3, 7}));
    ASSERT_EQ(stored_.entries.size(), 10U);
    EXPECT_EQ(stored_.entries.back().payload(), "entry10");
}

// Guards against a torn last record that stops the start or loses others.
TEST_F(log_store_test, torn_last_record_is_truncated_at_every_length)
{
    write_ten_entries();
    const auto whole = std::filesystem::file_size(log_path());
    const auto content = *folder_->read_file("control-log");
    ASSERT_TRUE(reopen().ok());
    ASSERT_TRUE(store_->append(make_entries(11, 13, 3)).ok());
    const auto longer = *folder_->read_file("control-log");
    for (auto size = whole; size < longer.size(); ++size)
    {
        ASSERT_TRUE(
            folder_->replace_file("control-log", longer.substr(0, size)).ok());
        ASSERT_TRUE(reopen().ok());
        EXPECT_EQ(stored_.entries.size(), 10U);
        EXPECT_EQ(*folder_->read_file("control-log"), content);
    }
    ASSERT_TRUE(store_->append(make_entries(11, 11, 3)).ok());
    ASSERT_TRUE(reopen().ok());
    EXPECT_EQ(stored_.entries.size(), 11U);
}

// Guards against damage in the middle of the log that silently shortens it.
TEST_F(log_store_test, bad_record_before_the_end_names_file_and_offset)
{
    write_ten_entries();
    const auto content = *folder_->read_file("control-log");
    const auto record = content.size() / 2;
    for (std::uint64_t i = 0; i < 60; ++i)
    {
        ASSERT_TRUE(folder_->replace_file("control-log", content).ok());
        damage(record - 30 + i);
        const auto status = reopen();
        EXPECT_TRUE(absl::IsDataLoss(status)) << i;
        EXPECT_NE(status.message().find(log_path()), std::string::npos);
        EXPECT_NE(status.message().find("offset "), std::string::npos);
    }
}

// Guards against a conflicting suffix that stays beside its replacement.
TEST_F(log_store_test, conflicting_suffix_is_replaced)
{
    write_ten_entries();
    ASSERT_TRUE(store_->save_hard_state({4, 0}).ok());
    ASSERT_TRUE(store_->append({make_entry(6, 4, "newer")}).ok());
    ASSERT_TRUE(store_->append({make_entry(7, 4, "next")}).ok());
    ASSERT_TRUE(reopen().ok());
    ASSERT_EQ(stored_.entries.size(), 7U);
    EXPECT_EQ(stored_.entries[4].term(), 3U);
    EXPECT_EQ(stored_.entries[5].payload(), "newer");
    EXPECT_EQ(stored_.entries[6].payload(), "next");
}

// Guards against a snapshot that loses entries it does not cover, and against
// a log that grows without bound.
TEST_F(log_store_test, compaction_keeps_the_entries_after_it)
{
    write_ten_entries();
    const auto before = std::filesystem::file_size(log_path());
    log_snapshot snapshot{8, 3, {}, "state"};
    snapshot.members.add_members()->set_id(5);
    ASSERT_TRUE(store_->compact(snapshot, 7).ok());
    EXPECT_LT(std::filesystem::file_size(log_path()), before);
    ASSERT_TRUE(store_->append(make_entries(11, 11, 3)).ok());
    ASSERT_TRUE(reopen().ok());
    EXPECT_EQ(stored_.base_index, 6U);
    EXPECT_EQ(stored_.base_term, 3U);
    EXPECT_EQ(stored_.snapshot.state, "state");
    EXPECT_EQ(stored_.snapshot.members.members(0).id(), 5U);
    ASSERT_EQ(stored_.entries.size(), 5U);
    EXPECT_EQ(stored_.entries.front().index(), 7U);
}

// Guards against old entries that come back after a received snapshot, also
// when the process died between the snapshot and the log.
TEST_F(log_store_test, received_snapshot_replaces_the_log)
{
    write_ten_entries();
    const auto old_log = *folder_->read_file("control-log");
    ASSERT_TRUE(store_->install({20, 3, {}, "state"}).ok());
    for (int i = 0; i < 2; ++i)
    {
        ASSERT_TRUE(reopen().ok());
        EXPECT_EQ(stored_.base_index, 20U);
        EXPECT_TRUE(stored_.entries.empty());
        ASSERT_TRUE(folder_->replace_file("control-log", old_log).ok());
    }
    ASSERT_TRUE(reopen().ok());
    ASSERT_TRUE(store_->append(make_entries(21, 22, 3)).ok());
    ASSERT_TRUE(reopen().ok());
    EXPECT_EQ(stored_.entries.size(), 2U);
}

// Guards against a replica that starts without one of its files and then
// forgets what it acknowledged.
TEST_F(log_store_test, missing_files_are_errors)
{
    for (const std::string name :
         {"control-log", "control-hard-state", "control-snapshot"})
    {
        std::filesystem::remove(folder_->file_path("control-snapshot"));
        std::filesystem::remove(folder_->file_path("control-hard-state"));
        std::filesystem::remove(folder_->file_path("control-log"));
        write_ten_entries();
        ASSERT_TRUE(store_->compact({8, 3, {}, "state"}, 7).ok());
        std::filesystem::remove(folder_->file_path(name));
        const auto status = reopen();
        EXPECT_TRUE(!status.ok()) << name;
        EXPECT_NE(status.message().find(folder_->file_path(name)),
                  std::string::npos)
            << status;
    }
}

// Guards against writes after a failed one, which could follow a gap.
TEST_F(log_store_test, refuses_writes_after_a_failure)
{
    write_ten_entries();
    absl::Status status;
    {
        const file_size_limit limit(std::filesystem::file_size(log_path()) + 9);
        status = store_->append(make_entries(11, 11, 3));
    }
    EXPECT_FALSE(status.ok());
    EXPECT_NE(status.message().find(log_path()), std::string::npos);
    EXPECT_EQ(store_->append(make_entries(11, 11, 3)), status);
    EXPECT_EQ(store_->save_hard_state({9, 9}), status);
    EXPECT_EQ(store_->compact({8, 3, {}, "state"}, 7), status);
    EXPECT_EQ(store_->install({20, 3, {}, "state"}), status);
    ASSERT_TRUE(reopen().ok());
    EXPECT_EQ(stored_.entries.size(), 10U);
    EXPECT_EQ(stored_.hard.term, 3U);
}

} // namespace
} // namespace limpetstack
