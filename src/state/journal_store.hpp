#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace limpetstack
{

/// The durable bytes of a journal. Errors name the file.
class journal_store
{
public:
    virtual ~journal_store() = default;

    /// Returns all bytes.
    virtual absl::StatusOr<std::string> read() = 0;

    /// Adds bytes at the end and syncs them. After an error that leaves the
    /// stored bytes in doubt, every later call is refused.
    virtual absl::Status append(std::string_view bytes) = 0;

    /// Drops all bytes from `size` on and syncs.
    virtual absl::Status truncate(std::uint64_t size) = 0;

    /// Replaces all bytes by the pieces that `next` returns until it returns
    /// an empty one. After a crash either the old or the new bytes are there.
    virtual absl::Status replace(const std::function<std::string()>& next) = 0;

    virtual std::string name() const = 0;
};

} // namespace limpetstack
