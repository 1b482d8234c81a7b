#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace limpetstack
{

/// Writes lines to a descriptor without ever waiting for its reader: lines are
/// kept in bounded memory while it does not read, and dropped and counted when
/// that is full. Calls may come from several threads.
class log_sink
{
public:
    /// Makes `descriptor` non-blocking. `flush_bytes` is how much is collected
    /// before a write.
    log_sink(int descriptor, std::size_t max_bytes, std::size_t flush_bytes);

    void add(std::string_view line);

    /// Writes what the reader takes now.
    void flush();

    std::uint64_t dropped() const;
    std::size_t buffered() const;

private:
    void write_some();

    const int descriptor_;
    const std::size_t max_bytes_;
    const std::size_t flush_bytes_;
    mutable std::mutex mutex_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace limpetstack
