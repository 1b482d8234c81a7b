#include "base/log_sink.hpp"

#include <fcntl.h>
#include <unistd.h>

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

void log_sink::write_some()
{
    if (buffer_.empty())
    {
        return;
    }
    // A full pipe or an interruption leaves the rest for the next call.
    const auto written = write(descriptor_, buffer_.data(), buffer_.size());
    if (written > 0)
    {
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace limpetstack
