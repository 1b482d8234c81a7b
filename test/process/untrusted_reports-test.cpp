// Reports of workers that do not exist. Each case floods the control listener
// of one core process, and checks that it stays alive, that its memory, files
// and descriptors stay within its settings, also after a restart, and that a
// worker that was known before and a caller are served.

#include "support/caller_connection.hpp"
#include "support/client_crowd.hpp"
#include "support/core_attack.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <string>

namespace limpetstack::test
{
namespace
{

class untrusted_reports : public core_attack
{
protected:
    void start()
    {
        core_attack::start();
        ASSERT_EQ(200, call_status(hosts().control(), report(0, "a")));
    }

    // Sends one report of each of `count` workers.
    void send_reports(int count, const std::string& label)
    {
        caller_connection connection(hosts().control());
        int accepted = 0;
        for (int number = 1; number <= count; ++number)
        {
            accepted += connection.call(report(number, label)) == 200 ? 1 : 0;
            sample();
        }
        std::printf("%d of %d reports accepted\n", accepted, count);
    }

    // The caller and the worker that were known before must be served.
    void check()
    {
        check_with_restart(
            [this]
            {
                return hosts().submit_job() == 200 &&
                       call_status(hosts().control(), report(0, "a")) == 200;
            });
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
