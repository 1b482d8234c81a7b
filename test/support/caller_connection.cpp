#include "support/caller_connection.hpp"

#include "support/client_crowd.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <utility>

namespace limpetstack::test
{
namespace
{

// Only ends a failed test.
constexpr std::chrono::seconds answer_limit{30};

} // namespace

caller_connection::caller_connection(std::string address)
    : address_(std::move(address))
{
}

caller_connection::~caller_connection()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
    }
}

int caller_connection::call(const std::string& request)
{
    if (socket_ < 0)
    {
        socket_ = connect_to(address_, answer_limit);
        received_.clear();
    }
    std::size_t sent = 0;
    while (socket_ >= 0 && sent < request.size())
    {
        const auto count = ::send(socket_, request.data() + sent,
                                  request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    const int status = socket_ >= 0 ? read_status() : 0;
    if (status == 0 && socket_ >= 0)
    {
        ::close(std::exchange(socket_, -1));
    }
    return status;
}

int caller_connection::read_status()
{
    constexpr std::size_t status_at = sizeof "HTTP/1.1 " - 1;
    constexpr char length_field[] = "Content-Length: ";
    char buffer[16384];
    for (;;)
    {
        const auto end = received_.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            const auto length = received_.find(length_field);
            const auto size =
                end + 4 +
                (length < end ? std::strtoull(received_.c_str() + length +
                                                  sizeof length_field - 1,
                                              nullptr, 10)
                              : 0);
            if (received_.size() >= size)
            {
                const int status = std::atoi(received_.c_str() + status_at);
                received_.erase(0, size);
                return status;
            }
        }
        const auto count = ::recv(socket_, buffer, sizeof buffer, 0);
        if (count <= 0)
        {
            return 0;
        }
        received_.append(buffer, static_cast<std::size_t>(count));
    }
}

} // namespace limpetstack::test
