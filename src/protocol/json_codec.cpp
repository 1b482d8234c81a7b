#include "protocol/json_codec.hpp"

#include "limpetstack/document.hpp"
#include "protocol/json_reader.hpp"

#include <absl/strings/str_cat.h>
#include <peer.pb.h>

#include <limits>

namespace limpetstack
{
namespace
{

using nlohmann::json;

constexpr std::uint64_t any_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t slot_limit = 4096;
constexpr std::uint64_t member_limit = 256; // Largest gang.
constexpr std::uint64_t accelerator_limit = 64;
constexpr std::uint64_t core_limit = 4096;
constexpr std::uint64_t memory_limit_mib = 64ULL << 20U;
constexpr std::uint64_t year_ms = 366ULL * 24 * 3600 * 1000;
constexpr std::size_t command_limit_bytes = 64U << 10U;
constexpr std::size_t document_limit_bytes = 1U << 20U;
constexpr std::size_t task_limit = 1024; // Tasks of one worker.

std::uint32_t narrow(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

wire::task_report read_task(const json& object, json_reader& parent)
{
    json_reader reader(object);
    wire::task_report task;
    task.set_job(reader.text("job"));
    task.set_member(narrow(reader.number("member", 0, member_limit)));
    task.set_attempt(narrow(reader.number("attempt", 0, UINT32_MAX)));
    task.set_epoch(reader.number("epoch", 0, any_number));
    task.set_state(reader.choice(
        "state", "reserved|running|done|failed|stopped|checkpointed"));
    task.set_cores_used_milli(
        narrow(reader.number_or("cores_used_milli", 0, UINT32_MAX, 0)));
    task.set_memory_used_mib(
        reader.number_or("memory_used_mib", 0, memory_limit_mib, 0));
    task.set_progress(reader.fraction("progress"));
    if (!reader.status().ok())
    {
        parent.fail(
            absl::StrCat("tasks: ", std::string(reader.status().message())));
    }
    return task;
}

std::string shape_text(const guaranteed_shape& shape)
{
    return absl::StrCat(shape.count, " x (", shape.members, " members, ",
                        shape.accelerators, " accelerators, ", shape.cores,
                        " cores, ", shape.memory_mib, " MiB each) in ",
                        shape.data_centre,
                        shape.placement == adjacency::rack ? ", one rack" : "");
}

const char* code_name(wire::command_code code)
{
    switch (code)
    {
    case wire::command_accepted:
        return "accepted";
    case wire::command_conflict:
        return "conflict";
    case wire::command_invalid:
        return "invalid";
    case wire::command_unavailable:
        return "unavailable";
    default:
        return "unknown";
    }
}

} // namespace

absl::StatusOr<wire::upstream_entry> parse_upstream(const std::string& body)
{
    json_reader reader(body);
    wire::upstream_entry entry;
    entry.set_id(reader.text("id"));
    entry.set_incarnation(reader.number("incarnation", 0, any_number));
    entry.set_sequence(reader.number("sequence", 0, any_number));
    entry.set_service(reader.text("service"));
    entry.set_data_centre(reader.text("data_centre"));
    entry.set_address(reader.text("address"));
    entry.set_slots(narrow(reader.number("slots", 1, slot_limit)));
    entry.set_connections(
        narrow(reader.number_or("connections", 1, slot_limit, entry.slots())));
    const bool leaving = reader.choice("state", "ready|leaving") == "leaving";
    entry.set_state(leaving ? wire::upstream_leaving : wire::upstream_ready);
    if (!reader.status().ok())
    {
        return reader.status();
    }
    return entry;
}

absl::StatusOr<wire::worker_entry> parse_worker(const std::string& body)
{
    json_reader reader(body);
    wire::worker_entry entry;
    entry.set_id(reader.text("id"));
    entry.set_incarnation(reader.number("incarnation", 0, any_number));
    entry.set_sequence(reader.number("sequence", 0, any_number));
    entry.set_data_centre(reader.text("data_centre"));
    entry.set_rack(reader.text("rack"));
    entry.set_address(reader.text("address"));
    entry.set_cores(narrow(reader.number("cores", 1, core_limit)));
    entry.set_memory_mib(reader.number("memory_mib", 1, memory_limit_mib));
    entry.set_accelerators(
        narrow(reader.number_or("accelerators", 0, accelerator_limit, 0)));
    const auto tasks = reader.array("tasks");
    if (tasks.size() > task_limit)
    {
        reader.fail(absl::StrCat("tasks: more than ", task_limit));
    }
    for (const auto& task : tasks)
    {
        *entry.add_tasks() = read_task(task, reader);
    }
    if (!reader.status().ok())
    {
        return reader.status();
    }
    return entry;
}

absl::StatusOr<wire::job_submission> parse_job(const std::string& account,
                                               const std::string& body)
{
    json_reader reader(body);
    wire::job_submission submission;
    submission.set_data_centre(reader.optional_text("data_centre", 256));
    submission.set_caller(reader.optional_text("caller", 256));
    auto& spec = *submission.mutable_spec();
    spec.set_account(account);
    spec.set_service(reader.text("service"));
    spec.set_members(narrow(reader.number("members", 1, member_limit)));
    spec.set_accelerators(
        narrow(reader.number_or("accelerators", 0, accelerator_limit, 0)));
    spec.set_cores(narrow(reader.number_or("cores", 0, core_limit, 1)));
    spec.set_memory_mib(
        reader.number_or("memory_mib", 0, memory_limit_mib, 256));
    spec.set_urgency(reader.choice("urgency", "normal|low|urgent"));
    spec.set_estimate_ms(reader.number_or("estimate_ms", 0, year_ms, 0));
    spec.set_adjacency(reader.choice("adjacency", "any|rack"));
    spec.set_command(reader.optional_text("command", command_limit_bytes));
    if (!reader.status().ok())
    {
        return reader.status();
    }
    return submission;
}

absl::StatusOr<config_change> parse_config_change(const std::string& body)
{
    json_reader reader(body);
    config_change change;
    change.base_version = reader.number("base_version", 0, any_number);
    change.document = reader.optional_text("document", document_limit_bytes);
    change.operator_name = reader.text("operator");
    change.request_id = reader.text("request_id");
    if (change.document.empty())
    {
        reader.fail("document: a text is required");
    }
    if (!reader.status().ok())
    {
        return reader.status();
    }
    return change;
}

json to_json(const client_account& account)
{
    json services = json::array();
    for (const auto& service : account.services)
    {
        services.push_back(service.name);
    }
    json guarantees = json::array();
    for (const auto& shape : account.guarantees)
    {
        guarantees.push_back(shape_text(shape));
    }
    return {{"name", account.name},
            {"weight", account.weight},
            {"services", services},
            {"guarantees", guarantees}};
}

json to_json(const wire::upstream_entry& entry)
{
    return {{"id", entry.id()},
            {"service", entry.service()},
            {"data_centre", entry.data_centre()},
            {"address", entry.address()},
            {"slots", entry.slots()},
            {"state",
             entry.state() == wire::upstream_leaving ? "leaving" : "ready"},
            {"incarnation", entry.incarnation()}};
}

json to_json(const wire::worker_entry& entry)
{
    json tasks = json::array();
    for (const auto& task : entry.tasks())
    {
        tasks.push_back(
            absl::StrCat(task.job(), "/", task.member(), " ", task.state()));
    }
    return {{"id", entry.id()},       {"data_centre", entry.data_centre()},
            {"rack", entry.rack()},   {"accelerators", entry.accelerators()},
            {"cores", entry.cores()}, {"memory_mib", entry.memory_mib()},
            {"tasks", tasks}};
}

json to_json(const wire::host_entry& entry, bool up)
{
    return {{"host", entry.host()},
            {"data_centre", entry.data_centre()},
            {"up", up},
            {"disk", entry.has_disk()},
            {"config_version", entry.config_version()},
            {"draining", entry.draining()}};
}

json to_json(const wire::job_record& record, const std::string& data_centre)
{
    json workers = json::array();
    for (const auto& member : record.placement())
    {
        workers.push_back(member.worker());
    }
    return {{"id", record.id()},
            {"account", record.spec().account()},
            {"service", record.spec().service()},
            {"data_centre", data_centre},
            {"state", record.state()},
            {"members", record.spec().members()},
            {"attempt", record.attempt()},
            {"workers", workers},
            {"progress", record.progress()},
            {"reason", record.reason()}};
}

json to_json(const wire::members_response& members)
{
    json list = json::array();
    for (const auto& member : members.members().members())
    {
        list.push_back({{"host", member.host()},
                        {"id", absl::StrCat(absl::Hex(member.id()))},
                        {"data_centre", member.data_centre()},
                        {"voter", member.voter()},
                        {"leader", member.id() == members.leader()}});
    }
    return list;
}

json to_json(const wire::audit_record& record)
{
    return {{"sequence", record.sequence()},
            {"time_ms", record.time_ms()},
            {"operator", record.operator_name()},
            {"host", record.host()},
            {"action", record.action()},
            {"base_version", record.base_version()},
            {"version", record.version()},
            {"code", code_name(record.code())},
            {"message", record.message()},
            {"request_id", record.request_id()},
            {"previous_hash", record.previous_hash()},
            {"hash", record.hash()}};
}

json to_json(const std::vector<document_error>& errors)
{
    json list = json::array();
    for (const auto& error : errors)
    {
        list.push_back({{"line", error.line},
                        {"column", error.column},
                        {"path", error.path},
                        {"message", error.message}});
    }
    return list;
}

} // namespace limpetstack
