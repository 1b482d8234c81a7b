#include "support/journal_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace limpetstack
{
namespace
{

constexpr int steps = 500;
constexpr std::uint64_t runs_per_case = 10;

cluster_options options_for(std::uint64_t seed)
{
    cluster_options options;
    options.seed = seed;
    options.disks = {(seed & 1U) != 0, (seed & 2U) != 0, (seed & 4U) != 0};
    return options;
}

// Guards against a request that runs twice, whatever fails at whatever time:
// a pair that is split, a second host lost right after the repair, erased
// folders, late messages.
RC_GTEST_PROP(invariant, at_most_once_under_any_faults, (std::uint32_t seed))
{
    for (std::uint64_t run = 0; run < runs_per_case; ++run)
    {
        auto options = options_for(seed * runs_per_case + run);
        options.short_retention = run % 2 == 1;
        journal_cluster cluster(options);
        cluster.run(steps);
        cluster.settle();
        RC_ASSERT(check_history(cluster.history(), true) == "");
    }
}

// Guards against the loss of an acknowledged record when hosts are lost and
// repaired one after the other.
RC_GTEST_PROP(invariant, at_most_once_records_survive_single_faults,
              (std::uint32_t seed))
{
    for (std::uint64_t run = 0; run < runs_per_case; ++run)
    {
        auto options = options_for(seed * runs_per_case + run);
        options.one_fault_at_a_time = true;
        journal_cluster cluster(options);
        cluster.run(steps);
        RC_ASSERT(cluster.settle() == std::vector<std::string>{});
        RC_ASSERT(cluster.record().incarnation() == 1U);
        RC_ASSERT(check_history(cluster.history(), true) == "");
    }
}

} // namespace
} // namespace limpetstack
