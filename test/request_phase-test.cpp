#include "state/request_phase.hpp"

#include <gtest/gtest.h>

#include <set>

namespace limpetstack
{
namespace
{

// Guards against any transition beyond the five that a request may make.
TEST(request_phase, allows_exactly_the_life_cycle)
{
    std::set<std::pair<int, int>> allowed;
    for (int from = 0; from < wire::request_phase_ARRAYSIZE; ++from)
    {
        for (int to = 0; to < wire::request_phase_ARRAYSIZE; ++to)
        {
            if (transition_allowed(static_cast<wire::request_phase>(from),
                                   static_cast<wire::request_phase>(to)))
            {
                allowed.insert({from, to});
            }
        }
    }
    const std::set<std::pair<int, int>> expected = {
        {wire::request_absent, wire::request_started},
        {wire::request_absent, wire::request_not_run},
        {wire::request_started, wire::request_done},
        {wire::request_started, wire::request_unknown},
        {wire::request_unknown, wire::request_done}};
    EXPECT_EQ(allowed, expected);
}

} // namespace
} // namespace limpetstack
