// Checks that queues with a policy run jobs whatever validity their tickets
// have.
#include "support/ticketed_workers.hpp"

#include <gtest/gtest.h>

#include <string>
#include <tuple>

namespace limpetstack::fleet
{
namespace
{

// A job that has nothing at work for this time while there is capacity is lost.
constexpr milliseconds start_limit{3000};

// Validity of the tickets, and time from a proposal to its commit.
class ticket_validity : public ::testing::TestWithParam<std::tuple<int, int>>
{
};

// Guards against a queue whose jobs never begin because its tickets are valid
// for a shorter time than a fixed margin or than a commit takes.
TEST_P(ticket_validity, job_starts_in_time)
{
    fleet_fixture fixture;
    ticketed_workers workers(fixture, 8, {20, 2, std::get<0>(GetParam())});
    workers.commit_interval = milliseconds(std::get<1>(GetParam()));
    fixture.submit("job", make_step(2, 1), "restricted");
    workers.advance(start_limit);
    EXPECT_EQ(workers.started.size(), 2U);
    EXPECT_EQ(workers.refused, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    times, ticket_validity,
    ::testing::Combine(::testing::Values(10, 20, 60, 150, 300, 400, 1000, 3000),
                       ::testing::Values(1, 15, 120)));

// Guards against a gang that never begins because the tickets of its first
// question expire before the second one is answered. Its members wait for each
// other for 3 s.
TEST(ticket_validity, gang_of_more_workers_than_one_question_starts)
{
    fleet_fixture fixture;
    ticketed_workers workers(fixture, 40, {20, 2, 60});
    fixture.submit("gang", make_step(40, 8, true), "restricted");
    workers.advance(2 * start_limit);
    EXPECT_EQ(workers.started.size(), 40U);
    EXPECT_LT(workers.last_start - workers.first_start, milliseconds(3000));
}

// Guards against a gang of which a part starts while others wait for tickets
// that would all be valid together a moment later.
TEST(ticket_validity, gang_starts_together_when_all_tickets_last)
{
    fleet_fixture fixture;
    ticketed_workers workers(fixture, 40, {20, 2, 3000});
    fixture.submit("gang", make_step(40, 8, true), "restricted");
    workers.advance(start_limit);
    EXPECT_EQ(workers.started.size(), 40U);
    EXPECT_LT(workers.last_start - workers.first_start, milliseconds(50));
}

// Guards against an unanswered start that is sent again with a ticket that has
// expired meanwhile.
TEST(ticket_validity, repeated_starts_carry_valid_tickets)
{
    fleet_fixture fixture;
    ticketed_workers workers(fixture, 8, {20, 2, 300});
    workers.unanswered_starts = 4;
    fixture.submit("job", make_step(1, 1), "restricted");
    workers.advance(start_limit);
    EXPECT_EQ(workers.started.size(), 1U);
    EXPECT_EQ(workers.refused, 0U);
}

// Guards against a stream of starts and questions while workers refuse every
// ticket, and against a step that is never tried again.
TEST(ticket_validity, refused_tickets_are_renewed_less_and_less_often)
{
    fleet_fixture fixture;
    ticketed_workers workers(fixture, 8, {20, 2, 300});
    workers.refuses_all = true;
    fixture.submit("job", make_step(2, 1), "restricted");
    workers.advance(milliseconds(20000));
    EXPECT_TRUE(workers.started.empty());
    EXPECT_LE(workers.refused, 40U);
    EXPECT_LE(workers.questions, 40U);
    workers.refuses_all = false;
    workers.advance(2 * start_limit);
    EXPECT_EQ(workers.started.size(), 2U);
}

// Guards against questions without end about a step that waits for capacity
// while its tickets expire.
TEST(ticket_validity, waiting_step_asks_seldom)
{
    fleet_fixture fixture;
    ticketed_workers workers(fixture, 2, {20, 2, 60});
    fixture.submit("full", make_step(2, 8));
    workers.advance(milliseconds(500));
    fixture.submit("job", make_step(2, 8), "restricted");
    workers.advance(milliseconds(20000));
    EXPECT_LE(workers.questions, 20U);
}

// Guards against capacity that a run without a ticket keeps for good while the
// policy service is silent.
TEST(ticket_validity, run_without_a_ticket_gives_its_capacity_back)
{
    fleet_fixture fixture;
    ticketed_workers workers(fixture, 1, {20, 2, 30});
    workers.commit_interval = milliseconds(100);
    workers.answers_left = 1;
    fixture.submit("job", make_step(1, 8), "restricted");
    workers.advance(milliseconds(1000));
    EXPECT_EQ(used_accelerators(fixture), 8);
    workers.advance(milliseconds(4000));
    EXPECT_EQ(used_accelerators(fixture), 0);
}

} // namespace
} // namespace limpetstack::fleet
