#include "state/file_io.hpp"

#include "support/temporary_folder.hpp"

#include <gtest/gtest.h>

#include <cerrno>

namespace limpetstack
{
namespace
{

// Guards against disk errors that do not say which file, why and what to do.
TEST(file_io, error_names_the_file_the_reason_and_the_remedy)
{
    const auto full = file_error(ENOSPC, "write", "/data/log");
    EXPECT_TRUE(absl::IsResourceExhausted(full));
    EXPECT_NE(full.message().find("/data/log"), std::string::npos);
    EXPECT_NE(full.message().find("free space"), std::string::npos);
    const auto read_only = file_error(EROFS, "open", "/data/log");
    EXPECT_NE(read_only.message().find("mount it writable"), std::string::npos);
}

// Guards against a missing file that is taken for an empty one.
TEST(file_io, missing_file_is_not_found)
{
    const temporary_folder root;
    const auto status = read_whole_file(root.path("none")).status();
    EXPECT_TRUE(absl::IsNotFound(status));
}

} // namespace
} // namespace limpetstack
