#include "support/temporary_folder.hpp"

#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace limpetstack
{

temporary_folder::temporary_folder()
    : path_(std::filesystem::temp_directory_path().string() +
            "/limpetstack-XXXXXX")
{
    if (::mkdtemp(path_.data()) == nullptr)
    {
        std::abort();
    }
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string temporary_folder::path(const std::string& name) const
{
    return path_ + "/" + name;
}

file_size_limit::file_size_limit(unsigned long bytes)
    : previous_(0)
{
    (void)std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    (void)::getrlimit(RLIMIT_FSIZE, &limit);
    previous_ = limit.rlim_cur;
    limit.rlim_cur = bytes;
    (void)::setrlimit(RLIMIT_FSIZE, &limit);
}

file_size_limit::~file_size_limit()
{
    rlimit limit{};
    (void)::getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = previous_;
    (void)::setrlimit(RLIMIT_FSIZE, &limit);
}

} // namespace limpetstack
