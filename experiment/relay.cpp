#include "experiment/relay.hpp"

#include "experiment/process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <utility>

namespace limpetstack::test
{
namespace
{

constexpr int poll_interval_ms = 10;
constexpr std::size_t pending_limit = 1U << 20U;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int connect_to(const std::string& target)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address =
        loopback(std::stoi(target.substr(target.rfind(':') + 1)));
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    const int yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return socket;
}

short wanted(link_state state)
{
    return state == link_state::black_hole ? 0 : POLLIN;
}

} // namespace

relay::relay(std::string target)
    : target_(std::move(target))
{
    port_ = free_port();
    listener_ =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int yes = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = loopback(port_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener_, 128) != 0)
    {
        throw std::runtime_error("relay can not listen");
    }
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

relay::~relay()
{
    stopping_ = true;
    thread_.join();
    close_all();
    ::close(listener_);
}

std::string relay::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void relay::set(link_state forward, link_state backward)
{
    forward_ = forward;
    backward_ = backward;
}

void relay::close_all()
{
    for (const auto& open : connections_)
    {
        ::close(open.client);
        ::close(open.server);
    }
    connections_.clear();
}

void relay::accept_connection()
{
    connection fresh;
    fresh.client =
        ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fresh.client < 0)
    {
        return;
    }
    const bool refused =
        forward_ == link_state::closed || backward_ == link_state::closed;
    fresh.server = refused ? -1 : connect_to(target_);
    if (fresh.server < 0)
    {
        ::close(fresh.client);
        return;
    }
    connections_.push_back(fresh);
}

bool relay::move(int from, int to, std::string& pending, link_state state,
                 short from_events, short to_events)
{
    if (state == link_state::black_hole)
    {
        return true;
    }
    if ((from_events & (POLLIN | POLLHUP | POLLERR)) != 0 &&
        pending.size() < pending_limit)
    {
        char buffer[65536];
        const auto count = ::read(from, buffer, sizeof buffer);
        if (count == 0 || (count < 0 && errno != EAGAIN))
        {
            return false;
        }
        if (count > 0)
        {
            pending.append(buffer, static_cast<std::size_t>(count));
        }
    }
    if (!pending.empty() && (to_events & POLLERR) == 0)
    {
        const auto count =
            ::send(to, pending.data(), pending.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN)
        {
            return false;
        }
        if (count > 0)
        {
            pending.erase(0, static_cast<std::size_t>(count));
        }
    }
    return true;
}

bool relay::serve(connection& open, short client_events, short server_events)
{
    return move(open.client, open.server, open.to_server, forward_,
                client_events, server_events) &&
           move(open.server, open.client, open.to_client, backward_,
                server_events, client_events);
}

void relay::run()
{
    while (!stopping_)
    {
        if (forward_ == link_state::closed || backward_ == link_state::closed)
        {
            close_all();
        }
        std::vector<pollfd> watched = {{listener_, POLLIN, 0}};
        for (const auto& open : connections_)
        {
            watched.push_back({open.client, wanted(forward_), 0});
            watched.push_back({open.server, wanted(backward_), 0});
        }
        ::poll(watched.data(), watched.size(), poll_interval_ms);
        std::vector<connection> kept;
        for (std::size_t i = 0; i < connections_.size(); ++i)
        {
            auto& open = connections_[i];
            if (serve(open, watched[2 * i + 1].revents,
                      watched[2 * i + 2].revents))
            {
                kept.push_back(std::move(open));
                continue;
            }
            ::close(open.client);
            ::close(open.server);
        }
        connections_ = std::move(kept);
        if (watched[0].revents != 0)
        {
            accept_connection();
        }
    }
}

} // namespace limpetstack::test
