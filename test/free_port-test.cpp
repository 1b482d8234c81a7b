#include "experiment/process.hpp"

#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <set>

namespace limpetstack::test
{
namespace
{

constexpr int port_count = 400;

// Guards against test processes that run at the same time and choose the same
// port: the servers of one then answer the calls of the other.
TEST(free_port, no_port_is_given_to_two_processes)
{
    int channel[2];
    ASSERT_EQ(::pipe(channel), 0);
    int release[2];
    ASSERT_EQ(::pipe(release), 0);
    const pid_t child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0)
    {
        for (int i = 0; i < port_count; ++i)
        {
            const int port = free_port();
            if (::write(channel[1], &port, sizeof port) != sizeof port)
            {
                std::_Exit(1);
            }
        }
        // Holds the ports until the other process has chosen its own.
        char byte = 0;
        std::_Exit(::read(release[0], &byte, 1) == 1 ? 0 : 1);
    }
    std::set<int> ports;
    for (int i = 0; i < port_count; ++i)
    {
        int port = 0;
        ASSERT_EQ(::read(channel[0], &port, sizeof port),
                  static_cast<ssize_t>(sizeof port));
        ports.insert(port);
    }
    int shared = 0;
    for (int i = 0; i < port_count; ++i)
    {
        shared += ports.count(free_port()) > 0 ? 1 : 0;
    }
    EXPECT_EQ(shared, 0);
    ASSERT_EQ(::write(release[1], "x", 1), 1);
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    EXPECT_EQ(status, 0);
}

} // namespace
} // namespace limpetstack::test
