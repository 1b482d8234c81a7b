#include "ctl/explain.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace limpetstack
{
namespace
{

const std::string lines =
    "time=2026-01-01T00:00:03.000 level=INFO host=b event=run_placed job=aa "
    "run=aa.0.0.0#1 worker=w1\n"
    "  1.5 a time=2026-01-01T00:00:01.000 level=INFO host=a "
    "event=job_accepted job=aa queue=q\n"
    "time=2026-01-01T00:00:02.000 level=INFO host=b event=leadership_began "
    "term=3\n"
    "time=2026-01-01T00:00:00.000 level=INFO host=b event=leadership_began "
    "term=2\n"
    "no log line\n"
    "time=2026-01-01T00:00:02.500 level=WARNING host=b event=worker_avoided "
    "worker=w1 reason=\"runs of several jobs failed\"\n"
    "time=2026-01-01T00:00:02.600 level=INFO host=b event=run_placed job=bb "
    "run=bb.0.0.0#1 worker=w1\n"
    "time=2026-01-01T00:00:04.000 level=INFO host=c event=call_refused "
    "target=/q/aa status=504\n";

struct explained
{
    exit_code code = exit_code::done;
    std::string out;
    std::string errors;
};

explained explain_lines(const std::string& id, bool json)
{
    std::istringstream input(lines);
    std::ostringstream out;
    std::ostringstream errors;
    const auto code = explain(id, {}, json, input, out, errors);
    return {code, out.str(), errors.str()};
}

TEST(explain, quoted_values_are_read_whole)
{
    const auto record = parse_log_line(
        "time=t host=h event=e reason=\"two \\\"words\\\"\" next=1");
    ASSERT_TRUE(record);
    ASSERT_EQ(record->fields.size(), 2U);
    EXPECT_EQ(record->fields[0].second, "two \"words\"");
    EXPECT_EQ(record->fields[1].second, "1");
    EXPECT_FALSE(parse_log_line("nothing here"));
}

// Guards against a timeline that lacks the cause: what happened to hosts and
// workers meanwhile belongs to it, other jobs and other times do not.
TEST(explain, timeline_holds_the_job_and_what_happened_around_it)
{
    const auto result = explain_lines("aa", false);
    EXPECT_EQ(result.code, exit_code::done);
    const auto text = result.out;
    const auto accepted = text.find("job_accepted");
    const auto began = text.find("leadership_began  term=3");
    const auto avoided = text.find("worker_avoided");
    const auto placed = text.find("run_placed  job=aa");
    const auto refused = text.find("call_refused");
    EXPECT_LT(accepted, began);
    EXPECT_LT(began, avoided);
    EXPECT_LT(avoided, placed);
    EXPECT_LT(placed, refused);
    EXPECT_NE(refused, std::string::npos);
    EXPECT_EQ(text.find("term=2"), std::string::npos);
    EXPECT_EQ(text.find("job=bb"), std::string::npos);
}

TEST(explain, unknown_id_is_an_error)
{
    const auto result = explain_lines("zz", false);
    EXPECT_EQ(result.code, exit_code::refused);
    EXPECT_NE(result.errors.find("none of 7 log lines"), std::string::npos);
}

TEST(explain, json_has_one_object_a_line)
{
    const auto result = explain_lines("aa", true);
    EXPECT_EQ(result.code, exit_code::done);
    EXPECT_NE(result.out.find("\"event\":\"job_accepted\""), std::string::npos);
}

} // namespace
} // namespace limpetstack
