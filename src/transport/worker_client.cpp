#include "transport/worker_client.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace limpetstack
{
namespace
{

// Idle connections of one shard. Two for each of 2,400 workers would take
// more memory than a daemon may use for them.
constexpr std::size_t idle_per_shard = 64;
constexpr int status_ok = 200;
constexpr int status_refused = 409;

const char* path_of(worker_action action)
{
    switch (action)
    {
    case worker_action::reserve:
        return "/tasks/reserve";
    case worker_action::commit:
        return "/tasks/commit";
    case worker_action::renew:
        return "/tasks/renew";
    case worker_action::stop:
        return "/tasks/stop";
    case worker_action::checkpoint:
        return "/tasks/checkpoint";
    case worker_action::throttle:
        return "/tasks/throttle";
    }
    return "/";
}

task_state state_of(const std::string& name)
{
    static const std::array<std::pair<std::string_view, task_state>, 6> names{
        {{"reserved", task_state::reserved},
         {"running", task_state::running},
         {"checkpointed", task_state::checkpointed},
         {"done", task_state::done},
         {"failed", task_state::failed},
         {"stopped", task_state::stopped}}};
    for (const auto& [text, state] : names)
    {
        if (name == text)
        {
            return state;
        }
    }
    return task_state::unknown;
}

task_status status_from(const nlohmann::json& json)
{
    task_status status;
    status.job = json.at("job").get<std::string>();
    status.attempt = json.at("attempt").get<std::uint32_t>();
    status.member = json.at("member").get<std::uint32_t>();
    status.state = state_of(json.at("state").get<std::string>());
    status.progress = json.value("progress", 0.0);
    return status;
}

void set_timeouts(httplib::Client& client, milliseconds timeout)
{
    // Together they stay within the timeout of the call.
    const auto part = std::max(timeout / 4, milliseconds(1));
    client.set_connection_timeout(part);
    client.set_write_timeout(part);
    client.set_read_timeout(std::max(timeout - 2 * part, milliseconds(1)));
}

} // namespace

std::string worker_request_json(const worker_request& request)
{
    auto tasks = nlohmann::json::array();
    for (const auto& task : request.tasks)
    {
        tasks.push_back({{"job", task.job},
                         {"attempt", task.attempt},
                         {"member", task.member},
                         {"accelerators", task.accelerators},
                         {"cores", task.cores},
                         {"memory_mib", task.memory_mib},
                         {"command", task.command},
                         {"progress", task.progress}});
    }
    const nlohmann::json body{{"epoch", request.epoch},
                              {"lease_ms", request.lease.count()},
                              {"tasks", std::move(tasks)}};
    // Commands that are no valid UTF-8 must not end the process.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<std::vector<task_status>>
parse_worker_answer(std::string_view body)
{
    try
    {
        const auto json = nlohmann::json::parse(body);
        std::vector<task_status> result;
        for (const auto& task : json.at("tasks"))
        {
            result.push_back(status_from(task));
        }
        return result;
    }
    catch (const nlohmann::json::exception& error)
    {
        return absl::InternalError(std::string("worker's answer: ") +
                                   error.what());
    }
}

worker_client::worker_client()
    : shards_(new shard[shard_count])
{
}

worker_client::~worker_client() = default;

worker_client::shard& worker_client::shard_of(const std::string& address)
{
    return shards_[std::hash<std::string>()(address) % shard_count];
}

std::unique_ptr<httplib::Client> worker_client::take(const std::string& address)
{
    auto& s = shard_of(address);
    const std::lock_guard held(s.mutex);
    const auto found = s.idle.find(address);
    if (found == s.idle.end())
    {
        return nullptr;
    }
    auto client = std::move(found->second);
    s.idle.erase(found);
    return client;
}

void worker_client::keep(const std::string& address,
                         std::unique_ptr<httplib::Client> client)
{
    auto& s = shard_of(address);
    const std::lock_guard held(s.mutex);
    if (s.idle.size() >= idle_per_shard)
    {
        s.idle.erase(s.idle.begin());
    }
    s.idle.emplace(address, std::move(client));
}

absl::StatusOr<std::vector<task_status>>
worker_client::call(worker_action action, const std::string& address,
                    const worker_request& request, milliseconds timeout)
{
    auto client = take(address);
    if (!client)
    {
        client = std::make_unique<httplib::Client>("http://" + address);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    set_timeouts(*client, timeout);
    const auto response = client->Post(
        path_of(action), worker_request_json(request), "application/json");
    if (!response)
    {
        // The connection is dropped, so that a late answer is not taken for
        // that of another call.
        return absl::UnavailableError("worker " + address + ": " +
                                      httplib::to_string(response.error()));
    }
    auto result =
        response->status == status_ok ? parse_worker_answer(response->body)
        : response->status == status_refused
            ? absl::FailedPreconditionError("worker " + address + " refused: " +
                                            response->body.substr(0, 200))
            : absl::InternalError("worker " + address + " answered status " +
                                  std::to_string(response->status));
    keep(address, std::move(client));
    return result;
}

} // namespace limpetstack
