#include "ctl/command_line.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <vector>

namespace limpetstack
{
namespace
{

parsed_command_line parse(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "limpetctl");
    return parse_command_line(static_cast<int>(arguments.size()),
                              arguments.data());
}

// Guards against options that work only before or only after the command.
TEST(command_line, options_may_stand_anywhere)
{
    unsetenv("LIMPETCTL_SERVER");
    const auto result =
        parse({"--server", "127.0.0.1:1", "audit", "--server", "127.0.0.2:2",
               "--verify", "--json", "--operator", "ana"});
    ASSERT_TRUE(result.value);
    EXPECT_EQ(result.value->command, "audit");
    EXPECT_EQ(result.value->servers,
              std::vector<std::string>({"127.0.0.1:1", "127.0.0.2:2"}));
    EXPECT_TRUE(result.value->verify);
    EXPECT_TRUE(result.value->json);
    EXPECT_EQ(result.value->operator_name, "ana");
}

// Guards against wrong usage that reaches a server or has the exit code of a
// refusal, and against help that counts as wrong usage.
TEST(command_line, usage_errors_and_help_have_their_exit_codes)
{
    unsetenv("LIMPETCTL_SERVER");
    const std::vector<std::vector<const char*>> wrong = {
        {},
        {"jobs"},
        {"nothing", "--server", "127.0.0.1:1"},
        {"jobs", "--server", "localhost:1"},
        {"config", "--server", "127.0.0.1:1"},
        {"config", "apply", "/nonexistent", "--server", "127.0.0.1:1"},
        {"config", "apply", "/dev/null", "--server", "127.0.0.1:1",
         "--request-id", "r"},
        {"config", "apply", "/dev/null", "--server", "127.0.0.1:1",
         "--base-version", "x"},
        {"evacuation", "--server", "127.0.0.1:1"},
        {"evacuation", "start", "--server", "127.0.0.1:1"},
        {"evacuation", "start", "a/b", "--server", "127.0.0.1:1"},
        {"evacuation", "end", "dc1", "--operator", "ana"},
        {"evacuation", "list", "dc1", "--server", "127.0.0.1:1"}};
    for (const auto& arguments : wrong)
    {
        const auto result = parse(arguments);
        EXPECT_FALSE(result.value);
        EXPECT_EQ(result.code, exit_code::usage);
    }
    for (const auto* flag : {"--help", "--version"})
    {
        EXPECT_EQ(parse({flag}).code, exit_code::done);
        EXPECT_EQ(parse({"config", "apply", flag}).code, exit_code::done);
        EXPECT_FALSE(parse({"jobs", flag}).value);
    }
    EXPECT_TRUE(parse({"config", "validate", "/dev/null"}).value);
}

// Guards against an evacuation of another data centre than named, and against
// a resend that needs a base version.
TEST(command_line, evacuation_takes_a_data_centre)
{
    unsetenv("LIMPETCTL_SERVER");
    const auto start =
        parse({"evacuation", "start", "dc-1", "--server", "127.0.0.1:1",
               "--operator", "ana", "--request-id", "r"});
    ASSERT_TRUE(start.value);
    EXPECT_EQ(start.value->command, "evacuation start");
    EXPECT_EQ(start.value->data_centre, "dc-1");
    EXPECT_EQ(start.value->request_id, "r");
    const auto end = parse({"evacuation", "end", "dc2", "--server",
                            "127.0.0.1:1", "--operator", "ana"});
    ASSERT_TRUE(end.value);
    EXPECT_EQ(end.value->command, "evacuation end");
    EXPECT_EQ(end.value->data_centre, "dc2");
    EXPECT_TRUE(parse({"evacuation", "list", "--server", "127.0.0.1:1"}).value);
}

} // namespace
} // namespace limpetstack
