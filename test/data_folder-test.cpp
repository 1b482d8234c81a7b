#include "state/data_folder.hpp"

#include "support/temporary_folder.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace limpetstack
{
namespace
{

// Guards against two daemons that write one folder.
TEST(data_folder, second_opening_fails_and_names_the_folder)
{
    const temporary_folder root;
    const auto path = root.path("new/data");
    auto first = data_folder::open(path);
    ASSERT_TRUE(first.ok());
    const auto second = data_folder::open(path);
    EXPECT_TRUE(absl::IsFailedPrecondition(second.status()));
    EXPECT_NE(second.status().message().find(path), std::string::npos);
    first->reset();
    EXPECT_TRUE(data_folder::open(path).ok());
}

// Guards against an identity that changes on restart, and against one that
// survives the erasure of the folder.
TEST(data_folder, identity_lasts_until_the_folder_is_erased)
{
    const temporary_folder root;
    const auto path = root.path("data");
    const auto id = (*data_folder::open(path))->replica_id();
    EXPECT_NE(id, 0U);
    EXPECT_EQ((*data_folder::open(path))->replica_id(), id);
    std::filesystem::remove_all(path);
    EXPECT_NE((*data_folder::open(path))->replica_id(), id);
}

// Guards against a new identity over an old log, which could vote twice.
TEST(data_folder, lost_or_damaged_identity_is_an_error)
{
    const temporary_folder root;
    const auto path = root.path("data");
    ASSERT_TRUE((*data_folder::open(path))->replace_file("log", "x").ok());
    std::ofstream(path + "/replica-id") << "00000000deadbeef";
    EXPECT_TRUE(absl::IsDataLoss(data_folder::open(path).status()));
    std::filesystem::remove(path + "/replica-id");
    const auto status = data_folder::open(path).status();
    EXPECT_TRUE(absl::IsDataLoss(status));
    EXPECT_NE(status.message().find(path), std::string::npos);
}

// Guards against half-written files and against damage that goes unnoticed.
TEST(data_folder, checked_file_is_replaced_whole_and_damage_is_found)
{
    const temporary_folder root;
    const auto folder = std::move(*data_folder::open(root.path("data")));
    EXPECT_TRUE(absl::IsNotFound(folder->read_checked_file("a").status()));
    ASSERT_TRUE(folder->replace_checked_file("a", "first").ok());
    ASSERT_TRUE(folder->replace_checked_file("a", "second").ok());
    EXPECT_EQ(*folder->read_checked_file("a"), "second");
    std::ofstream(folder->file_path("a"), std::ios::app) << "x";
    const auto status = folder->read_checked_file("a").status();
    EXPECT_TRUE(absl::IsDataLoss(status));
    EXPECT_NE(status.message().find(folder->file_path("a")), std::string::npos);
}

// Guards against a full disk that destroys the old content or is reported
// without the file's name.
TEST(data_folder, full_disk_keeps_the_old_content_and_names_the_file)
{
    const temporary_folder root;
    const auto folder = std::move(*data_folder::open(root.path("data")));
    ASSERT_TRUE(folder->replace_file("a", "old").ok());
    absl::Status status;
    {
        const file_size_limit limit(100);
        status = folder->replace_file("a", std::string(1000, 'x'));
    }
    EXPECT_FALSE(status.ok());
    EXPECT_NE(status.message().find(folder->file_path("a")), std::string::npos);
    EXPECT_NE(status.message().find("free space"), std::string::npos);
    EXPECT_EQ(*folder->read_file("a"), "old");
}

} // namespace
} // namespace limpetstack
