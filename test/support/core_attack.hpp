#pragma once

#include "support/client_crowd.hpp"
#include "support/fleet_hosts.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>

namespace limpetstack::test
{

/// A test that attacks the core process of `fleet_hosts` and checks what it
/// uses of memory, disk and descriptors.
class core_attack : public testing::Test
{
protected:
    core_attack();

    /// Starts the hosts; the test fails when the process uses half of its
    /// memory before the attack.
    void start();

    /// Sends the crowd's input, and waits until the process has taken it.
    void attack(client_crowd& crowd);

    /// Takes a sample of what the core process uses.
    void sample();

    /// Checks that the core process lives, that it never exceeded its settings,
    /// and that `is_served` holds in time. By default an ordinary job must be
    /// accepted.
    void check(const std::function<bool()>& is_served = {});

    /// As `check`, and once more after a restart of the core process.
    void check_with_restart(const std::function<bool()>& is_served = {});

    fleet_hosts& hosts() { return hosts_; }

private:
    const host_limits limits_;
    fleet_hosts hosts_;
    process_usage usage_;
    std::size_t disk_bytes_ = 0;
};

} // namespace limpetstack::test
