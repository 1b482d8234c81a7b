#include "coordination/fleet/fleet_service.hpp"

#include "platform_protocol.hpp"

#include <gtest/gtest.h>

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

// A leader whose proposals and reads the test completes.
class fleet_service_test : public ::testing::Test
{
protected:
    fleet_service_test()
        : service(protocol, state, parts())
    {
    }

    fleet_service_parts parts()
    {
        fleet_service_parts out;
        out.propose = [this](fleet_command command,
                             consensus_runner::outcome_handler done)
        {
            proposals.emplace_back(std::move(command), std::move(done));
        };
        out.read = [this](std::function<void(bool)> done)
        {
            reads.push_back(std::move(done));
        };
        out.note_report = [](const worker_report&) {};
        out.document = [this]
        {
            return document ? &*document : nullptr;
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

    // Commits what was proposed and confirms what is read.
    void settle(proposal_outcome outcome = proposal_outcome::applied)
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
        answered.reset();
        service.handle(call,
                       [this](const forwarded_answer& answer)
                       {
                           answered = answer;
                       });
        return answered;
    }

    unsigned call(const std::string& method, const std::string& target,
                  const std::string& body = "", const std::string& key = "key")
    {
        send(true, method, target, body, key);
        settle();
        return answered ? answered->status() : 0;
    }

    unsigned control(const std::string& method, const std::string& target,
                     const std::string& body = "")
    {
        send(false, method, target, body);
        settle();
        return answered ? answered->status() : 0;
    }

    platform::platform_protocol protocol;
    fleet_state state;
    std::optional<fleet_document> document;
    std::vector<std::pair<fleet_command, consensus_runner::outcome_handler>>
        proposals;
    std::vector<std::function<void(bool)>> reads;
    std::optional<forwarded_answer> answered;
    fleet_service service;
};

// Guards against a refusal that is final although no document is there yet.
TEST_F(fleet_service_test, without_a_document_callers_may_come_back)
{
    EXPECT_EQ(call("POST", job_path, job_text), 503U);
    EXPECT_GT(answered->retry_after_ms(), 0U);
}

// Guards against an acceptance that is told before it is committed.
TEST_F(fleet_service_test, acceptance_is_told_after_its_commit)
{
    use_document();
    EXPECT_FALSE(send(true, "POST", job_path, job_text));
    settle();
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered->status(), 200U);
    EXPECT_EQ(call("POST", job_path, job_text), 200U);
    EXPECT_EQ(state.jobs().size(), 1U);
    EXPECT_EQ(call("GET", job_path), 200U);
    EXPECT_EQ(answered->body(), R"({"state":"queued"})");
    EXPECT_EQ(call("GET", "/q/"), 200U);
    EXPECT_EQ(answered->body(), R"({"pending":1})");
}

// Guards against "not run" when the job may have been accepted.
TEST_F(fleet_service_test, lost_leadership_leaves_the_outcome_open)
{
    use_document();
    send(true, "POST", job_path, job_text);
    settle(proposal_outcome::unknown);
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered->status(), 504U);
    send(true, "POST", job_path, job_text);
    settle(proposal_outcome::not_leader);
    EXPECT_TRUE(answered->not_leader());
}

// Guards against answers of a host that no longer leads.
TEST_F(fleet_service_test, refusals_are_confirmed_by_a_majority)
{
    use_document();
    EXPECT_FALSE(send(true, "GET", job_path));
    settle(proposal_outcome::unknown);
    ASSERT_TRUE(answered);
    EXPECT_TRUE(answered->not_leader());
    EXPECT_EQ(call("GET", job_path), 410U);
    EXPECT_EQ(call("GET", "/none/0123456789abcdef"), 404U);
    EXPECT_EQ(call("POST", job_path, job_text, "wrong"), 401U);
    EXPECT_TRUE(state.jobs().empty());
}

TEST_F(fleet_service_test, longest_prefix_selects_the_queue)
{
    use_document();
    EXPECT_EQ(call("POST", "/q/open/0123456789abcdef", job_text, "none"), 200U);
    EXPECT_EQ(state.find_job("0123456789abcdef")->job.queue(), "open");
}

// Guards against bad input that changes something.
TEST_F(fleet_service_test, bad_input_changes_nothing)
{
    use_document();
    EXPECT_EQ(call("POST", job_path, "{"), 400U);
    EXPECT_EQ(call("POST", "/q/short", job_text), 400U);
    EXPECT_EQ(call("PATCH", job_path), 405U);
    EXPECT_EQ(control("PUT", "/-/config", "{}"), 400U);
    EXPECT_EQ(control("PUT", "/-/instances/w", "{}"), 400U);
    EXPECT_EQ(control("GET", "/-/other"), 404U);
    EXPECT_EQ(control("POST", "/-/wave-start", "{}"), 501U);
    EXPECT_TRUE(state.jobs().empty());
    EXPECT_TRUE(state.workers().empty());
    EXPECT_EQ(state.document().version(), 0U);
}

TEST_F(fleet_service_test, cancel_of_an_unknown_job_is_told)
{
    use_document();
    EXPECT_EQ(call("DELETE", job_path), 410U);
    call("POST", job_path, job_text);
    EXPECT_EQ(call("DELETE", job_path), 200U);
    EXPECT_EQ(call("DELETE", job_path), 200U);
    call("GET", job_path);
    EXPECT_EQ(answered->body(), R"({"state":"cancelled"})");
}

// Guards against two contents under one version, and against a repetition that
// is refused.
TEST_F(fleet_service_test, document_is_repeated_or_contradicted)
{
    EXPECT_EQ(control("GET", "/-/config"), 503U);
    EXPECT_EQ(control("PUT", "/-/config", document_text), 200U);
    EXPECT_EQ(control("PUT", "/-/config", document_text), 200U);
    EXPECT_EQ(control("PUT", "/-/config", document_text + " "), 409U);
    EXPECT_EQ(control("GET", "/-/config"), 200U);
    EXPECT_EQ(answered->body(), document_text);
}

// Guards against a late call of an earlier incarnation that removes or revives
// a worker.
TEST_F(fleet_service_test, only_a_draining_worker_leaves)
{
    EXPECT_EQ(control("PUT", "/-/instances/w", report_text("ready", 7)), 200U);
    EXPECT_EQ(control("DELETE", "/-/instances/w"), 200U);
    EXPECT_EQ(state.workers().size(), 1U);
    EXPECT_EQ(control("PUT", "/-/instances/w", report_text("draining", 7)),
              200U);
    EXPECT_EQ(control("PUT", "/-/instances/w", report_text("ready", 7)), 200U);
    EXPECT_TRUE(state.workers().at("w").draining());
    EXPECT_EQ(control("PUT", "/-/instances/w", report_text("ready", 6)), 200U);
    EXPECT_EQ(state.workers().at("w").born_ms(), 7);
    EXPECT_EQ(control("DELETE", "/-/instances/w"), 200U);
    EXPECT_TRUE(state.workers().empty());
}

} // namespace
} // namespace limpetstack::fleet
