#include "transport/caller_api.hpp"

#include "experiment/process.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <peer.pb.h>

#include <gtest/gtest.h>

#include <string>

namespace limpetstack
{
namespace
{

constexpr char jobs[] = "/v1/accounts/a/jobs";
constexpr char job[] = "/v1/accounts/a/jobs/job-dc1-1-1";

// Serves callers with answers that the test sets.
class caller_api_test : public ::testing::Test
{
protected:
    caller_api_test()
        : port(test::free_port())
        , client("127.0.0.1", port)
    {
        caller_handlers handlers;
        handlers.submit_job = [this](const wire::job_submission&)
        {
            return answer;
        };
        handlers.cancel_job = [this](const wire::job_cancel&)
        {
            return answer;
        };
        auto opened =
            open_caller_api("127.0.0.1:" + std::to_string(port), {}, handlers);
        EXPECT_TRUE(opened.ok()) << opened.status();
        listener = *std::move(opened);
    }

    int port;
    wire::job_answer answer;
    std::unique_ptr<http_listener> listener;
    httplib::Client client;
};

// Guards against "did not run" for a call whose outcome is not known.
TEST_F(caller_api_test, unknown_outcome_of_a_job_call_is_not_a_refusal)
{
    answer.set_reason("lost");
    answer.set_unknown(true);
    answer.set_job_id("job-dc1-1-1");
    const auto submission =
        client.Post(jobs, R"({"service":"s","members":1})", "application/json");
    ASSERT_TRUE(submission);
    EXPECT_EQ(submission->status, 504);
    EXPECT_EQ(nlohmann::json::parse(submission->body)["id"], "job-dc1-1-1");
    const auto cancelling = client.Delete(job);
    ASSERT_TRUE(cancelling);
    EXPECT_EQ(cancelling->status, 504);
}

// Guards against "may have run" for a call that had no effect.
TEST_F(caller_api_test, job_call_without_effect_is_refused)
{
    answer.set_reason("no owner");
    const auto submission =
        client.Post(jobs, R"({"service":"s","members":1})", "application/json");
    ASSERT_TRUE(submission);
    EXPECT_EQ(submission->status, 503);
}

} // namespace
} // namespace limpetstack
