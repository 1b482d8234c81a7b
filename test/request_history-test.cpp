#include "support/request_history.hpp"

#include <gtest/gtest.h>

namespace limpetstack::test
{
namespace
{

const request_call done{"i1", "b", "done", 200,
                        R"({"id":"i1","echo":"b","upstream":"u"})"};
const request_call not_run{"i1", "b", "not_run", 503, ""};
const request_run run{"i1", "u", false, false};

// Guards against a checker that refuses what the system may do.
TEST(request_history, accepts_good_histories)
{
    EXPECT_EQ(check_requests({done, done}, {run}, true), "");
    EXPECT_EQ(check_requests({not_run}, {}, true), "");
    EXPECT_EQ(check_requests({{"i1", "b", "unknown", 504, ""}}, {run}, true),
              "");
    EXPECT_EQ(check_requests({done}, {run, {"i1", "v", true, false}}, true),
              "");
}

// Guards against a checker that misses a second run.
TEST(request_history, rejects_two_runs)
{
    EXPECT_NE(check_requests({done}, {run, run}, true), "");
    EXPECT_EQ(check_requests({done}, {run, run}, false), "");
}

// Guards against a checker that misses a false not_run.
TEST(request_history, rejects_not_run_after_a_run)
{
    EXPECT_NE(check_requests({not_run}, {run}, true), "");
    EXPECT_NE(check_requests({not_run, done}, {run}, true), "");
}

// Guards against a checker that misses foreign, truncated or invented answers.
TEST(request_history, rejects_wrong_answers)
{
    auto foreign = done;
    foreign.answer = R"({"id":"i2","echo":"b"})";
    EXPECT_NE(check_requests({foreign}, {run}, true), "");
    auto truncated = done;
    truncated.answer = R"({"id":"i1","ec)";
    EXPECT_NE(check_requests({truncated}, {run}, true), "");
    EXPECT_NE(check_requests({done}, {}, true), "");
    auto different = done;
    different.answer = R"({"id":"i1","echo":"b","upstream":"v"})";
    EXPECT_NE(check_requests({done, different}, {run}, true), "");
}

} // namespace
} // namespace limpetstack::test
