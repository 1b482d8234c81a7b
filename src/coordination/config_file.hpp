#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace limpetstack
{

/// The file in a daemon's data folder that holds the configuration in force.
class config_file
{
public:
    virtual ~config_file() = default;

    /// Returns the content, or nothing when the file does not exist.
    virtual absl::StatusOr<std::optional<std::string>> load() = 0;

    /// Replaces the content atomically; returns when it is synced to disk.
    virtual absl::Status save(const std::string& content) = 0;

    /// Returns the name that errors show.
    virtual std::string path() const = 0;
};

} // namespace limpetstack
