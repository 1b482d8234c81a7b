#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace limpetstack
{

struct peer_handlers;

/// The gRPC listener for other daemons.
class peer_server
{
public:
    /// Listens at `address` (IP:port). Fails when the address is in use.
    static absl::StatusOr<std::unique_ptr<peer_server>>
    open(const std::string& address, peer_handlers handlers);

    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Refuses new calls and waits until the calls in progress have ended.
    void stop();

private:
    struct state;
    explicit peer_server(std::unique_ptr<state> opened);

    std::unique_ptr<state> state_;
};

} // namespace limpetstack
