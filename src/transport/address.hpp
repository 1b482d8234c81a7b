#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace limpetstack
{

/// Parses IP:port; nothing when it is neither IPv4 nor IPv6.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address);

} // namespace limpetstack
