// Reports of workers that do not exist. Each case floods the control listener
// of one core process, and checks that it stays alive, that its memory, files
// and descriptors stay within its settings, also after a restart, and that a
// worker that was known before and a caller are served.

#include "experiment/deployment.hpp"
#include "support/caller_connection.hpp"
#include "support/client_crowd.hpp"
#include "support/fleet_hosts.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

namespace limpetstack::test
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

// Only ends a failed test.
constexpr std::chrono::seconds answer_limit{60};

class untrusted_reports : public testing::Test
{
protected:
    untrusted_reports()
        : hosts_(std::string("untrusted-reports-") +
                 testing::UnitTest::GetInstance()->current_test_info()->name())
    {
    }

    void start()
    {
        ASSERT_TRUE(hosts_.start(limits_));
        ASSERT_EQ(200, call_status(hosts_.control(), report(0, "a")));
        sample();
        ASSERT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte / 2);
    }

    // Sends one report of each of `count` workers.
    void send_reports(int count, const std::string& label)
    {
        caller_connection connection(hosts_.control());
        int accepted = 0;
        for (int number = 1; number <= count; ++number)
        {
            accepted += connection.call(report(number, label)) == 200 ? 1 : 0;
            sample();
        }
        std::printf("%d of %d reports accepted\n", accepted, count);
    }

    // Checks the state that the flood left, and once more after a restart.
    void check()
    {
        check_process();
        hosts_.restart_core();
        check_process();
    }

private:
    // Nothing listens at the workers' addresses.
    static std::string report(int number, const std::string& label)
    {
        const auto id = "i-" + std::to_string(number);
        return fleet_hosts::request(
            "PUT", "/-/instances/" + id, "",
            R"({"service":"s","zone":"z","state":"ready","seq":1,"born":1,)"
            R"("capacity":{"cpu":1000},"labels":[")" +
                label + R"("],"addr":"127.0.0.1:)" +
                std::to_string(number % 1000 + 1) + R"("})");
    }

    void sample()
    {
        usage_.sample(hosts_.core().pid());
        disk_bytes_ = std::max(disk_bytes_, hosts_.disk_bytes());
    }

    void check_process()
    {
        usage_.sample_until_steady(hosts_.core().pid());
        const bool answered = wait_until(
            [&]
            {
                sample();
                return hosts_.submit_job() == 200 &&
                       call_status(hosts_.control(), report(0, "a")) == 200;
            },
            answer_limit);
        sample();
        std::printf("at most %zu bytes resident, %zu on disk, %zu "
                    "descriptors\n",
                    usage_.resident_bytes, disk_bytes_, usage_.descriptors);
        EXPECT_TRUE(hosts_.core().running());
        EXPECT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte);
        EXPECT_LE(disk_bytes_, limits_.disk_mb * mebibyte);
        EXPECT_LE(usage_.descriptors, limits_.max_descriptors);
        EXPECT_TRUE(answered);
    }

    const host_limits limits_;
    fleet_hosts hosts_;
    process_usage usage_;
    std::size_t disk_bytes_ = 0;
};

// Guards against reports that are kept on every replica whatever their size.
TEST_F(untrusted_reports, large_reports_of_invented_workers)
{
    start();
    send_reports(400, std::string(200000, 'x'));
    check();
}

// Guards against workers that are kept without a bound on their number.
TEST_F(untrusted_reports, many_invented_workers)
{
    start();
    send_reports(8000, "a");
    check();
}

} // namespace
} // namespace limpetstack::test
