#include "ctl/commands.hpp"
#include "ctl/operator_client.hpp"
#include "state/audit_trail.hpp"
#include "support/fake_operator_transport.hpp"
#include "support/temporary_folder.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace limpetstack
{
namespace
{

using nlohmann::json;

struct command_test : testing::Test
{
    command_test() { std::ofstream(path) << "fleet: []\n"; }

    exit_code run(command_line line)
    {
        line.operator_name = "ana";
        line.file = path;
        out.str("");
        errors.str("");
        operator_client client(transport, {"a", "b"},
                               [](std::chrono::milliseconds) {});
        return run_command(line, client, {out, errors, false});
    }

    command_line line(const std::string& command) const
    {
        command_line result;
        result.command = command;
        return result;
    }

    void reply(int status, const json& body)
    {
        transport.replies["a"].push_back({status, body.dump(), false, ""});
    }

    // Tests of this file may run at the same time, in processes of their own.
    const temporary_folder folder;
    const std::string path = folder.path("document.yaml");
    fake_operator_transport transport;
    std::ostringstream out;
    std::ostringstream errors;
};

json audit_json(std::uint64_t count)
{
    audit_trail trail;
    auto list = json::array();
    for (std::uint64_t i = 0; i < count; ++i)
    {
        wire::audit_record record;
        record.set_operator_name("ana");
        record.set_code(wire::command_conflict);
        trail.append(record);
        const auto& added = trail.records().back();
        list.push_back({{"sequence", added.sequence()},
                        {"time_ms", 0},
                        {"operator", "ana"},
                        {"host", ""},
                        {"action", ""},
                        {"base_version", 0},
                        {"version", 0},
                        {"code", "conflict"},
                        {"message", ""},
                        {"request_id", ""},
                        {"previous_hash", added.previous_hash()},
                        {"hash", added.hash()}});
    }
    return list;
}

// Guards against a write on another base than the one the operator saw, and
// against a lost winner or error place in the report.
TEST_F(command_test, apply_reports_each_outcome)
{
    reply(200, {{"version", 6}});
    reply(200, {{"code", "accepted"}, {"version", 7}});
    EXPECT_EQ(run(line("config apply")), exit_code::done);
    EXPECT_EQ(out.str(), "version 7 accepted\n");
    const auto sent = json::parse(transport.bodies.at(0));
    EXPECT_EQ(sent.at("base_version"), 6);
    EXPECT_EQ(sent.at("document"), "fleet: []\n");
    EXPECT_EQ(sent.at("operator"), "ana");
    EXPECT_EQ(sent.at("request_id").get<std::string>().size(), 32U);

    auto with_base = line("config apply");
    with_base.base_version = 5;
    reply(409, {{"code", "conflict"}, {"message", "version 7 by ben"}});
    EXPECT_EQ(run(with_base), exit_code::refused);
    EXPECT_EQ(errors.str(), "refused: version 7 by ben\n");
    EXPECT_EQ(json::parse(transport.bodies.at(1)).at("base_version"), 5);

    reply(422, {{"errors",
                 {{{"line", 3},
                   {"column", 2},
                   {"path", "fleet"},
                   {"message", "bad"}}}}});
    EXPECT_EQ(run(with_base), exit_code::refused);
    EXPECT_EQ(errors.str(), path + ": line 3, column 2: fleet: bad\n");
}

// Guards against an operator who can not safely repeat a lost write.
TEST_F(command_test, unknown_outcome_names_the_resend)
{
    auto apply = line("config apply");
    apply.base_version = 5;
    apply.request_id = "r-1";
    for (int i = 0; i < 4; ++i)
    {
        reply(504, {{"code", "unknown"}});
    }
    EXPECT_EQ(run(apply), exit_code::unknown);
    EXPECT_NE(errors.str().find("--base-version 5 --request-id r-1"),
              std::string::npos);
    EXPECT_EQ(run(apply), exit_code::refused) << "no server was reached";
}

// Guards against a list that the table can not show, and against a changed
// answer under --json.
TEST_F(command_test, evacuation_list_shows_every_data_centre)
{
    const json body = {
        {"evacuations",
         {{{"data_centre", "dc2"}, {"operator", "ana"}, {"time_ms", 0}}}}};
    reply(200, body);
    EXPECT_EQ(run(line("evacuation list")), exit_code::done);
    EXPECT_NE(out.str().find("dc2"), std::string::npos);
    EXPECT_NE(out.str().find("DATA CENTRE"), std::string::npos);
    auto as_json = line("evacuation list");
    as_json.json = true;
    reply(200, body);
    EXPECT_EQ(run(as_json), exit_code::done);
    EXPECT_EQ(json::parse(out.str()), body);
    EXPECT_EQ(transport.calls.front(), "a GET /v1/evacuations");
}

// Guards against a call with another method, name or operator than asked for,
// and against exit codes that differ from those of `config apply`.
TEST_F(command_test, evacuation_change_reports_each_outcome)
{
    auto start = line("evacuation start");
    start.data_centre = "dc2";
    start.request_id = "r&1";
    reply(200, {{"code", "accepted"}, {"changed", true}});
    EXPECT_EQ(run(start), exit_code::done);
    EXPECT_EQ(out.str(), "data centre dc2 is evacuated\n");
    EXPECT_EQ(transport.calls.back(),
              "a PUT /v1/evacuations/dc2?operator=ana&request_id=r%261");
    auto end = line("evacuation end");
    end.data_centre = "dc2";
    reply(200, {{"code", "accepted"}, {"changed", false}});
    EXPECT_EQ(run(end), exit_code::done);
    EXPECT_EQ(out.str(), "data centre dc2 is not evacuated, as before\n");
    EXPECT_EQ(transport.calls.back().find(
                  "a DELETE /v1/evacuations/dc2?operator=ana&request_id="),
              0U);
    start.json = true;
    reply(200, {{"code", "accepted"}, {"changed", true}});
    EXPECT_EQ(run(start), exit_code::done);
    EXPECT_EQ(json::parse(out.str()).at("code"), "accepted");
    reply(409, {{"code", "conflict"}, {"message", "64 are evacuated"}});
    EXPECT_EQ(run(start), exit_code::refused);
    EXPECT_EQ(errors.str(), "refused: 64 are evacuated\n");
    reply(400, {{"code", "invalid"}, {"message", "bad name"}});
    EXPECT_EQ(run(start), exit_code::refused);
    EXPECT_EQ(errors.str(), "refused: a answered 400 bad name\n");
    EXPECT_EQ(run(start), exit_code::refused) << "no server was reached";
    for (int i = 0; i < 4; ++i)
    {
        reply(504, {{"code", "unknown"}});
    }
    EXPECT_EQ(run(start), exit_code::unknown);
    EXPECT_NE(errors.str().find("--request-id r&1"), std::string::npos);
    reply(200, json::object());
    EXPECT_EQ(run(start), exit_code::refused) << "another form of answer";
}

// Guards against errors of a document that only the server would show.
TEST_F(command_test, validate_needs_no_server)
{
    EXPECT_EQ(run(line("config validate")), exit_code::refused);
    EXPECT_NE(errors.str().find("client_accounts is missing"),
              std::string::npos);
    std::ofstream(path) << "fleet: []\nclient_accounts: []\n";
    EXPECT_EQ(run(line("config validate")), exit_code::done);
    EXPECT_TRUE(transport.calls.empty());
}

// Guards against lists that lose rows or change the JSON for scripts.
TEST_F(command_test, lists_are_tables_or_the_servers_json)
{
    const json body = {
        {"hosts", {{{"host", "h1"}, {"data_centre", "dc1"}, {"up", true}}}}};
    reply(200, body);
    EXPECT_EQ(run(line("hosts")), exit_code::done);
    EXPECT_NE(out.str().find("h1    dc1          yes"), std::string::npos);
    reply(200, body);
    auto as_json = line("hosts");
    as_json.json = true;
    EXPECT_EQ(run(as_json), exit_code::done);
    EXPECT_EQ(json::parse(out.str()), body);
    reply(200, {{"hosts", "wrong"}, {"members", {{"host", "h"}}}});
    EXPECT_EQ(run(line("members")), exit_code::refused);
    EXPECT_EQ(run(line("hosts")), exit_code::refused) << "no server";
}

// Guards against a changed record that verification passes over, and against
// pages of which only the first is read.
TEST_F(command_test, audit_reads_all_pages_and_verifies)
{
    auto records = audit_json(5);
    const auto pages = [&]
    {
        transport.replies.clear();
        reply(200, {{"records", {records[0], records[1], records[2]}}});
        reply(200, {{"records", {records[3], records[4]}}});
        reply(200, {{"records", json::array()}});
    };
    auto audit = line("audit");
    audit.verify = true;
    pages();
    EXPECT_EQ(run(audit), exit_code::done);
    EXPECT_NE(out.str().find("records 1 to 5 form one chain"),
              std::string::npos);
    EXPECT_NE(transport.calls.at(1).find("after=3"), std::string::npos);
    records[3]["operator"] = "eve";
    pages();
    EXPECT_EQ(run(audit), exit_code::refused);
    EXPECT_NE(errors.str().find("audit record 4"), std::string::npos);
    audit.verify = false;
    audit.limit = 2;
    audit.json = true;
    pages();
    EXPECT_EQ(run(audit), exit_code::done);
    EXPECT_EQ(json::parse(out.str()).at("records").size(), 2U);
}

} // namespace
} // namespace limpetstack
