#include "support/core_attack.hpp"

#include "experiment/deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <string>

namespace limpetstack::test
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

std::string folder_name()
{
    const auto* const test =
        testing::UnitTest::GetInstance()->current_test_info();
    return std::string(test->test_suite_name()) + "-" + test->name();
}

} // namespace

core_attack::core_attack()
    : hosts_(folder_name())
{
}

void core_attack::start()
{
    ASSERT_TRUE(hosts_.start(limits_));
    sample();
    std::printf("%zu bytes resident before\n", usage_.resident_bytes);
    ASSERT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte / 2);
}

void core_attack::attack(client_crowd& crowd)
{
    const auto sent = crowd.send(
        [this]
        {
            sample();
        });
    std::printf("the crowd sent %zu bytes\n", sent);
    usage_.sample_until_steady(hosts_.core().pid());
}

void core_attack::sample()
{
    usage_.sample(hosts_.core().pid());
    disk_bytes_ = std::max(disk_bytes_, hosts_.disk_bytes());
}

void core_attack::check(const std::function<bool()>& is_served)
{
    usage_.sample_until_steady(hosts_.core().pid());
    const bool served = wait_until(
        [&]
        {
            sample();
            return is_served ? is_served() : hosts_.submit_job() == 200;
        });
    usage_.sample_until_steady(hosts_.core().pid());
    sample();
    std::printf("at most %zu bytes resident, %zu on disk, %zu descriptors\n",
                usage_.resident_bytes, disk_bytes_, usage_.descriptors);
    EXPECT_TRUE(hosts_.core().running());
    EXPECT_LE(usage_.resident_bytes, limits_.memory_mb * mebibyte);
    EXPECT_LE(disk_bytes_, limits_.disk_mb * mebibyte);
    EXPECT_LE(usage_.descriptors, limits_.max_descriptors);
    EXPECT_TRUE(served);
}

void core_attack::check_with_restart(const std::function<bool()>& is_served)
{
    check(is_served);
    hosts_.restart_core();
    check(is_served);
}

} // namespace limpetstack::test
