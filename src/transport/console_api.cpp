#include "transport/console_api.hpp"

#include "base/hash.hpp"
#include "protocol/json_codec.hpp"
#include "transport/console_page.hpp"
#include "transport/operator_answer.hpp"
#include "transport/operator_api.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

namespace limpetstack
{
namespace
{

constexpr int request_id_bytes = 16;

std::string new_request_id()
{
    return "console-" + random_hex(request_id_bytes);
}

std::string field(const httplib::Request& request, const char* name)
{
    return request.has_param(name) ? request.get_param_value(name) : "";
}

void write(const console_page& page, int status, httplib::Response& response)
{
    response.status = status;
    response.set_header("Cache-Control", "no-store");
    response.set_header("Content-Security-Policy",
                        "default-src 'none'; style-src 'unsafe-inline'; "
                        "form-action 'self'; frame-ancestors 'none'");
    response.set_content(render(page), "text/html; charset=utf-8");
}

// Returns the form with the version in force.
console_page current_page(const operator_handlers& handlers)
{
    console_page page;
    page.request_id = new_request_id();
    const auto config = handlers.config().body;
    page.base_version = config.value("version", 0ULL);
    const auto form = form_of_document(config.value("document", ""));
    if (!form.ok())
    {
        page.failed = true;
        page.notice = absl::StrCat("The version in force can not be shown: ",
                                   std::string(form.status().message()));
        return page;
    }
    page.form = *form;
    return page;
}

console_page submitted_page(const httplib::Request& request)
{
    console_page page;
    page.form = form_of_fields(request.params);
    page.request_id = field(request, "request_id");
    page.operator_name = field(request, "operator");
    // A wrong number stays 0, which a later version refuses as a conflict.
    if (!absl::SimpleAtoi(field(request, "base_version"), &page.base_version))
    {
        page.base_version = 0;
    }
    return page;
}

std::vector<document_error> read_errors(const nlohmann::json& body)
{
    std::vector<document_error> errors;
    for (const auto& item : body.value("errors", nlohmann::json::array()))
    {
        errors.push_back({item.value("line", 0), item.value("column", 0),
                          item.value("path", ""), item.value("message", "")});
    }
    return errors;
}

void report_refusal(console_page& page, const operator_answer& answer)
{
    page.failed = true;
    const auto code = answer.body.value("code", "");
    const auto message = answer.body.value("message", "");
    if (code == "invalid")
    {
        page.errors = read_errors(answer.body);
        page.notice = absl::StrCat("Refused: ", page.errors.size(),
                                   " errors. Nothing was changed.");
    }
    else if (code == "conflict")
    {
        // The next try is another request, on a base that was looked at.
        page.request_id = new_request_id();
        page.notice = absl::StrCat(
            "Refused: ", answer.body.value("winner", "another operator"),
            " was faster, version ", answer.body.value("version", 0ULL),
            " is in force. ", message,
            " Your entries are kept below; load the version in force to go on "
            "from it.");
    }
    else if (code == "unavailable")
    {
        page.notice = "Nothing was changed: " + message;
    }
    else
    {
        // The same request id makes a repeated apply safe.
        page.notice = absl::StrCat("The outcome is unknown: ", message,
                                   " Press Apply again; it is applied once.");
    }
}

void apply(const operator_handlers& handlers, console_page& page)
{
    if (page.operator_name.empty())
    {
        page.failed = true;
        page.notice = "Enter your name; the audit trail records it.";
        return;
    }
    config_change change;
    change.base_version = page.base_version;
    change.document = document_of_form(page.form);
    change.operator_name = page.operator_name;
    change.request_id = page.request_id;
    const auto answer = handlers.change_config(change);
    if (answer.status != 200)
    {
        report_refusal(page, answer);
        return;
    }
    page.base_version = answer.body.value("version", 0ULL);
    page.request_id = new_request_id();
    page.notice = absl::StrCat("Accepted as version ", page.base_version, ".");
}

void check(const operator_handlers& handlers, console_page& page)
{
    page.errors = handlers.check_document(document_of_form(page.form));
    page.failed = !page.errors.empty();
    page.notice = page.failed ? absl::StrCat(page.errors.size(), " errors.")
                              : "No errors. Press Apply to put it in force.";
}

int act(const operator_handlers& handlers, const std::string& action,
        console_page& page)
{
    const auto colon = action.find(':');
    const auto verb = action.substr(0, colon);
    const auto place =
        colon == std::string::npos ? "" : action.substr(colon + 1);
    if (verb == "apply")
    {
        apply(handlers, page);
    }
    else if (verb == "add")
    {
        page.failed = !add_entry(page.form, place);
    }
    else if (verb == "remove")
    {
        page.failed = !remove_entry(page.form, place);
    }
    else
    {
        check(handlers, page);
    }
    return page.failed ? 422 : 200;
}

} // namespace

void add_console(httplib::Server& server, const operator_handlers& handlers)
{
    server.Get("/console",
               [&handlers](const httplib::Request&, httplib::Response& response)
               {
                   write(current_page(handlers), 200, response);
               });
    server.Post("/console",
                [&handlers](const httplib::Request& request,
                            httplib::Response& response)
                {
                    auto page = submitted_page(request);
                    const int status =
                        act(handlers, field(request, "action"), page);
                    write(page, status, response);
                });
}

} // namespace limpetstack
