#include "base/log_sink.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace limpetstack
{

log_sink::log_sink(int descriptor, std::size_t max_bytes,
                   std::size_t flush_bytes)
    : descriptor_(descriptor)
    , max_bytes_(max_bytes)
    , flush_bytes_(flush_bytes)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
    {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void log_sink::add(std::string_view line)
{
    const std::lock_guard lock(mutex_);
    if (buffer_.size() + line.size() > max_bytes_)
    {
        write_some();
    }
    if (buffer_.size() + line.size() > max_bytes_)
    {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_)
    {
        buffer_ += "event=log_lines_dropped count=" +
                   std::to_string(dropped_ - reported_) + "\n";
        reported_ = dropped_;
    }
    buffer_.append(line);
    if (buffer_.size() >= flush_bytes_)
    {
        write_some();
    }
}

void log_sink::flush()
{
    const std::lock_guard lock(mutex_);
    write_some();
}

std::uint64_t log_sink::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

std::size_t log_sink::buffered() const
{
    const std::lock_guard lock(mutex_);
    return buffer_.size();
}

// Writes whole lines in pieces that a pipe takes at once or not at all, so that
// a line is never cut.
void log_sink::write_some()
{
    std::size_t written = 0;
    while (written < buffer_.size())
    {
        auto size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
        if (const auto end = buffer_.rfind('\n', written + size - 1);
            end != std::string::npos && end >= written)
        {
            size = end + 1 - written;
        }
        // A full pipe or an interruption leaves the rest for the next call.
        const auto taken = write(descriptor_, buffer_.data() + written, size);
        if (taken <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(taken);
    }
    buffer_.erase(0, written);
}

} // namespace limpetstack
