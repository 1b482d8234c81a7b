#include "state/journal.hpp"

#include "peer.pb.h"
#include "state/request_id.hpp"
#include "support/fake_journal_store.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace limpetstack
{
namespace
{

std::string id_of(std::uint64_t number)
{
    return make_request_id("dc1", 1, static_cast<std::int64_t>(number), "a");
}

wire::journal_record request(std::uint64_t sequence, std::uint64_t issued_ms,
                             wire::request_phase phase = wire::request_started)
{
    wire::journal_record record;
    record.set_sequence(sequence);
    record.set_epoch(1);
    record.mutable_request()->set_id(id_of(issued_ms));
    record.mutable_request()->set_phase(phase);
    return record;
}

wire::journal_record job(std::uint64_t sequence, const std::string& id,
                         const std::string& state, std::int64_t finished_ms)
{
    wire::journal_record record;
    record.set_sequence(sequence);
    record.set_epoch(1);
    record.mutable_job()->set_id(id);
    record.mutable_job()->set_state(state);
    record.mutable_job()->set_finished_ms(finished_ms);
    return record;
}

std::unique_ptr<journal> opened(const std::shared_ptr<fake_disk>& disk)
{
    auto result = journal::open(std::make_unique<fake_journal_store>(disk), 7);
    EXPECT_TRUE(result.ok()) << result.status();
    return result.ok() ? *std::move(result) : nullptr;
}

// Guards against records, epochs or the store's identity lost by a restart.
TEST(journal, reopens_with_the_same_content)
{
    auto disk = std::make_shared<fake_disk>();
    const auto first = opened(disk);
    ASSERT_TRUE(
        first->append({request(1, 10), job(2, "j", "queued", 0)}, 5, 4).ok());
    ASSERT_TRUE(first->append({request(3, 10, wire::request_done)}, 5, 4).ok());
    const auto again = opened(disk);
    EXPECT_EQ(again->position(), first->position());
    EXPECT_EQ(again->position().store, 7U);
    EXPECT_EQ(again->position().last_sequence, 3U);
    EXPECT_EQ(again->position().promised_epoch, 5U);
    EXPECT_EQ(again->requests().find(id_of(10))->first.phase(),
              wire::request_done);
    EXPECT_EQ(again->jobs().find("j")->state(), "queued");
}

// Guards against a torn last record that stops the start, or that takes
// acknowledged records with it.
TEST(journal, truncates_a_torn_last_record_at_any_byte)
{
    auto disk = std::make_shared<fake_disk>();
    const auto first = opened(disk);
    ASSERT_TRUE(first->append({request(1, 10)}, 1, 1).ok());
    const auto whole = disk->bytes.size();
    ASSERT_TRUE(first->append({request(2, 11)}, 1, 1).ok());
    const auto bytes = disk->bytes;
    for (auto size = whole; size < bytes.size(); ++size)
    {
        auto torn = std::make_shared<fake_disk>();
        torn->bytes = bytes.substr(0, size);
        EXPECT_EQ(opened(torn)->position().last_sequence, 1U) << size;
        EXPECT_EQ(torn->bytes.size(), whole);
        // The file may have grown without its data.
        torn->bytes += std::string(bytes.size() - whole, '\0');
        EXPECT_EQ(opened(torn)->position().last_sequence, 1U) << size;
    }
}

// Guards against a damaged file that silently loses acknowledged records.
TEST(journal, reports_a_bad_record_before_the_end)
{
    auto disk = std::make_shared<fake_disk>();
    const auto first = opened(disk);
    ASSERT_TRUE(first->append({request(1, 10)}, 1, 1).ok());
    const auto offset = disk->bytes.size();
    ASSERT_TRUE(first->append({request(2, 11)}, 1, 1).ok());
    ASSERT_TRUE(first->append({request(3, 12)}, 1, 1).ok());
    const auto bytes = disk->bytes;
    const auto third = offset + (bytes.size() - offset) / 2;
    for (auto at = offset; at < third; ++at)
    {
        disk->bytes = bytes;
        disk->bytes[at] = static_cast<char>(disk->bytes[at] ^ 1);
        const auto result =
            journal::open(std::make_unique<fake_journal_store>(disk), 7);
        ASSERT_FALSE(result.ok()) << at;
        EXPECT_NE(result.status().message().find("fake: bad record at byte " +
                                                 std::to_string(offset)),
                  std::string::npos)
            << result.status();
    }
}

// Guards against writes after one whose effect on the disk is not known.
TEST(journal, writes_no_more_after_a_failed_write)
{
    auto disk = std::make_shared<fake_disk>();
    const auto first = opened(disk);
    disk->tear_next = true;
    EXPECT_FALSE(first->append({request(1, 10)}, 1, 1).ok());
    EXPECT_FALSE(first->writable());
    EXPECT_FALSE(first->requests().find(id_of(10)));
}

// Guards against journals of owner and copy that drop different records, and
// against running jobs that are dropped.
TEST(journal, retention_mark_drops_old_records)
{
    auto disk = std::make_shared<fake_disk>();
    const auto first = opened(disk);
    wire::journal_record mark;
    mark.set_sequence(6);
    mark.mutable_retention()->set_requests_before_ms(20);
    mark.mutable_retention()->set_jobs_before_ms(20);
    ASSERT_TRUE(
        first
            ->append({request(1, 19), request(2, 20), job(3, "old", "done", 19),
                      job(4, "new", "done", 20),
                      job(5, "running", "running", 0), mark},
                     1, 1)
            .ok());
    const auto again = opened(disk);
    for (const auto* content : {first.get(), again.get()})
    {
        EXPECT_FALSE(content->requests().find(id_of(19)));
        EXPECT_TRUE(content->requests().find(id_of(20)));
        EXPECT_FALSE(content->jobs().find("old"));
        EXPECT_TRUE(content->jobs().find("new"));
        EXPECT_TRUE(content->jobs().find("running"));
        EXPECT_EQ(content->position().requests_before_ms, 20);
    }
}

// Guards against a real file that loses content in a rewrite or a restart.
TEST(journal, keeps_its_content_in_a_folder_over_compaction)
{
    std::string folder =
        (std::filesystem::temp_directory_path() / "limpetstack-journal-XXXXXX")
            .string();
    ASSERT_NE(::mkdtemp(folder.data()), nullptr);
    journal_position position;
    {
        const auto file = *journal::open_folder(folder);
        auto record = request(1, 10);
        record.mutable_request()->set_answer(std::string(1U << 20U, 'x'));
        for (std::uint64_t i = 1; i <= 6; ++i)
        {
            record.set_sequence(i);
            ASSERT_TRUE(file->append({record}, 1, 1).ok());
        }
        EXPECT_TRUE(*file->compact_if_due());
        EXPECT_LT(file->file_bytes(), 2U << 20U);
        ASSERT_TRUE(file->append({request(7, 11)}, 1, 1).ok());
        position = file->position();
    }
    {
        const auto file = *journal::open_folder(folder);
        EXPECT_EQ(file->position(), position);
        EXPECT_EQ(file->requests().find(id_of(10))->first.answer().size(),
                  1U << 20U);
        EXPECT_TRUE(file->requests().find(id_of(11)));
    }
    std::ofstream(folder + "/journal", std::ios::trunc) << "";
    EXPECT_NE((*journal::open_folder(folder))->position().store,
              position.store);
    std::filesystem::remove_all(folder);
}

} // namespace
} // namespace limpetstack
