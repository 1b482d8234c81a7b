#pragma once

#include <string>

namespace limpetstack
{

/// An empty folder for one test, removed at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    /// Returns the path of `name` in the folder.
    std::string path(const std::string& name) const;

private:
    std::string path_;
};

/// Limits the size of files that this process can write, so that writes fail
/// as on a full disk, until it is destroyed.
class file_size_limit
{
public:
    explicit file_size_limit(unsigned long bytes);
    ~file_size_limit();
    file_size_limit(const file_size_limit&) = delete;
    file_size_limit& operator=(const file_size_limit&) = delete;

private:
    unsigned long previous_;
};

} // namespace limpetstack
