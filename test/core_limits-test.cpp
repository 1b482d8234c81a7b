#include "daemon/fleet/core_limits.hpp"

#include "daemon/fleet/node_settings.hpp"

#include <gtest/gtest.h>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

core_limits limits_with(std::size_t memory_mb, std::size_t disk_mb)
{
    node_settings settings;
    settings.memory_bytes = memory_mb * mebibyte;
    settings.disk_bytes = disk_mb * mebibyte;
    settings.max_descriptors = 4096;
    return limits_of(settings);
}

// Guards against parts that are each within the memory and together are not: a
// quarter of what is counted for jobs and workers is serialized, and the log is
// copied several times while a snapshot is taken.
TEST(core_limits, state_and_peers_stay_within_the_memory)
{
    for (const std::size_t memory_mb : {64, 256, 384})
    {
        const auto limits = limits_with(memory_mb, memory_mb / 2);
        constexpr std::size_t bytes_per_run = 2048;
        EXPECT_LE(limits.job_room + limits.worker_room +
                      limits.live_runs * bytes_per_run,
                  memory_mb * mebibyte * 7 / 8)
            << memory_mb;
        EXPECT_LE(limits.peers.kept_bytes, memory_mb * mebibyte / 4);
    }
}

// Guards against a disk that the last snapshot, the next one, the log and its
// copy fill.
TEST(core_limits, files_stay_within_the_disk)
{
    for (const std::size_t disk_mb : {32, 128, 192})
    {
        const auto limits = limits_with(2 * disk_mb, disk_mb);
        const auto snapshot = (limits.job_room + limits.worker_room) / 4;
        const auto log =
            limits.log.bytes_per_snapshot + 2 * limits.log.retained_bytes;
        EXPECT_LE(2 * snapshot + log, disk_mb * mebibyte) << disk_mb;
    }
}

// Guards against limits that the target size meets on hosts of 256 MB.
TEST(core_limits, target_size_fits)
{
    const auto limits = limits_with(256, 128);
    EXPECT_GE(limits.live_runs, 36000U);
    EXPECT_GE(limits.peers.connections, 512U);
    EXPECT_EQ(limits.log.bytes_per_snapshot, 8 * mebibyte);
    EXPECT_EQ(limits.log.retained_bytes, 4 * mebibyte);
}

} // namespace
} // namespace limpetstack::fleet
