// Connections to the port between the core processes from somebody who is no
// host. Each case attacks one core process, and checks that it stays alive,
// that its memory and descriptors stay within its settings, and that an
// ordinary job is accepted while the crowd is still connected.

#include "experiment/deployment.hpp"
#include "support/client_crowd.hpp"
#include "support/fleet_hosts.hpp"

#include <fleet.pb.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

namespace limpetstack::test
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

// Only ends a failed test.
constexpr std::chrono::seconds answer_limit{60};

class untrusted_peers : public testing::Test
{
protected:
    untrusted_peers()
        : hosts_(std::string("untrusted-peers-") +
                 testing::UnitTest::GetInstance()->current_test_info()->name())
    {
    }

    void start()
    {
        ASSERT_TRUE(hosts_.start(limits_));
        sample();
        ASSERT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte / 2);
    }

    std::string address() const { return hosts_.core_peers(); }
    void sample() { usage_.sample(hosts_.core().pid()); }

    void attack(client_crowd& crowd)
    {
        const auto sent = crowd.send(
            [&]
            {
                sample();
            });
        std::printf("the crowd sent %zu bytes\n", sent);
        usage_.sample_until_steady(hosts_.core().pid());
    }

    // The crowd must still be connected.
    void check()
    {
        const bool answered = wait_until(
            [&]
            {
                sample();
                return hosts_.submit_job() == 200;
            },
            answer_limit);
        sample();
        std::printf("at most %zu bytes resident and %zu descriptors\n",
                    usage_.resident_bytes, usage_.descriptors);
        EXPECT_TRUE(hosts_.core().running());
        EXPECT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte);
        EXPECT_LE(usage_.descriptors, limits_.max_descriptors);
        EXPECT_TRUE(answered);
    }

private:
    const host_limits limits_;
    fleet_hosts hosts_;
    process_usage usage_;
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
