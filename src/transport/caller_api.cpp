#include "transport/caller_api.hpp"

#include "coordination/gang_coordinator.hpp"
#include "protocol/json_codec.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <peer.pb.h>

#include <memory>

namespace limpetstack
{
namespace
{

using httplib::Request;
using httplib::Response;
using nlohmann::json;
using handlers_ptr = std::shared_ptr<const caller_handlers>;

constexpr std::size_t name_limit_bytes = 256;
constexpr std::uint64_t deadline_limit_ms = 3600ULL * 1000;

const char* outcome_name(wire::request_outcome outcome)
{
    switch (outcome)
    {
    case wire::outcome_done:
        return "done";
    case wire::outcome_not_run:
        return "not_run";
    case wire::outcome_refused:
        return "refused";
    default:
        return "unknown";
    }
}

int default_status(wire::request_outcome outcome)
{
    switch (outcome)
    {
    case wire::outcome_not_run:
        return 503;
    case wire::outcome_refused:
        return 400;
    default:
        return 504;
    }
}

void write_answer(const wire::forwarded_answer& answer, const std::string& id,
                  Response& response)
{
    response.set_header("Limpetstack-Outcome", outcome_name(answer.outcome()));
    if (!id.empty())
    {
        response.set_header("Limpetstack-Request-Id", id);
    }
    if (!answer.reason().empty())
    {
        response.set_header("Limpetstack-Reason", answer.reason());
    }
    if (answer.outcome() == wire::outcome_done)
    {
        response.status = static_cast<int>(answer.status());
        response.set_content(answer.body(), answer.content_type());
        return;
    }
    if (answer.retry_after_ms() > 0)
    {
        const auto seconds = (answer.retry_after_ms() + 999) / 1000;
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.status = answer.status() != 0 ? static_cast<int>(answer.status())
                                           : default_status(answer.outcome());
    response.set_content(json{{"outcome", outcome_name(answer.outcome())},
                              {"reason", answer.reason()}}
                             .dump(),
                         "application/json");
}

bool valid_name(const std::string& value)
{
    return value.size() <= name_limit_bytes;
}

// Returns an error text, empty when the request was read.
std::string read_request(const Request& request, const caller_handlers& given,
                         wire::forwarded_request& result)
{
    result.set_account(request.matches[1]);
    result.set_service(request.matches[2]);
    result.set_id(request.get_header_value("Limpetstack-Request-Id"));
    result.set_caller(request.has_header("Limpetstack-Caller")
                          ? request.get_header_value("Limpetstack-Caller")
                          : "anonymous");
    if (!valid_name(result.id()) || !valid_name(result.caller()))
    {
        return absl::StrCat(
            "Limpetstack-Request-Id and Limpetstack-Caller may have ",
            name_limit_bytes, " bytes at most");
    }
    std::uint64_t deadline =
        static_cast<std::uint64_t>(given.default_deadline.count());
    if (request.has_header("Limpetstack-Deadline-Ms") &&
        (!absl::SimpleAtoi(request.get_header_value("Limpetstack-Deadline-Ms"),
                           &deadline) ||
         deadline == 0 || deadline > deadline_limit_ms))
    {
        return absl::StrCat("Limpetstack-Deadline-Ms must be an integer from "
                            "1 to ",
                            deadline_limit_ms);
    }
    result.set_deadline_ms(static_cast<std::uint32_t>(deadline));
    result.set_content_type(request.get_header_value("Content-Type"));
    result.set_body(request.body);
    result.set_entry_host(given.host);
    return "";
}

void handle_request(const caller_handlers& given, const Request& request,
                    Response& response)
{
    wire::forwarded_request forwarded;
    const auto error = read_request(request, given, forwarded);
    if (!error.empty())
    {
        set_error(response, 400, error);
        response.set_header("Limpetstack-Outcome", "refused");
        return;
    }
    const auto answer = given.submit(forwarded);
    write_answer(answer, forwarded.id(), response);
}

void handle_new_id(const caller_handlers& given, Response& response)
{
    const auto id = given.new_request_id();
    if (id.empty())
    {
        response.set_header("Retry-After", "1");
        set_error(response, 503,
                  "this data centre has no journal owner yet; try again");
        return;
    }
    response.set_content(json{{"id", id}}.dump(), "application/json");
}

void write_job(const wire::job_answer& answer, const std::string& data_centre,
               int status, Response& response)
{
    if (answer.unknown())
    {
        // The id lets the caller ask what became of the job.
        response.set_header("Retry-After", "1");
        response.status = 504;
        response.set_content(
            json{{"error", answer.reason()}, {"id", answer.job_id()}}.dump(),
            "application/json");
        return;
    }
    if (!answer.available())
    {
        response.set_header("Retry-After", "1");
        set_error(response, 503, answer.reason());
        return;
    }
    if (!answer.has_job())
    {
        set_error(response, 404, answer.reason());
        return;
    }
    auto content = to_json(answer.job(), data_centre);
    const bool refused = answer.job().state() == "refused";
    if (refused)
    {
        content["error"] =
            answer.reason().empty() ? answer.job().reason() : answer.reason();
    }
    response.status = refused ? 422 : status;
    response.set_content(content.dump(), "application/json");
}

void handle_submit_job(const caller_handlers& given, const Request& request,
                       Response& response)
{
    const auto submission = parse_job(request.matches[1], request.body);
    if (!submission.ok())
    {
        set_error(response, 400, std::string(submission.status().message()));
        return;
    }
    const auto answer = given.submit_job(*submission);
    write_job(answer, parse_job_id(answer.job().id()).data_centre, 202,
              response);
}

void handle_find_job(const caller_handlers& given, const Request& request,
                     Response& response)
{
    wire::job_query query;
    query.set_account(request.matches[1]);
    query.set_id(request.matches[2]);
    query.set_data_centre(parse_job_id(query.id()).data_centre);
    const auto found = given.list_jobs(query);
    wire::job_answer answer;
    answer.set_available(found.available());
    answer.set_reason(found.available() ? "no such job" : found.reason());
    if (found.jobs_size() > 0)
    {
        *answer.mutable_job() = found.jobs(0);
    }
    write_job(answer, query.data_centre(), 200, response);
}

void handle_cancel_job(const caller_handlers& given, const Request& request,
                       Response& response)
{
    wire::job_cancel cancel;
    cancel.set_account(request.matches[1]);
    cancel.set_id(request.matches[2]);
    cancel.set_data_centre(parse_job_id(cancel.id()).data_centre);
    write_job(given.cancel_job(cancel), cancel.data_centre(), 200, response);
}

template <class Entry, class Accept>
void handle_announcement(const caller_handlers& given,
                         const absl::StatusOr<Entry>& entry,
                         const Accept& accept, Response& response)
{
    if (!entry.ok())
    {
        set_error(response, 400, std::string(entry.status().message()));
        return;
    }
    const bool accepted = accept(*entry);
    response.set_content(json{{"host", given.host},
                              {"lease_ms", given.announcement_lease.count()},
                              {"accepted", accepted}}
                             .dump(),
                         "application/json");
}

constexpr const char* request_path =
    R"(/v1/accounts/([A-Za-z0-9._-]+)/services/([A-Za-z0-9._-]+)/requests)";
constexpr const char* jobs_path = R"(/v1/accounts/([A-Za-z0-9._-]+)/jobs)";
constexpr const char* job_path =
    R"(/v1/accounts/([A-Za-z0-9._-]+)/jobs/([A-Za-z0-9._-]+))";

void add_work_routes(httplib::Server& server, const handlers_ptr& given)
{
    server.Post(request_path,
                [given](const Request& request, Response& response)
                {
                    handle_request(*given, request, response);
                });
    server.Post("/v1/request-ids",
                [given](const Request&, Response& response)
                {
                    handle_new_id(*given, response);
                });
    server.Post(jobs_path,
                [given](const Request& request, Response& response)
                {
                    handle_submit_job(*given, request, response);
                });
    server.Get(job_path,
               [given](const Request& request, Response& response)
               {
                   handle_find_job(*given, request, response);
               });
    server.Delete(job_path,
                  [given](const Request& request, Response& response)
                  {
                      handle_cancel_job(*given, request, response);
                  });
}

void add_announcement_routes(httplib::Server& server, const handlers_ptr& given)
{
    server.Post("/v1/upstreams",
                [given](const Request& request, Response& response)
                {
                    handle_announcement(*given, parse_upstream(request.body),
                                        given->announce_upstream, response);
                });
    server.Post("/v1/workers",
                [given](const Request& request, Response& response)
                {
                    handle_announcement(*given, parse_worker(request.body),
                                        given->announce_worker, response);
                });
}

} // namespace

absl::StatusOr<std::unique_ptr<http_listener>>
open_caller_api(const std::string& address,
                const http_listener_options& options,
                const caller_handlers& handlers)
{
    const auto given = std::make_shared<const caller_handlers>(handlers);
    return http_listener::open(address, options,
                               [given](httplib::Server& server)
                               {
                                   add_work_routes(server, given);
                                   add_announcement_routes(server, given);
                               });
}

} // namespace limpetstack
