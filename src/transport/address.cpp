#include "transport/address.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>

namespace limpetstack
{

std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto* const end = address.data() + address.size();
    const auto [stop, failure] =
        std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip =
        boost::asio::ip::make_address(address.substr(0, colon), error);
    if (failure != std::errc() || stop != end || error)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace limpetstack
