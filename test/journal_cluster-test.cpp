#include "support/journal_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace limpetstack
{
namespace
{

constexpr int steps = 500;

// Guards against a request that runs twice, whatever fails at whatever time.
RC_GTEST_PROP(invariant, at_most_once_under_any_faults, (std::uint64_t seed))
{
    cluster_options options;
    options.seed = seed;
    options.disks = {(seed & 1U) != 0, (seed & 2U) != 0, (seed & 4U) != 0};
    journal_cluster cluster(options);
    cluster.run(steps);
    cluster.settle();
    RC_ASSERT(check_history(cluster.history(), true) == "");
}

// Guards against the loss of an acknowledged record when one host is lost and
// replaced after the other.
RC_GTEST_PROP(invariant, at_most_once_records_survive_single_faults,
              (std::uint64_t seed))
{
    cluster_options options;
    options.seed = seed;
    options.disks = {(seed & 1U) != 0, (seed & 2U) != 0, (seed & 4U) != 0};
    options.one_fault_at_a_time = true;
    journal_cluster cluster(options);
    cluster.run(steps);
    RC_ASSERT(cluster.settle() == std::vector<std::string>{});
    RC_ASSERT(cluster.record().incarnation() == 1U);
    RC_ASSERT(check_history(cluster.history(), true) == "");
}

} // namespace
} // namespace limpetstack
