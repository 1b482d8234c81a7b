// Connections to the port between the core processes from somebody who is no
// host. Each case attacks one core process, and checks that it stays alive,
// that its memory and descriptors stay within its settings, and that an
// ordinary job is accepted while the crowd is still connected.

#include "support/client_crowd.hpp"
#include "support/core_attack.hpp"

#include <fleet.pb.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace limpetstack::test
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

class untrusted_peers : public core_attack
{
protected:
    std::string address() { return hosts().core_peers(); }
};

// Guards against a listener that accepts connections until no descriptor is
// left for its files and its own connections.
TEST_F(untrusted_peers, silent_peers)
{
    start();
    client_crowd crowd(address(), 1200, {"", "", 0});
    attack(crowd);
    check();
}

// Guards against frames that are kept without a bound on their sum while they
// are not complete.
TEST_F(untrusted_peers, endless_frames)
{
    start();
    const std::string length_of_64_mib("\x04\x00\x00\x00", 4);
    client_crowd crowd(address(), 200, {length_of_64_mib, "x", 2 * mebibyte});
    attack(crowd);
    check();
}

// Guards against introductions of hosts that do not exist, which are all kept
// and called.
TEST_F(untrusted_peers, invented_hosts)
{
    start();
    std::string pings;
    for (std::uint64_t number = 1; number <= 300; ++number)
    {
        fleet::peer_frame frame;
        auto& from = *frame.mutable_ping()->mutable_from();
        from.set_core(true);
        from.set_replica(number);
        from.set_name(std::string(number == 1 ? 1 : mebibyte, 'x'));
        from.set_peer_address("127.0.0.1:" + std::to_string(number));
        const auto size = static_cast<std::uint32_t>(frame.ByteSizeLong());
        for (int shift = 24; shift >= 0; shift -= 8)
        {
            pings.push_back(static_cast<char>((size >> shift) & 0xFFU));
        }
        frame.AppendToString(&pings);
    }
    client_crowd crowd(address(), 1, {pings, "", 0});
    attack(crowd);
    check();
}

} // namespace
} // namespace limpetstack::test
