#include "support/request_history.hpp"

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

constexpr std::chrono::seconds call_timeout{15};

// What is known of one id.
struct id_summary
{
    int runs = 0;
    bool done = false;
    bool not_run = false;
    std::string answer;
};

std::string check_answer(const request_call& call)
{
    const auto answer = json::parse(call.answer, nullptr, false);
    if (!answer.is_object() || answer.value("id", "") != call.id ||
        answer.value("echo", "") != call.body)
    {
        return "id " + call.id + " got an answer that is not its own or not " +
               "whole: " + call.answer.substr(0, 100);
    }
    return "";
}

std::string check_call(const request_call& call, id_summary& known, bool once)
{
    if (call.outcome == "not_run")
    {
        known.not_run = true;
    }
    if (call.outcome != "done")
    {
        return "";
    }
    auto error = call.status == 200 ? check_answer(call) : "";
    if (!error.empty())
    {
        return error;
    }
    if (once && known.done && known.answer != call.answer)
    {
        return "id " + call.id + " got two different answers";
    }
    known.done = true;
    known.answer = call.answer;
    return "";
}

std::string check_id(const std::string& id, const id_summary& known, bool once)
{
    if (once && known.runs > 1)
    {
        return "id " + id + " ran " + std::to_string(known.runs) + " times";
    }
    if (known.done && known.runs == 0)
    {
        return "id " + id + " has an answer and never ran";
    }
    // Without records of its own, an idempotent id may run after a resend.
    if (once && known.not_run && known.runs > 0)
    {
        return "id " + id + " ran, and its caller heard not_run";
    }
    if (once && known.not_run && known.done)
    {
        return "id " + id + " is done, and its caller heard not_run";
    }
    return "";
}

} // namespace

std::string check_requests(const std::vector<request_call>& calls,
                           const std::vector<request_run>& runs, bool once)
{
    std::map<std::string, id_summary> ids;
    for (const auto& run : runs)
    {
        ids[run.id].runs += run.refused ? 0 : 1;
    }
    for (const auto& call : calls)
    {
        auto error = check_call(call, ids[call.id], once);
        if (!error.empty())
        {
            return error;
        }
    }
    for (const auto& [id, known] : ids)
    {
        auto error = check_id(id, known, once);
        if (!error.empty())
        {
            return error;
        }
    }
    return "";
}

request_recorder::request_recorder(const deployment& system)
    : system_(system)
{
}

std::string request_recorder::new_id(const std::string& host) const
{
    const auto answer = post(system_.callers(host), "/v1/request-ids", "");
    const auto content = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && content.is_object() ? content.value("id", "")
                                                       : "";
}

request_call request_recorder::send(const std::string& host,
                                    const std::string& service,
                                    const std::string& id,
                                    const std::string& body,
                                    const std::string& caller)
{
    http_headers headers = {{"Limpetstack-Caller", caller}};
    if (!id.empty())
    {
        headers["Limpetstack-Request-Id"] = id;
    }
    const auto answer =
        post(system_.callers(host),
             "/v1/accounts/addis/services/" + service + "/requests", body,
             headers, call_timeout);
    request_call call;
    call.body = body;
    call.status = answer.status;
    call.answer = answer.body;
    const auto outcome = answer.headers.find("Limpetstack-Outcome");
    call.outcome = outcome == answer.headers.end() ? "" : outcome->second;
    const auto heard_id = answer.headers.find("Limpetstack-Request-Id");
    call.id = heard_id == answer.headers.end() ? id : heard_id->second;
    const std::lock_guard lock(mutex_);
    calls_.push_back(call);
    return call;
}

std::vector<request_call> request_recorder::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

std::vector<request_run>
request_recorder::runs(const std::vector<std::string>& upstreams) const
{
    std::vector<request_run> result;
    for (const auto& upstream : upstreams)
    {
        const auto answer = get(system_.stand_in_address(upstream), "/history");
        const auto history = json::parse(answer.body);
        for (const auto& run : history["runs"])
        {
            result.push_back({run.value("id", ""), upstream,
                              run.value("refused", false),
                              run.value("leaving", false)});
        }
    }
    return result;
}

} // namespace limpetstack::test
