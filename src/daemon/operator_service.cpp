#include "daemon/operator_service.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/metrics.hpp"
#include "base/name_rule.hpp"
#include "coordination/guarantee.hpp"
#include "coordination/membership.hpp"
#include "daemon/control_service.hpp"
#include "daemon/work_service.hpp"
#include "protocol/document_command.hpp"
#include "protocol/json_codec.hpp"
#include "state/registry.hpp"
#include "transport/operator_answer.hpp"
#include "transport/operator_api.hpp"

#include <peer.pb.h>

namespace limpetstack
{
namespace
{

using nlohmann::json;

constexpr milliseconds change_timeout{10000};
constexpr int request_id_bytes = 16;

operator_answer show_config(control_service& control)
{
    wire::config_request request;
    const auto config = control.read_config(request);
    return {200,
            {{"version", config.version()},
             {"operator", control.last_operator(config.version())},
             {"document", config.document()}}};
}

operator_answer to_answer(const wire::command_outcome& outcome)
{
    switch (outcome.code())
    {
    case wire::command_accepted:
        return {200, {{"code", "accepted"}, {"version", outcome.version()}}};
    case wire::command_conflict:
        return {409,
                {{"code", "conflict"},
                 {"version", outcome.version()},
                 {"winner", outcome.winner()},
                 {"message", outcome.message()}}};
    case wire::command_invalid:
        return {422,
                {{"code", "invalid"},
                 {"errors",
                  {{{"line", 0},
                    {"column", 0},
                    {"path", ""},
                    {"message", outcome.message()}}}}}};
    case wire::command_unavailable:
        return {503, {{"code", "unavailable"}, {"message", outcome.message()}}};
    default:
        return {504, {{"code", "unknown"}, {"message", outcome.message()}}};
    }
}

// Every reason why a document can not be accepted, whatever its version.
std::vector<document_error> find_errors(const parsed_document& parsed)
{
    auto errors = parsed.errors;
    if (!parsed.value)
    {
        return errors;
    }
    for (const auto& conflict : check_guarantees(*parsed.value))
    {
        errors.push_back({0, 0, "client_accounts", conflict.message});
    }
    return errors;
}

operator_answer change_config(control_service& control,
                              const config_change& change)
{
    const auto parsed = parse_document(change.document);
    const auto errors = find_errors(parsed);
    if (!errors.empty())
    {
        return {422, {{"code", "invalid"}, {"errors", to_json(errors)}}};
    }
    wire::control_command command;
    command.set_request_id(change.request_id);
    command.set_operator_name(change.operator_name);
    command.set_host(control.host());
    command.set_time_ms(wall_clock_ms());
    *command.mutable_document() = make_apply_document(
        change.base_version, change.document, *parsed.value);
    const auto outcome = control.client().submit(command, change_timeout);
    if (outcome.code() == wire::command_accepted)
    {
        // An operator who reads the configuration here next sees the change.
        control.config().poll();
    }
    return to_answer(outcome);
}

json list_evacuations(control_service& control)
{
    json list = json::array();
    const auto set = control.config().evacuations();
    for (const auto& entry : set.evacuations())
    {
        list.push_back({{"data_centre", entry.data_centre()},
                        {"operator", entry.operator_name()},
                        {"time_ms", entry.time_ms()}});
    }
    return list;
}

// Tasks that workers of a data centre announce; they go on.
std::size_t count_tasks(work_service& work, const std::string& data_centre)
{
    std::size_t count = 0;
    for (const auto& worker : work.soft_state().workers(data_centre))
    {
        count += static_cast<std::size_t>(worker->tasks_size());
    }
    return count;
}

operator_answer change_evacuation(control_service& control, work_service& work,
                                  const evacuation_change& change)
{
    if (!is_name(change.data_centre))
    {
        return {400,
                {{"code", "invalid"},
                 {"message",
                  "data centre: must be " + std::string(name_expectation)}}};
    }
    wire::control_command command;
    // The command may be sent to several leaders until one confirms it.
    command.set_request_id(change.request_id.empty()
                               ? random_hex(request_id_bytes)
                               : change.request_id);
    command.set_operator_name(
        change.operator_name.empty() ? "anonymous" : change.operator_name);
    command.set_host(control.host());
    command.set_time_ms(wall_clock_ms());
    command.mutable_evacuation()->set_data_centre(change.data_centre);
    command.mutable_evacuation()->set_active(change.active);
    const auto outcome = control.client().submit(command, change_timeout);
    if (outcome.code() != wire::command_accepted)
    {
        log_event(log_level::warning,
                  outcome.code() == wire::command_unknown
                      ? "evacuation_outcome_unknown"
                      : "evacuation_refused",
                  {{"data_centre", change.data_centre},
                   {"active", change.active ? "true" : "false"},
                   {"reason", outcome.message()}});
        return to_answer(outcome);
    }
    // An operator who reads the list here next sees the change.
    control.config().poll();
    const auto tasks = count_tasks(work, change.data_centre);
    log_event(log_level::info,
              change.active ? "evacuation_started" : "evacuation_ended",
              {{"data_centre", change.data_centre},
               {"operator", command.operator_name()},
               {"changed", outcome.unchanged() ? "false" : "true"},
               {"tasks", std::to_string(tasks)}});
    return {200,
            {{"code", "accepted"},
             {"data_centre", change.data_centre},
             {"changed", !outcome.unchanged()},
             {"tasks", tasks}}};
}

json list_accounts(control_service& control)
{
    json list = json::array();
    const auto document = control.config().current();
    if (document)
    {
        for (const auto& account : document->client_accounts)
        {
            list.push_back(to_json(account));
        }
    }
    return list;
}

json list_jobs(work_service& work)
{
    json list = json::array();
    for (const auto& data_centre : work.data_centres())
    {
        wire::job_query query;
        query.set_data_centre(data_centre);
        const auto found = work.list_jobs(query);
        for (const auto& job : found.jobs())
        {
            list.push_back(to_json(job, data_centre));
        }
    }
    return list;
}

json list_hosts(work_service& work)
{
    json list = json::array();
    for (const auto& known : work.known_hosts())
    {
        list.push_back(to_json(known.entry, known.live));
    }
    return list;
}

template <class Entries>
json list_entries(const Entries& entries)
{
    json list = json::array();
    for (const auto& entry : entries)
    {
        list.push_back(to_json(*entry));
    }
    return list;
}

operator_answer show_audit(control_service& control, std::uint64_t after,
                           std::uint32_t limit)
{
    wire::audit_request request;
    request.set_after_sequence(after);
    request.set_limit(limit);
    const auto audit = control.find_audit(request);
    if (!audit.ok())
    {
        return {503, {{"error", std::string(audit.status().message())}}};
    }
    json records = json::array();
    for (const auto& record : audit->records())
    {
        records.push_back(to_json(record));
    }
    return {200, {{"records", records}}};
}

} // namespace

operator_handlers make_operator_handlers(control_service& control,
                                         work_service& work,
                                         const metrics& counters)
{
    operator_handlers handlers;
    handlers.config = [&control]
    {
        return show_config(control);
    };
    handlers.change_config = [&control](const config_change& change)
    {
        return change_config(control, change);
    };
    handlers.check_document = [](const std::string& yaml)
    {
        return find_errors(parse_document(yaml));
    };
    handlers.evacuations = [&control]
    {
        return list_evacuations(control);
    };
    handlers.change_evacuation =
        [&control, &work](const evacuation_change& change)
    {
        return change_evacuation(control, work, change);
    };
    handlers.accounts = [&control]
    {
        return list_accounts(control);
    };
    handlers.upstreams = [&work]
    {
        return list_entries(work.soft_state().all_upstreams());
    };
    handlers.workers = [&work]
    {
        return list_entries(work.soft_state().all_workers());
    };
    handlers.jobs = [&work]
    {
        return list_jobs(work);
    };
    handlers.hosts = [&work]
    {
        return list_hosts(work);
    };
    handlers.members = [&control]
    {
        return operator_answer{200,
                               {{"members", to_json(control.find_members())}}};
    };
    handlers.audit = [&control](std::uint64_t after, std::uint32_t limit)
    {
        return show_audit(control, after, limit);
    };
    handlers.metrics = [&counters]
    {
        return counters.text();
    };
    return handlers;
}

} // namespace limpetstack
