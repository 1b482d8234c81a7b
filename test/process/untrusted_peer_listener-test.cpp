// Connections to the peers' listener of limpetstackd from somebody who is no
// host.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"
#include "support/client_crowd.hpp"
#include "support/descriptor_limit.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>

namespace limpetstack::test
{
namespace
{

constexpr const char* path = "/v1/accounts/addis/services/lookup/requests";

// Only ends a failed test.
constexpr std::chrono::seconds answer_limit{60};

// Guards against connections that send nothing and are kept, until no
// descriptor is left for files, upstreams and other hosts.
TEST(untrusted_peer_listener, silent_connections_are_closed)
{
    constexpr rlim_t limit = 400;
    deployment system(test_folder("untrusted-peer-listener"),
                      {{"a1", "north", true, true}});
    {
        const descriptor_limit lowered(limit);
        ASSERT_TRUE(system.start_with(sample_document()));
    }
    system.add_upstream("u", "lookup", "north");
    const client_crowd crowd(system.peers("a1"), 600, {"", "", 0});
    const auto pid = system.daemon("a1").pid();
    const bool recovered = wait_until(
        [&]
        {
            process_usage now;
            now.sample(pid);
            return now.descriptors <= limit / 2;
        },
        answer_limit);
    process_usage last;
    last.sample(pid);
    std::printf("%zu descriptors at the end\n", last.descriptors);
    EXPECT_TRUE(recovered);
    EXPECT_TRUE(system.daemon("a1").running());
    EXPECT_TRUE(wait_until(
        [&]
        {
            return post(system.callers("a1"), path, "scan").status == 200 &&
                   get(system.operators("a1"), "/health/ready").status == 200;
        }));
}

} // namespace
} // namespace limpetstack::test
