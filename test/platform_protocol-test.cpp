#include "platform_protocol.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace limpetstack::platform
{
namespace
{

const std::string document_text = R"({"version":7,
 "routes":[{"name":"r1","host":"A.example","prefix":"/q/","kind":"mutating",
   "timeout_ms":3000,"slo_ms":1000,"priority":1,"service":"s","attempts":2,
   "stretch":3.0,"public":false}],
 "services":[{"name":"s","rejects_overload":false,"standby":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,
   "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","keys":["k1","k2"],"guaranteed":{"gpu":120}}]})";

const std::string job_text = R"({"spec":"text","steps":[
 {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},
 {"count":20,"cpu":2000,"mem_mb":1024,"after":[0],"checkpointable":true,
  "gang":true,"same_rack":true,"max_unavailable":0}]})";

const std::string report_text = R"({"service":"s","addr":"10.128.0.9:8080",
 "zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,
 "capacity":{"cpu":16000,"mem_mb":32768,"gpu":4},"labels":["a","r1-3"],
 "clock_ms":482113,"seq":4,"born":1700000000000})";

const std::string lists_text = R"({"clock_ms":482113,"born":5,
 "running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41]],
 "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

// Guards against a field of a document that is lost or read into another one.
TEST(platform_protocol, decodes_a_document)
{
    const auto document = platform_protocol().decode_document(document_text);
    ASSERT_TRUE(document.ok()) << document.status();
    EXPECT_EQ(document->version, 7U);
    ASSERT_EQ(document->queues.size(), 1U);
    EXPECT_EQ(document->queues[0].host, "a.example");
    EXPECT_EQ(document->queues[0].attempts, 2U);
    EXPECT_EQ(document->account_of_key.at("k2"), "t");
    EXPECT_EQ(document->accounts[0].guaranteed_accelerators, 120);
}

// Guards against accepting a document that refers to an unknown service, has
// values of the wrong type or out of range, or is ambiguous because two routes
// or two tenants claim the same requests.
TEST(platform_protocol, refuses_invalid_documents)
{
    const platform_protocol protocol;
    const auto refuse = [&](const std::string& from, const std::string& to)
    {
        EXPECT_FALSE(
            protocol.decode_document(replaced(document_text, from, to)).ok())
            << to;
    };
    refuse(R"("service":"s")", R"("service":"other")");
    refuse(R"("timeout_ms":3000)", R"("timeout_ms":0)");
    refuse(R"("version":7)", R"("version":"7")");
    refuse(R"("tenants":[)", R"("tenants":[{"name":"u","keys":["k1"]},)");
    refuse(R"("routes":[)",
           R"("routes":[{"name":"r2","host":"a.example","prefix":"/q/",
              "timeout_ms":3000,"service":"s"},)");
    EXPECT_FALSE(
        protocol
            .decode_document(document_text.substr(0, document_text.size() / 2))
            .ok());
}

// Guards against a field of a step that is lost or takes a wrong default.
TEST(platform_protocol, decodes_a_job)
{
    const auto job = platform_protocol().decode_job(job_text);
    ASSERT_TRUE(job.ok()) << job.status();
    ASSERT_EQ(job->steps_size(), 2);
    EXPECT_EQ(job->steps(0).preferred_rack(), "r1-3");
    EXPECT_FALSE(job->steps(0).has_max_unavailable());
    EXPECT_TRUE(job->steps(1).gang());
    EXPECT_TRUE(job->steps(1).has_max_unavailable());
    EXPECT_EQ(job->steps(1).after(0), 0U);
}

// Guards against accepting a job that never ends because a step waits for
// itself or for a later step, or a job without subtasks.
TEST(platform_protocol, refuses_steps_that_can_not_start)
{
    const platform_protocol protocol;
    EXPECT_FALSE(
        protocol
            .decode_job(replaced(job_text, "\"after\":[0]", "\"after\":[1]"))
            .ok());
    EXPECT_FALSE(
        protocol.decode_job(replaced(job_text, "\"count\":4", "\"count\":0"))
            .ok());
    EXPECT_FALSE(protocol.decode_job(R"({"spec":"x","steps":[]})").ok());
}

// Guards against a malformed report that registers a worker: jobs would then be
// placed on a worker with a wrong state or address.
TEST(platform_protocol, refuses_malformed_reports)
{
    const platform_protocol protocol;
    const auto report = protocol.decode_report("i-1", report_text);
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_EQ(report->worker.rack(), "r1-3");
    EXPECT_EQ(report->worker.born_ms(), 1700000000000);
    const std::vector<std::pair<std::string, std::string>> changes{
        {"\"ready\"", "\"asleep\""},
        {"\"seq\":4", "\"seq\":\"4\""},
        {"10.128.0.9:8080", "nowhere"},
        {"\"born\":1700000000000", "\"born\":1.5"},
        {"\"labels\":[\"a\"", "\"labels\":[3"}};
    for (const auto& [from, to] : changes)
    {
        EXPECT_FALSE(
            protocol.decode_report("i-1", replaced(report_text, from, to)).ok())
            << to;
    }
}

// Guards against a listed run that is taken for another one, and against an
// unknown kind of end that is taken for a known one.
TEST(platform_protocol, decodes_worker_lists)
{
    const platform_protocol protocol;
    const auto lists = protocol.decode_lists(lists_text);
    ASSERT_TRUE(lists.ok()) << lists.status();
    EXPECT_EQ(lists->running[0].run.index(), 17U);
    EXPECT_EQ(lists->running[0].run.run(), 2U);
    EXPECT_EQ(lists->running[0].percent, 41);
    EXPECT_EQ(lists->ended[0].number, 58U);
    EXPECT_EQ(lists->ended[0].end, fleet::run_done);
    EXPECT_FALSE(
        protocol.decode_lists(replaced(lists_text, "\"done\"", "\"gone\""))
            .ok());
}

// Guards against starting the steps of a queue with a policy without a ticket,
// because its policy is lost or the policy service's answer is misread.
TEST(platform_protocol, exchanges_messages_with_the_policy_service)
{
    const platform_protocol protocol;
    const auto document = protocol.decode_document(
        replaced(document_text, R"("public":false)",
                 R"("public":false,"advice":{"decision_ms":40,"period_ms":5,)"
                 R"("valid_ms":4000})"));
    ASSERT_TRUE(document.ok()) << document.status();
    ASSERT_TRUE(document->queues[0].policy.has_value());
    EXPECT_EQ(document->queues[0].policy->decision_ms, 40);
    EXPECT_EQ(document->queues[0].policy->per_worker_ms, 5);
    EXPECT_EQ(document->queues[0].policy->valid_ms, 4000);
    const auto call =
        protocol.encode_question({"5c0e7a21d94b36f8", 0, 1, {"i-1", "i-2"}});
    EXPECT_EQ(call.target, "/-/advise");
    EXPECT_EQ(call.body,
              R"({"step":"5c0e7a21d94b36f8.0.1","workers":["i-1","i-2"]})");
    const auto tickets =
        protocol.decode_tickets(R"({"allowed":[["i-2","t"]]})");
    ASSERT_TRUE(tickets.ok()) << tickets.status();
    ASSERT_EQ(tickets->size(), 1U);
    EXPECT_EQ((*tickets)[0].worker, "i-2");
    EXPECT_EQ((*tickets)[0].ticket, "t");
    EXPECT_FALSE(protocol.decode_tickets(R"({"allowed":[["i-2"]]})").ok());
    EXPECT_FALSE(protocol.decode_tickets("{}").ok());
}

// Guards against fillers that are not paced because the order is wrong, its
// answer is misread or the workers' figures are lost.
TEST(platform_protocol, exchanges_paces_and_figures_with_workers)
{
    const platform_protocol protocol;
    fleet::run_ref run;
    ASSERT_TRUE(parse_subtask_name("5c0e7a21d94b36f8.0.1.17", run));
    run.set_run(2);
    const auto call = protocol.encode_pace({run, "i-1", 25, 7});
    EXPECT_EQ(call.method, "POST");
    EXPECT_EQ(call.target, "/-/pace");
    EXPECT_EQ(call.body, R"({"fence":7,"percent":25,"run":2,)"
                         R"("task":"5c0e7a21d94b36f8.0.1.17"})");
    EXPECT_EQ(protocol.decode_order(200, R"({"clock_ms":5})").result,
              fleet::order_result::accepted);
    EXPECT_FALSE(protocol.decode_order(200, "{}").not_supported);
    for (const unsigned status : {404U, 405U, 501U})
    {
        const auto answer = protocol.decode_order(status, "");
        EXPECT_TRUE(answer.not_supported) << status;
        EXPECT_EQ(answer.result, fleet::order_result::unknown) << status;
    }
    const auto lists = protocol.decode_lists(
        R"({"clock_ms":1,"ended":[],"running":[["a.0.0.0",1,"",5,180],)"
        R"(["a.0.0.1",1,"",5],["a.0.0.2",1,"",5,null],["a.0.0.3",1,"",5,-1]]})");
    ASSERT_TRUE(lists.ok()) << lists.status();
    ASSERT_EQ(lists->running.size(), 4U);
    EXPECT_EQ(lists->running[0].recent_figure, 180);
    EXPECT_FALSE(lists->running[1].recent_figure);
    EXPECT_FALSE(lists->running[2].recent_figure);
    EXPECT_FALSE(lists->running[3].recent_figure);
}

// Guards against a malformed subtask name that is taken for another subtask.
TEST(platform_protocol, subtask_names_round_trip)
{
    fleet::run_ref run;
    ASSERT_TRUE(parse_subtask_name("5c0e7a21d94b36f8.0.1.17", run));
    EXPECT_EQ(subtask_name(run), "5c0e7a21d94b36f8.0.1.17");
    for (const char* bad : {"", "a.1.2", "a.1.2.x", ".1.2.3", "a.b.1.2.3",
                            "a.-1.2.3", "a.1.2.99999999999"})
    {
        EXPECT_FALSE(parse_subtask_name(bad, run)) << bad;
    }
}

// Guards against a worker's refusal that is taken for another result.
TEST(platform_protocol, decodes_answers_to_orders)
{
    const platform_protocol protocol;
    const auto result = [&](unsigned status, const std::string& reason)
    {
        return protocol
            .decode_order(status,
                          R"({"clock_ms":5,"reason":")" + reason + R"("})")
            .result;
    };
    EXPECT_EQ(result(200, ""), fleet::order_result::accepted);
    EXPECT_EQ(result(409, "fence"), fleet::order_result::newer_epoch);
    EXPECT_EQ(result(409, "old"), fleet::order_result::old_run);
    EXPECT_EQ(result(409, "late"), fleet::order_result::expired);
    EXPECT_EQ(result(409, "room"), fleet::order_result::no_capacity);
    EXPECT_EQ(result(409, "new"), fleet::order_result::unknown);
    EXPECT_EQ(result(421, ""), fleet::order_result::other_worker);
    EXPECT_EQ(result(500, ""), fleet::order_result::unknown);
}

// Guards against a host that ends when it reads a deeply nested message of
// another writer or of a caller.
TEST(platform_protocol, deeply_nested_messages_are_refused)
{
    const platform_protocol protocol;
    constexpr std::size_t levels = 100000;
    const std::string opened(levels, '[');
    const std::string closed(levels, ']');
    for (const auto& value : {opened + closed, opened,
                              absl::StrCat("\"\\\"", opened, "\",", closed)})
    {
        const auto body = replaced(report_text, R"("v1")", value);
        EXPECT_FALSE(protocol.decode_report("i", body).ok());
        EXPECT_FALSE(protocol.decode_lists(body).ok());
        EXPECT_FALSE(protocol.decode_document(body).ok());
        EXPECT_FALSE(protocol.decode_job(body).ok());
        EXPECT_FALSE(protocol.decode_tickets(body).ok());
    }
    // Brackets in a text are not nested values.
    EXPECT_TRUE(
        protocol
            .decode_report("i", replaced(report_text, R"("v1")",
                                         absl::StrCat("\"", opened, "\"")))
            .ok());
}

// Guards against a report of another writer that is taken for a worker: it
// would attract gangs, and sums over all workers would overflow.
TEST(platform_protocol, odd_reports_are_refused)
{
    const platform_protocol protocol;
    const std::vector<std::pair<std::string, std::string>> changes{
        {"10.128.0.9:8080", "10.128.0.9:99999"},
        {"10.128.0.9:8080", "10.128.0.9:0"},
        {"10.128.0.9:8080", "10.128.0.9:"},
        {"10.128.0.9:8080", ":8080"},
        {"10.128.0.9:8080", "worker:8080"},
        {"10.128.0.9:8080", "10.128.0.9:-1"},
        {R"("gpu":4)", R"("gpu":4611686018427387904)"},
        {R"("gpu":4)", R"("gpu":18446744073709551615)"},
        {R"("gpu":4)", R"("gpu":1e400)"},
        {R"("gpu":4)", R"("gpu":-1)"},
        {R"("cpu":16000)", R"("cpu":9223372036854775807)"},
        {R"("mem_mb":32768)", R"("mem_mb":9223372036854775807)"},
        {R"("seq":4)", R"("seq":9223372036854775807)"},
        {R"("clock_ms":482113)", R"("clock_ms":9223372036854775807)"},
        {R"("born":1700000000000)", R"("born":9223372036854775807)"}};
    for (const auto& [from, to] : changes)
    {
        EXPECT_FALSE(
            protocol.decode_report("i", replaced(report_text, from, to)).ok())
            << to;
    }
    EXPECT_TRUE(protocol.decode_report("i-7f3a91c2", report_text).ok());
}

// Guards against an id that is not valid UTF-8: no host could parse the entry
// of the replicated log that holds it, nor the other commands in that entry.
TEST(platform_protocol, odd_worker_ids_are_refused)
{
    const platform_protocol protocol;
    for (const std::string id : {"", "\xff", "i-\xc3", "i 1", "i\n1", "i\t"})
    {
        EXPECT_FALSE(protocol.decode_report(id, report_text).ok()) << id;
    }
    EXPECT_FALSE(
        protocol.decode_report(std::string(100000, 'i'), report_text).ok());
}

// Guards against a call whose bytes are not valid UTF-8: the receiving host
// could not parse the frame and closed the connection that all calls share.
TEST(platform_protocol, forwarded_calls_hold_any_bytes)
{
    fleet::peer_frame frame;
    auto& call = *frame.mutable_call();
    call.set_method("PUT");
    call.set_host("\xff.example");
    call.set_target("/-/instances/\xff");
    call.set_authorization("Bearer \xfe");
    fleet::peer_frame parsed;
    ASSERT_TRUE(parsed.ParseFromString(frame.SerializeAsString()));
    EXPECT_EQ(parsed.call().target(), "/-/instances/\xff");
}

// Guards against a run number that is cut to that of another run, and against a
// progress beyond the range of its type.
TEST(platform_protocol, odd_numbers_in_lists_are_not_truncated)
{
    const platform_protocol protocol;
    const auto with =
        [&protocol](const std::string& from, const std::string& to)
    {
        return protocol.decode_lists(replaced(lists_text, from, to));
    };
    EXPECT_FALSE(with(R"(1.17",2,)", R"(1.17",4294967298,)").ok());
    EXPECT_FALSE(with(R"(1.9",1,)", R"(1.9",4294967297,)").ok());
    EXPECT_FALSE(with("482113", "9223372036854775807").ok());
    const auto lists = with("41]", "1e300]");
    ASSERT_TRUE(lists.ok());
    EXPECT_EQ(lists->running[0].percent, 100);
    EXPECT_EQ(with("41]", "-1e300]")->running[0].percent, 0);
}

// Guards against a job whose needs overflow when they are added up.
TEST(platform_protocol, odd_numbers_in_jobs_are_refused)
{
    const platform_protocol protocol;
    for (const auto* const field :
         {R"("gpu":4611686018427387904)", R"("cpu":4611686018427387904)",
          R"("estimate_ms":9223372036854775807)"})
    {
        EXPECT_FALSE(protocol
                         .decode_job(absl::StrCat(R"({"steps":[{"count":2,)",
                                                  field, "}]}"))
                         .ok())
            << field;
    }
    EXPECT_FALSE(protocol
                     .decode_job(R"({"steps":[{"count":1}],"repeat_count":9,)"
                                 R"("interval_ms":9223372036854775807})")
                     .ok());
}

// Guards against input that crashes the process or is accepted in part. Bytes
// of valid messages are changed, removed and repeated at random.
TEST(platform_protocol, decoders_do_not_crash_on_corrupted_input)
{
    const platform_protocol protocol;
    std::mt19937 random(20261204);
    const std::vector<std::string> valid_texts{document_text, job_text,
                                               report_text, lists_text};
    constexpr int rounds = 4000;
    for (int i = 0; i < rounds; ++i)
    {
        auto text = valid_texts[random() % valid_texts.size()];
        for (auto edits = random() % 6 + 1; edits > 0 && !text.empty(); --edits)
        {
            const auto at = random() % text.size();
            switch (random() % 6)
            {
            case 4:
                text.insert(at, "9223372036854775807");
                break;
            case 5:
                text.insert(at, std::string(random() % 200, '['));
                break;
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, random() % 9);
                break;
            case 2:
                text.insert(at, text.substr(random() % text.size(), 7));
                break;
            default:
                text.resize(at);
            }
        }
        const auto document = protocol.decode_document(text);
        EXPECT_TRUE(!document.ok() || document->version > 0);
        const auto job = protocol.decode_job(text);
        EXPECT_TRUE(!job.ok() || job->steps_size() > 0);
        const auto report = protocol.decode_report("i", text);
        EXPECT_TRUE(!report.ok() || !report->worker.service().empty() ||
                    report->worker.address().size() > 1);
        static_cast<void>(protocol.decode_lists(text));
        static_cast<void>(protocol.decode_order(200, text));
        static_cast<void>(protocol.decode_tickets(text));
    }
}

} // namespace
} // namespace limpetstack::platform
