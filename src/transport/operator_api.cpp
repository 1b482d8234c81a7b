#include "transport/operator_api.hpp"

#include "limpetstack/document.hpp"
#include "protocol/json_codec.hpp"
#include "transport/bounded_http_server.hpp"
#include "transport/console_api.hpp"
#include "transport/operator_answer.hpp"

#include <absl/strings/numbers.h>
#include <httplib.h>

#include <memory>

namespace limpetstack
{
namespace
{

using httplib::Request;
using httplib::Response;
using nlohmann::json;
using handlers_ptr = std::shared_ptr<const operator_handlers>;

void write(const operator_answer& answer, Response& response)
{
    response.status = answer.status;
    response.set_content(answer.body.dump(), "application/json");
}

void handle_change(const operator_handlers& given, const Request& request,
                   Response& response)
{
    const auto change = parse_config_change(request.body);
    if (!change.ok())
    {
        set_error(response, 400, std::string(change.status().message()));
        return;
    }
    write(given.change_config(*change), response);
}

// Reads a number from the query; false when it is there and not a number.
template <class Number>
bool read_number(const Request& request, const char* name, Number& value)
{
    return !request.has_param(name) ||
           absl::SimpleAtoi(request.get_param_value(name), &value);
}

void handle_audit(const operator_handlers& given, const Request& request,
                  Response& response)
{
    std::uint64_t after = 0;
    std::uint32_t limit = 0;
    if (!read_number(request, "after", after) ||
        !read_number(request, "limit", limit))
    {
        set_error(response, 400, "after and limit must be numbers");
        return;
    }
    write(given.audit(after, limit), response);
}

constexpr const char* evacuation_prefix = "/v1/evacuations/";
constexpr std::size_t longest_parameter = 128;

void handle_evacuation(const operator_handlers& given, const Request& request,
                       Response& response)
{
    evacuation_change change;
    change.data_centre =
        request.path.substr(std::string(evacuation_prefix).size());
    change.active = request.method == "PUT";
    change.operator_name = request.get_param_value("operator");
    change.request_id = request.get_param_value("request_id");
    if (change.operator_name.size() > longest_parameter ||
        change.request_id.size() > longest_parameter)
    {
        set_error(response, 400,
                  "operator and request_id have at most 128 bytes");
        return;
    }
    write(given.change_evacuation(change), response);
}

void add_evacuations(httplib::Server& server, const handlers_ptr& given)
{
    const auto handle = [given](const Request& request, Response& response)
    {
        handle_evacuation(*given, request, response);
    };
    const auto pattern = std::string(evacuation_prefix) + R"([\s\S]*)";
    server.Put(pattern, handle);
    server.Delete(pattern, handle);
    // Without a length the library reads a body until the client closes, so
    // that such a call without a body would wait for the time-out.
    server.set_pre_routing_handler(
        [handle](const Request& request, Response& response)
        {
            if (refuse_encoded_body(request))
            {
                return httplib::Server::HandlerResponse::Handled;
            }
            const bool matches =
                (request.method == "PUT" || request.method == "DELETE") &&
                request.path.rfind(evacuation_prefix, 0) == 0;
            if (!matches || request.has_header("Content-Length") ||
                request.has_header("Transfer-Encoding"))
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            handle(request, response);
            return httplib::Server::HandlerResponse::Handled;
        });
}

void add_list(httplib::Server& server, const handlers_ptr& given,
              const std::string& name,
              std::function<json()> operator_handlers::*list)
{
    server.Get("/v1/" + name,
               [given, name, list](const Request&, Response& response)
               {
                   write({200, json{{name, ((*given).*list)()}}}, response);
               });
}

void add_answer(httplib::Server& server, const handlers_ptr& given,
                const std::string& path,
                std::function<operator_answer()> operator_handlers::*handler)
{
    server.Get(path,
               [given, handler](const Request&, Response& response)
               {
                   write(((*given).*handler)(), response);
               });
}

void add_health(httplib::Server& server, const handlers_ptr& given)
{
    server.Get("/metrics",
               [given](const Request&, Response& response)
               {
                   response.set_content(given->metrics(),
                                        "text/plain; version=0.0.4");
               });
    server.Get("/health/live",
               [](const Request&, Response& response)
               {
                   response.set_content("live\n", "text/plain");
               });
    server.Get("/health/ready",
               [given](const Request&, Response& response)
               {
                   const auto reason = given->not_ready();
                   response.status = reason.empty() ? 200 : 503;
                   response.set_content((reason.empty() ? "ready" : reason) +
                                            "\n",
                                        "text/plain");
               });
}

void add_routes(httplib::Server& server, const handlers_ptr& given)
{
    add_answer(server, given, "/v1/config", &operator_handlers::config);
    add_answer(server, given, "/v1/members", &operator_handlers::members);
    add_list(server, given, "evacuations", &operator_handlers::evacuations);
    add_evacuations(server, given);
    add_list(server, given, "accounts", &operator_handlers::accounts);
    add_list(server, given, "upstreams", &operator_handlers::upstreams);
    add_list(server, given, "workers", &operator_handlers::workers);
    add_list(server, given, "jobs", &operator_handlers::jobs);
    add_list(server, given, "hosts", &operator_handlers::hosts);
    server.Get("/v1/audit",
               [given](const Request& request, Response& response)
               {
                   handle_audit(*given, request, response);
               });
    server.Post("/v1/config",
                [given](const Request& request, Response& response)
                {
                    handle_change(*given, request, response);
                });
    add_health(server, given);
    add_console(server, *given);
}

} // namespace

absl::StatusOr<std::unique_ptr<http_listener>>
open_operator_api(const std::string& address,
                  const http_listener_options& options,
                  const operator_handlers& handlers)
{
    const auto given = std::make_shared<const operator_handlers>(handlers);
    return http_listener::open(address, options,
                               [given](httplib::Server& server)
                               {
                                   add_routes(server, given);
                               });
}

} // namespace limpetstack
