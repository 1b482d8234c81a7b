// Checks the operators' calls that start and end evacuations.
#include "support/fleet_service_fixture.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace limpetstack::fleet
{
namespace
{

// Guards against evacuations that are acknowledged before they are committed,
// and against the refusal of a call that is sent again.
TEST_F(fleet_service_test, evacuations_are_committed_before_the_answer)
{
    send(false, "POST", "/-/evacuate/north");
    EXPECT_FALSE(last_answer);
    complete_requests();
    ASSERT_TRUE(last_answer);
    EXPECT_EQ(last_answer->status(), 200U);
    EXPECT_TRUE(state.is_evacuated("north"));
    EXPECT_EQ(control_and_complete("POST", "/-/evacuate/north"), 200U);
    EXPECT_EQ(control_and_complete("DELETE", "/-/evacuate/north"), 200U);
    EXPECT_FALSE(state.is_evacuated("north"));
    EXPECT_EQ(control_and_complete("DELETE", "/-/evacuate/north"), 200U);
}

// Guards against names that do not fit into a path or a log line.
TEST_F(fleet_service_test, malformed_evacuations_change_nothing)
{
    const std::string too_long(129, 'a');
    for (const auto& path :
         {std::string("/-/evacuate"), std::string("/-/evacuate/"),
          std::string("/-/evacuate/a/b"), std::string("/-/evacuate/a%20b"),
          std::string("/-/evacuate/a b"), std::string("/-/evacuate/\xc3\xa4"),
          "/-/evacuate/" + too_long})
    {
        EXPECT_EQ(control_and_complete("POST", path), 400U) << path;
        EXPECT_EQ(control_and_complete("DELETE", path), 400U) << path;
    }
    EXPECT_EQ(control_and_complete("GET", "/-/evacuate/north"), 404U);
    EXPECT_EQ(control_and_complete("POST", "/-/evacuated/north"), 404U);
    EXPECT_TRUE(state.evacuated().empty());
}

// Guards against a state that grows with each name that is sent.
TEST_F(fleet_service_test, the_number_of_evacuations_is_bounded)
{
    for (std::size_t i = 0; i < max_evacuations; ++i)
    {
        EXPECT_EQ(
            control_and_complete("POST", "/-/evacuate/dc" + std::to_string(i)),
            200U);
    }
    EXPECT_EQ(control_and_complete("POST", "/-/evacuate/other"), 409U);
    EXPECT_EQ(state.evacuated().size(), max_evacuations);
    EXPECT_EQ(control_and_complete("POST", "/-/evacuate/dc0"), 200U);
    EXPECT_EQ(control_and_complete("DELETE", "/-/evacuate/dc0"), 200U);
    EXPECT_EQ(control_and_complete("POST", "/-/evacuate/other"), 200U);
}

// Guards against an acknowledged evacuation that a host of an earlier version
// drops from its state.
TEST_F(fleet_service_test, evacuations_wait_for_hosts_of_earlier_versions)
{
    group_applies_evacuations = false;
    EXPECT_EQ(control_and_complete("POST", "/-/evacuate/north"), 503U);
    EXPECT_GT(last_answer->retry_after_ms(), 0U);
    EXPECT_TRUE(state.evacuated().empty());
}

// Guards against an acknowledgement by a host that lost its leadership.
TEST_F(fleet_service_test, evacuations_are_not_acknowledged_without_a_commit)
{
    send(false, "POST", "/-/evacuate/north");
    complete_requests(proposal_outcome::unknown);
    ASSERT_TRUE(last_answer);
    EXPECT_EQ(last_answer->status(), 504U);
    send(false, "POST", "/-/evacuate/north");
    complete_requests(proposal_outcome::not_leader);
    EXPECT_TRUE(last_answer->not_leader());
}

} // namespace
} // namespace limpetstack::fleet
