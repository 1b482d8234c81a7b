#include "transport/connection_budget.hpp"

#include <sys/socket.h>

#include <chrono>

namespace limpetstack
{
namespace
{

// Refused requests end as soon as their threads run.
constexpr std::chrono::milliseconds release_timeout{200};

} // namespace

connection_budget::connection_budget(std::size_t limit_bytes)
    : limit_(limit_bytes)
{
}

void connection_budget::add(connection& item)
{
    const std::lock_guard lock(mutex_);
    connections_.insert(&item);
}

void connection_budget::remove(connection& item)
{
    release(item);
    const std::lock_guard lock(mutex_);
    connections_.erase(&item);
}

void connection_budget::set_reading(connection& item, bool reading)
{
    const std::lock_guard lock(mutex_);
    if (reading && !item.reading)
    {
        item.reading_since = steady_now();
    }
    item.reading = reading;
}

bool connection_budget::reserve(connection& item, std::size_t bytes)
{
    std::unique_lock lock(mutex_);
    // Refused requests still count until their threads release them.
    std::size_t expected = 0;
    for (const auto* const other : connections_)
    {
        expected += other->refused ? 0 : other->kept_bytes;
    }
    while (!item.refused && expected + bytes > limit_)
    {
        // The connection itself is a candidate with the bytes it asks for.
        auto* largest = &item;
        auto most = item.kept_bytes + bytes;
        for (auto* const other : connections_)
        {
            if (other->reading && !other->refused && other->kept_bytes > most)
            {
                largest = other;
                most = other->kept_bytes;
            }
        }
        expected -= largest->kept_bytes;
        refuse(*largest);
    }
    const bool fits =
        !item.refused && released_.wait_for(lock, release_timeout,
                                            [&]
                                            {
                                                return item.refused ||
                                                       used_ + bytes <= limit_;
                                            });
    if (!fits || item.refused)
    {
        refuse(item);
        return false;
    }
    item.kept_bytes += bytes;
    used_ += bytes;
    return true;
}

void connection_budget::release(connection& item)
{
    {
        const std::lock_guard lock(mutex_);
        used_ -= item.kept_bytes;
        item.kept_bytes = 0;
    }
    released_.notify_all();
}

bool connection_budget::is_refused(const connection& item) const
{
    const std::lock_guard lock(mutex_);
    return item.refused;
}

bool connection_budget::refuse_oldest()
{
    const std::lock_guard lock(mutex_);
    connection* oldest = nullptr;
    for (auto* const item : connections_)
    {
        if (item->reading && !item->refused &&
            (oldest == nullptr || item->reading_since < oldest->reading_since))
        {
            oldest = item;
        }
    }
    if (oldest == nullptr)
    {
        return false;
    }
    refuse(*oldest);
    return true;
}

// Wakes the thread that reads from the connection.
void connection_budget::refuse(connection& item)
{
    item.refused = true;
    ::shutdown(item.socket, SHUT_RD);
}

std::size_t connection_budget::used_bytes() const
{
    const std::lock_guard lock(mutex_);
    return used_;
}

} // namespace limpetstack
