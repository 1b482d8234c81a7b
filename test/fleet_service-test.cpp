#include "coordination/fleet/fleet_service.hpp"

#include "state/job_cost.hpp"

#include "support/fleet_service_fixture.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// Guards against a final refusal of calls that arrive before the first
// document; callers must be told to retry.
TEST_F(fleet_service_test, calls_before_the_first_document_may_be_retried)
{
    EXPECT_EQ(call_and_complete("POST", job_path, job_text), 503U);
    EXPECT_GT(last_answer->retry_after_ms(), 0U);
}

// Guards against an acceptance that the caller sees before it is committed, and
// against a second job from a repeated submission.
TEST_F(fleet_service_test, acceptance_is_answered_after_its_commit)
{
    use_document();
    EXPECT_FALSE(send(true, "POST", job_path, job_text));
    complete_requests();
    ASSERT_TRUE(last_answer);
    EXPECT_EQ(last_answer->status(), 200U);
    EXPECT_EQ(call_and_complete("POST", job_path, job_text), 200U);
    EXPECT_EQ(state.jobs().size(), 1U);
    EXPECT_EQ(call_and_complete("GET", job_path), 200U);
    EXPECT_EQ(last_answer->body(), R"({"state":"queued"})");
    EXPECT_EQ(call_and_complete("GET", "/q/"), 200U);
    EXPECT_EQ(last_answer->body(), R"({"pending":1})");
}

// Guards against a failed job whose caller is not told why.
TEST_F(fleet_service_test, failed_job_is_shown_with_its_reason)
{
    use_document();
    call_and_complete("POST", job_path, job_text);
    fleet_command command;
    command.mutable_fail()->set_job("0123456789abcdef");
    command.mutable_fail()->set_reason("attempts used up");
    ASSERT_EQ(state.apply(command), apply_result::changed);
    EXPECT_EQ(call_and_complete("GET", job_path), 200U);
    EXPECT_EQ(last_answer->body(),
              R"({"reason":"attempts used up","state":"failed"})");
}

// Guards against an answer that says "not run" although the job may have been
// accepted, because leadership was lost before the commit was seen.
TEST_F(fleet_service_test, lost_leadership_answers_unknown_outcome)
{
    use_document();
    send(true, "POST", job_path, job_text);
    complete_requests(proposal_outcome::unknown);
    ASSERT_TRUE(last_answer);
    EXPECT_EQ(last_answer->status(), 504U);
    send(true, "POST", job_path, job_text);
    complete_requests(proposal_outcome::not_leader);
    EXPECT_TRUE(last_answer->not_leader());
}

// Guards against refusals from the outdated state of a host that no longer
// leads.
TEST_F(fleet_service_test, refusals_are_confirmed_by_a_majority)
{
    use_document();
    EXPECT_FALSE(send(true, "GET", job_path));
    complete_requests(proposal_outcome::unknown);
    ASSERT_TRUE(last_answer);
    EXPECT_TRUE(last_answer->not_leader());
    EXPECT_EQ(call_and_complete("GET", job_path), 410U);
    EXPECT_EQ(call_and_complete("GET", "/none/0123456789abcdef"), 404U);
    EXPECT_EQ(call_and_complete("POST", job_path, job_text, "wrong"), 401U);
    EXPECT_TRUE(state.jobs().empty());
}

// Guards against a refusal for a call that an earlier leader accepted before
// its key was taken away.
TEST_F(fleet_service_test, repeated_call_is_told_that_it_was_accepted)
{
    use_document();
    origin = 7;
    call_id = 1;
    call_and_complete("POST", job_path, job_text);
    document->account_of_key.clear();
    EXPECT_EQ(repeat_and_complete(1, "POST", job_path, job_text), 200U);
    document->queues.clear();
    EXPECT_EQ(repeat_and_complete(1, "POST", job_path, job_text), 200U);
}

// Guards against callers who learn from a key that was taken away whether
// another call's job exists.
TEST_F(fleet_service_test, repeated_call_learns_nothing_of_other_calls)
{
    use_document();
    origin = 7;
    call_id = 1;
    call_and_complete("POST", job_path, job_text);
    document->account_of_key.clear();
    EXPECT_EQ(repeat_and_complete(2, "POST", job_path, job_text), 401U);
    EXPECT_TRUE(last_answer->covers_all_sendings());
}

// Guards against "may have run" for a call that no leader has carried out.
TEST_F(fleet_service_test, refusal_of_a_repeated_call_covers_all_sendings)
{
    use_document();
    EXPECT_EQ(repeat_and_complete(1, "POST", job_path, "{"), 400U);
    EXPECT_TRUE(last_answer->covers_all_sendings());
    EXPECT_EQ(repeat_and_complete(1, "POST", job_path, job_text, "wrong"),
              401U);
    EXPECT_TRUE(last_answer->covers_all_sendings());
    EXPECT_EQ(repeat_and_complete(1, "DELETE", job_path, "", "wrong"), 401U);
    EXPECT_TRUE(last_answer->covers_all_sendings());
    document.reset();
    EXPECT_EQ(repeat_and_complete(1, "POST", job_path, job_text), 503U);
    EXPECT_TRUE(last_answer->covers_all_sendings());
    EXPECT_GT(last_answer->retry_after_ms(), 0U);
}

// Guards against a refused cancelling of a job that an earlier sending of the
// call may have cancelled.
TEST_F(fleet_service_test, refused_cancelling_of_a_cancelled_job_is_unknown)
{
    use_document();
    call_and_complete("POST", job_path, job_text);
    call_and_complete("DELETE", job_path);
    EXPECT_EQ(repeat_and_complete(1, "DELETE", job_path, "", "wrong"), 504U);
    document->queues.clear();
    EXPECT_EQ(repeat_and_complete(1, "DELETE", job_path), 504U);
}

// Guards against a refusal for a call that a leader of an earlier version
// accepted: such leaders do not record the call.
TEST_F(fleet_service_test, refusal_of_a_job_of_an_earlier_version_is_unknown)
{
    use_document();
    call_and_complete("POST", job_path, job_text);
    document->account_of_key.clear();
    EXPECT_EQ(repeat_and_complete(1, "POST", job_path, job_text), 504U);
    document->queues.clear();
    EXPECT_EQ(repeat_and_complete(1, "POST", job_path, job_text), 504U);
}

// Guards against a sending that is carried out after its call was refused.
TEST_F(fleet_service_test, sending_to_another_term_is_not_carried_out)
{
    use_document();
    sent_to_term = 2;
    send(true, "POST", job_path, job_text);
    ASSERT_TRUE(last_answer);
    EXPECT_TRUE(last_answer->not_leader());
    EXPECT_TRUE(proposals.empty());
    EXPECT_EQ(service.superseded_calls(), 1U);
    sent_to_term = 3;
    EXPECT_EQ(call_and_complete("POST", job_path, job_text), 200U);
}

// Guards against a refusal while an earlier sending of the call is proposed and
// not committed.
TEST_F(fleet_service_test, refusal_waits_for_earlier_proposals)
{
    use_document();
    origin = 7;
    call_id = 1;
    send(true, "POST", job_path, job_text);
    document->account_of_key.clear();
    repeated = true;
    send(true, "POST", job_path, job_text);
    for (auto& done : std::exchange(reads, {}))
    {
        done(true);
    }
    EXPECT_FALSE(last_answer);
    complete_requests();
    ASSERT_TRUE(last_answer);
    EXPECT_EQ(last_answer->status(), 200U);
}

// Guards against a refusal by a host that does not lead any more.
TEST_F(fleet_service_test, refusal_of_a_repeated_call_needs_the_leadership)
{
    use_document();
    repeated = true;
    send(true, "POST", job_path, job_text, "wrong");
    complete_requests();
    complete_requests(proposal_outcome::unknown);
    ASSERT_TRUE(last_answer);
    EXPECT_EQ(last_answer->status(), 504U);
}

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

// Guards against accepted jobs that take all the room of the leader, and
// against refusals that leave something behind.
TEST_F(fleet_service_test, job_without_room_is_refused_at_once)
{
    use_document();
    call_and_complete("POST", job_path, job_text);
    const auto cost = state.jobs_cost();
    limit_job_room(cost * 3 - 1);
    EXPECT_EQ(send(true, "POST", "/q/00000000000000a1", job_text)->status(),
              503U);
    EXPECT_GE(last_answer->retry_after_ms(), 1000U);
    EXPECT_TRUE(proposals.empty());
    EXPECT_EQ(service.jobs_without_room(), 1U);
    // A queue without an account has its own share.
    EXPECT_EQ(
        call_and_complete("POST", "/q/open/00000000000000a2", job_text, "none"),
        200U);
}

// Guards against proposals that are not counted until they are committed.
TEST_F(fleet_service_test, proposed_jobs_take_room_until_their_outcome)
{
    use_document();
    send(true, "POST", job_path, job_text);
    ASSERT_EQ(proposals.size(), 1U);
    limit_job_room(job_cost(proposals.front().first.accept()) * 2);
    EXPECT_EQ(send(true, "POST", "/q/00000000000000a1", job_text)->status(),
              503U);
    complete_requests(proposal_outcome::not_leader);
    EXPECT_EQ(call_and_complete("POST", "/q/00000000000000a1", job_text), 200U);
}

// Guards against a refusal of a job that is accepted all the same.
TEST_F(fleet_service_test, repeated_submission_needs_no_room)
{
    use_document();
    send(true, "POST", job_path, job_text);
    limit_job_room(1);
    EXPECT_FALSE(send(true, "POST", job_path, job_text).has_value());
    complete_requests();
    EXPECT_EQ(last_answer->status(), 200U);
    EXPECT_EQ(call_and_complete("POST", job_path, job_text), 200U);
    EXPECT_EQ(call_and_complete("GET", job_path), 200U);
    EXPECT_EQ(call_and_complete("DELETE", job_path), 200U);
    EXPECT_EQ(state.jobs().size(), 1U);
}

// Guards against a `Retry-After` before there can be room.
TEST_F(fleet_service_test, retry_follows_the_end_of_the_oldest_job)
{
    use_document();
    call_and_complete("POST", job_path, job_text);
    fleet_command ended;
    ended.mutable_cancel()->set_job("0123456789abcdef");
    state.apply(ended);
    ended.mutable_finish()->set_job("0123456789abcdef");
    ended.mutable_finish()->set_at_ms(1700000000000 - 20000);
    state.apply(ended);
    limit_job_room(1);
    send(true, "POST", "/q/00000000000000a1", job_text);
    EXPECT_EQ(last_answer->retry_after_ms(), 110000U);
    ended.mutable_forget()->set_job("0123456789abcdef");
    state.apply(ended);
    EXPECT_EQ(state.jobs_cost(), 0U);
    limit_job_room(unlimited);
    EXPECT_EQ(call_and_complete("POST", "/q/00000000000000a1", job_text), 200U);
}

// Guards against a queue with a shorter prefix that receives the jobs of the
// queue with the longest matching prefix.
TEST_F(fleet_service_test, longest_prefix_selects_the_queue)
{
    use_document();
    EXPECT_EQ(
        call_and_complete("POST", "/q/open/0123456789abcdef", job_text, "none"),
        200U);
    EXPECT_EQ(state.find_job("0123456789abcdef")->job.queue(), "open");
}

// Guards against invalid calls that change the state.
TEST_F(fleet_service_test, invalid_calls_change_nothing)
{
    use_document();
    EXPECT_EQ(call_and_complete("POST", job_path, "{"), 400U);
    EXPECT_EQ(call_and_complete("POST", "/q/short", job_text), 400U);
    EXPECT_EQ(call_and_complete("PATCH", job_path), 405U);
    EXPECT_EQ(control_and_complete("PUT", "/-/config", "{}"), 400U);
    EXPECT_EQ(control_and_complete("PUT", "/-/instances/w", "{}"), 400U);
    EXPECT_EQ(control_and_complete("GET", "/-/other"), 404U);
    EXPECT_EQ(control_and_complete("POST", "/-/wave-start", "{}"), 501U);
    EXPECT_TRUE(state.jobs().empty());
    EXPECT_TRUE(state.workers().empty());
    EXPECT_EQ(state.document().version(), 0U);
}

// Guards against a cancellation of an unknown job that is reported as done, and
// against a repeated cancellation that is refused.
TEST_F(fleet_service_test, cancellation_of_an_unknown_job_is_refused)
{
    use_document();
    EXPECT_EQ(call_and_complete("DELETE", job_path), 410U);
    call_and_complete("POST", job_path, job_text);
    EXPECT_EQ(call_and_complete("DELETE", job_path), 200U);
    EXPECT_EQ(call_and_complete("DELETE", job_path), 200U);
    call_and_complete("GET", job_path);
    EXPECT_EQ(last_answer->body(), R"({"state":"cancelled"})");
}

// Guards against two documents with the same version and different content, and
// against the refusal of a document that is sent again unchanged.
TEST_F(fleet_service_test, document_version_has_one_content)
{
    EXPECT_EQ(control_and_complete("GET", "/-/config"), 503U);
    EXPECT_EQ(control_and_complete("PUT", "/-/config", document_text), 200U);
    EXPECT_EQ(control_and_complete("PUT", "/-/config", document_text), 200U);
    EXPECT_EQ(control_and_complete("PUT", "/-/config", document_text + " "),
              409U);
    EXPECT_EQ(control_and_complete("GET", "/-/config"), 200U);
    EXPECT_EQ(last_answer->body(), document_text);
}

// Guards against delayed calls: a removal must not remove a worker that is not
// draining, and an old report must not make a draining worker ready again or
// replace a later incarnation.
TEST_F(fleet_service_test, only_a_draining_worker_is_removed)
{
    EXPECT_EQ(
        control_and_complete("PUT", "/-/instances/w", report_text("ready", 7)),
        200U);
    EXPECT_EQ(control_and_complete("DELETE", "/-/instances/w"), 200U);
    EXPECT_EQ(state.workers().size(), 1U);
    EXPECT_EQ(control_and_complete("PUT", "/-/instances/w",
                                   report_text("draining", 7)),
              200U);
    EXPECT_EQ(
        control_and_complete("PUT", "/-/instances/w", report_text("ready", 7)),
        200U);
    EXPECT_TRUE(state.workers().at("w").draining());
    EXPECT_EQ(
        control_and_complete("PUT", "/-/instances/w", report_text("ready", 6)),
        200U);
    EXPECT_EQ(state.workers().at("w").born_ms(), 7);
    EXPECT_TRUE(departures.empty());
    send(false, "DELETE", "/-/instances/w");
    finish_departures(true);
    complete_requests();
    ASSERT_TRUE(last_answer);
    EXPECT_EQ(last_answer->status(), 200U);
    EXPECT_TRUE(state.workers().empty());
}

// Guards against invented workers that are kept without a bound, and against
// known ones that are refused with them.
TEST_F(fleet_service_test, report_without_room_is_refused)
{
    use_document();
    const auto path = "/-/instances/w1";
    ASSERT_EQ(control_and_complete("PUT", path, report_text("ready", 5)), 200U);
    worker_room_bytes = state.workers_cost();
    EXPECT_EQ(
        control_and_complete("PUT", "/-/instances/w2", report_text("ready", 5)),
        503U);
    EXPECT_GT(last_answer->retry_after_ms(), 0U);
    EXPECT_EQ(service.workers_without_room(), 1U);
    EXPECT_EQ(control_and_complete("PUT", path, report_text("draining", 5)),
              200U);
    EXPECT_TRUE(state.workers().at("w1").draining());
    send(false, "DELETE", path);
    finish_departures(true);
    complete_requests();
    EXPECT_EQ(state.workers_cost(), 0U);
    EXPECT_EQ(
        control_and_complete("PUT", "/-/instances/w2", report_text("ready", 5)),
        200U);
}

// Guards against a worker that leaves before its runs have been stopped, and
// against a departure that is called twice and answered once.
TEST_F(fleet_service_test, departure_is_answered_when_the_removal_is_committed)
{
    control_and_complete("PUT", "/-/instances/w", report_text("draining", 7));
    int answers = 0;
    for (int call_number = 0; call_number < 2; ++call_number)
    {
        forwarded_call call;
        call.set_method("DELETE");
        call.set_target("/-/instances/w");
        service.handle(call,
                       [&answers](const forwarded_answer& answer)
                       {
                           EXPECT_EQ(answer.status(), 200U);
                           ++answers;
                       });
    }
    complete_requests();
    EXPECT_EQ(answers, 0);
    EXPECT_EQ(state.workers().size(), 1U);
    ASSERT_EQ(departures.size(), 2U);
    EXPECT_EQ(departures.front().first, (worker_incarnation{"w", 7}));
    finish_departures(true);
    EXPECT_EQ(answers, 0);
    complete_requests();
    EXPECT_EQ(answers, 2);
    EXPECT_TRUE(state.workers().empty());
}

// Guards against a departure that is acknowledged, although this host stopped
// leading before it removed the worker.
TEST_F(fleet_service_test, departure_fails_when_the_leadership_ends)
{
    control_and_complete("PUT", "/-/instances/w", report_text("draining", 7));
    send(false, "DELETE", "/-/instances/w");
    finish_departures(false);
    complete_requests();
    ASSERT_TRUE(last_answer);
    EXPECT_TRUE(last_answer->not_leader());
    EXPECT_EQ(state.workers().size(), 1U);
}

} // namespace
} // namespace limpetstack::fleet
