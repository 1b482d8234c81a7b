#include "support/client_crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace limpetstack::test
{
namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t send_size = 65536;

// Small, so that an answer that nobody reads stays with its sender.
constexpr int receive_buffer_bytes = 4096;

} // namespace

int connect_to(const std::string& address, std::chrono::milliseconds timeout)
{
    const auto colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
    {
        throw std::runtime_error("no descriptor is left for the test");
    }
    timeval limit{};
    limit.tv_sec = timeout.count() / 1000;
    limit.tv_usec = timeout.count() % 1000 * 1000;
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&target),
                  sizeof target) != 0)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

client_crowd::client_crowd(const std::string& address, int size,
                           crowd_input input)
    : input_(std::move(input))
{
    while (!input_.repeat.empty() && repeated_.size() < send_size)
    {
        repeated_ += input_.repeat;
    }
    for (int i = 0; i < size; ++i)
    {
        client item;
        item.socket = connect_to(address, std::chrono::seconds(1));
        if (item.socket < 0)
        {
            item.ended = true;
        }
        else
        {
            ::setsockopt(item.socket, SOL_SOCKET, SO_RCVBUF,
                         &receive_buffer_bytes, sizeof receive_buffer_bytes);
            ::fcntl(item.socket, F_SETFL, O_NONBLOCK);
        }
        clients_.push_back(item);
    }
}

client_crowd::~client_crowd()
{
    for (const auto& item : clients_)
    {
        if (item.socket >= 0)
        {
            ::close(item.socket);
        }
    }
}

// Sends one piece; returns the bytes that the connection took.
std::size_t client_crowd::advance(client& item) const
{
    const auto begin = input_.begin.size();
    const char* data = input_.begin.data() + item.sent;
    std::size_t size = begin - std::min(begin, item.sent);
    if (size == 0 && item.sent < input_.bytes && !input_.repeat.empty())
    {
        const auto at = (item.sent - begin) % input_.repeat.size();
        data = repeated_.data() + at;
        size = std::min(repeated_.size() - at, input_.bytes - item.sent);
    }
    if (size == 0)
    {
        item.ended = true;
        return 0;
    }
    const auto sent = ::send(item.socket, data, size, MSG_NOSIGNAL);
    if (sent < 0)
    {
        item.ended = errno != EAGAIN && errno != EINTR;
        return 0;
    }
    item.sent += static_cast<std::size_t>(sent);
    return static_cast<std::size_t>(sent);
}

std::size_t client_crowd::send(const std::function<void()>& observe)
{
    constexpr auto sample_interval = std::chrono::milliseconds(10);
    constexpr auto silence_limit = std::chrono::seconds(2);
    std::size_t total = 0;
    auto last_progress = clock::now();
    auto last_sample = clock::time_point();
    for (;;)
    {
        std::size_t taken = 0;
        bool open = false;
        for (auto& item : clients_)
        {
            if (!item.ended)
            {
                taken += advance(item);
                open = open || !item.ended;
            }
        }
        const auto now = clock::now();
        total += taken;
        if (taken > 0)
        {
            last_progress = now;
        }
        if (now - last_sample >= sample_interval)
        {
            last_sample = now;
            observe();
        }
        if (!open || now - last_progress > silence_limit)
        {
            return total;
        }
        if (taken == 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }
}

void process_usage::sample(pid_t pid)
{
    const auto folder = "/proc/" + std::to_string(pid);
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.compare(0, 6, "VmRSS:") == 0)
        {
            const auto kib = std::strtoull(line.c_str() + 6, nullptr, 10);
            resident_bytes = std::max<std::size_t>(resident_bytes, kib * 1024U);
        }
    }
    std::error_code error;
    const std::filesystem::directory_iterator open(folder + "/fd", error);
    if (!error)
    {
        descriptors = std::max(
            descriptors,
            static_cast<std::size_t>(std::distance(begin(open), end(open))));
    }
}

void process_usage::sample_until_steady(pid_t pid)
{
    constexpr auto steady_time = std::chrono::seconds(2);
    // An idle process takes a few pages now and then.
    constexpr std::size_t idle_growth_bytes = 1U << 20U;
    auto before = *this;
    auto last_rise = clock::now();
    while (clock::now() - last_rise < steady_time)
    {
        sample(pid);
        if (resident_bytes > before.resident_bytes + idle_growth_bytes ||
            descriptors > before.descriptors)
        {
            before = *this;
            last_rise = clock::now();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

int call_status(const std::string& address, const std::string& request,
                std::chrono::milliseconds timeout)
{
    const int socket = connect_to(address, timeout);
    if (socket < 0)
    {
        return 0;
    }
    ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    const auto deadline = clock::now() + timeout;
    std::string text;
    std::size_t needed = 0; // Bytes of the answer, once its header is known.
    char buffer[16384];
    while (clock::now() < deadline && (needed == 0 || text.size() < needed))
    {
        const auto count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
        {
            break;
        }
        text.append(buffer, static_cast<std::size_t>(count));
        const auto end = text.find("\r\n\r\n");
        const auto length = text.find("Content-Length: ");
        if (needed == 0 && end != std::string::npos && length < end)
        {
            needed = end + 4 +
                     std::strtoull(text.c_str() + length + 16, nullptr, 10);
        }
    }
    ::close(socket);
    constexpr char version[] = "HTTP/1.1 ";
    return needed > 0 && text.size() >= needed &&
                   text.compare(0, sizeof version - 1, version) == 0
               ? std::atoi(text.c_str() + sizeof version - 1)
               : 0;
}

} // namespace limpetstack::test
