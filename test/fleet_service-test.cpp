#include "coordination/fleet/fleet_service.hpp"

#include "platform_protocol.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

const std::string document_text = R"({"version":5,
 "routes":[{"name":"q","host":"a.example","prefix":"/q/","timeout_ms":3000,
   "service":"s","attempts":2,"priority":1},
  {"name":"open","host":"a.example","prefix":"/q/open/","timeout_ms":3000,
   "service":"s","public":true}],
 "services":[{"name":"s"}],
 "tenants":[{"name":"t","keys":["key"]}]})";

const std::string job_text = R"({"spec":"x","steps":[{"count":1}]})";
const std::string job_path = "/q/0123456789abcdef";

std::string report_text(const std::string& state, std::int64_t born)
{
    return R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":")" +
           state + R"(","seq":1,"born":)" + std::to_string(born) + "}";
}

// Runs a service on a leader whose proposals and reads are retained until the
// test completes them.
class fleet_service_test : public ::testing::Test
{
protected:
    fleet_service_test()
        : service(protocol, state, dependencies())
    {
    }

    fleet_service_dependencies dependencies()
    {
        fleet_service_dependencies out;
        out.propose = [this](fleet_command command,
                             consensus_runner::outcome_handler done)
        {
            proposals.emplace_back(std::move(command), std::move(done));
        };
        out.read = [this](std::function<void(bool)> done)
        {
            reads.push_back(std::move(done));
        };
        out.begin_departure = [this](const worker_incarnation& worker,
                                     std::function<void(bool)> ready)
        {
            departures.emplace_back(worker, std::move(ready));
        };
        out.record_report = [](const worker_report&) {};
        out.document = [this]
        {
            return document ? &*document : nullptr;
        };
        out.group_applies_evacuations = [this]
        {
            return group_applies_evacuations;
        };
        out.term = [this]
        {
            return term;
        };
        out.wall_ms = []
        {
            return std::int64_t{1700000000000};
        };
        out.report_address = "10.0.0.9:1";
        return out;
    }

    void use_document()
    {
        auto decoded = protocol.decode_document(document_text);
        ASSERT_TRUE(decoded.ok()) << decoded.status();
        document = *decoded;
    }

    void finish_departures(bool leading)
    {
        for (auto& [worker, ready] : std::exchange(departures, {}))
        {
            ready(leading);
        }
    }

    // Completes all proposals with `outcome`, and confirms all reads if it is
    // `applied`.
    void complete_requests(proposal_outcome outcome = proposal_outcome::applied)
    {
        for (auto& [command, done] : std::exchange(proposals, {}))
        {
            done(outcome, outcome == proposal_outcome::applied
                              ? state.apply(command)
                              : apply_result::refused);
        }
        for (auto& done : std::exchange(reads, {}))
        {
            done(outcome == proposal_outcome::applied);
        }
    }

    std::optional<forwarded_answer>
    send(bool from_caller, const std::string& method, const std::string& target,
         const std::string& body = "", const std::string& key = "key")
    {
        forwarded_call call;
        call.set_from_caller(from_caller);
        call.set_method(method);
        call.set_host("a.example");
        call.set_target(target);
        call.set_authorization("Bearer " + key);
        call.set_body(body);
        call.set_term(sent_to_term);
        call.set_origin(origin);
        call.set_id(call_id);
        call.set_repeated(repeated);
        last_answer.reset();
        service.handle(call,
                       [this](const forwarded_answer& answer)
                       {
                           last_answer = answer;
                       });
        return last_answer;
    }

    // Sends a call of the entry process 7 whose earlier sending has an unknown
    // outcome, and completes it.
    unsigned repeat_and_complete(std::uint64_t id, const std::string& method,
                                 const std::string& target,
                                 const std::string& body = "",
                                 const std::string& key = "key")
    {
        origin = 7;
        call_id = id;
        repeated = true;
        send(true, method, target, body, key);
        while (!proposals.empty() || !reads.empty())
        {
            complete_requests();
        }
        repeated = false;
        return last_answer ? last_answer->status() : 0;
    }

    unsigned call_and_complete(const std::string& method,
                               const std::string& target,
                               const std::string& body = "",
                               const std::string& key = "key")
    {
        send(true, method, target, body, key);
        complete_requests();
        return last_answer ? last_answer->status() : 0;
    }

    unsigned control_and_complete(const std::string& method,
                                  const std::string& target,
                                  const std::string& body = "")
    {
        send(false, method, target, body);
        complete_requests();
        return last_answer ? last_answer->status() : 0;
    }

    platform::platform_protocol protocol;
    fleet_state state;
    std::optional<fleet_document> document;
    std::vector<std::pair<fleet_command, consensus_runner::outcome_handler>>
        proposals;
    std::vector<std::function<void(bool)>> reads;
    std::vector<std::pair<worker_incarnation, std::function<void(bool)>>>
        departures;
    std::optional<forwarded_answer> last_answer;
    bool group_applies_evacuations = true;
    std::uint64_t term = 3;
    std::uint64_t sent_to_term = 0; // Of the calls that are sent next.
    std::uint64_t origin = 0;       // Of the calls that are sent next.
    std::uint64_t call_id = 0;
    bool repeated = false;
    fleet_service service;
};

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
