#pragma once

#include "coordination/fleet/fleet_service.hpp"
#include "platform_protocol.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{

inline const std::string document_text = R"({"version":5,
 "routes":[{"name":"q","host":"a.example","prefix":"/q/","timeout_ms":3000,
   "service":"s","attempts":2,"priority":1},
  {"name":"open","host":"a.example","prefix":"/q/open/","timeout_ms":3000,
   "service":"s","public":true}],
 "services":[{"name":"s"}],
 "tenants":[{"name":"t","keys":["key"]}]})";

inline const std::string job_text = R"({"spec":"x","steps":[{"count":1}]})";
inline const std::string job_path = "/q/0123456789abcdef";

inline std::string report_text(const std::string& state, std::int64_t born)
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

    // What accepted jobs may cost from now on.
    void limit_job_room(std::size_t bytes) { job_room_bytes = bytes; }

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
        out.job_room_limit = [this]
        {
            return job_room_bytes;
        };
        out.worker_room_limit = [this]
        {
            return worker_room_bytes;
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
    std::size_t worker_room_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t job_room_bytes = std::numeric_limits<std::size_t>::max();
    std::uint64_t term = 3;
    std::uint64_t sent_to_term = 0; // Of the calls that are sent next.
    std::uint64_t origin = 0;       // Of the calls that are sent next.
    std::uint64_t call_id = 0;
    bool repeated = false;
    fleet_service service;
};

} // namespace limpetstack::fleet
