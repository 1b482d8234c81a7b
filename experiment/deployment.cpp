#include "experiment/deployment.hpp"

#include "experiment/http.hpp"

#include <nlohmann/json.hpp>

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace limpetstack::test
{
namespace
{

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

const char* yaml_bool(bool value)
{
    return value ? "true" : "false";
}

} // namespace

struct deployment::daemon_state
{
    std::string callers;
    std::string operators;
    std::string peers;
    std::unique_ptr<process> running;
};

struct deployment::stand_in_state
{
    std::string address;
    std::unique_ptr<process> running;
};

deployment::deployment(std::string folder, std::vector<daemon_plan> plans)
    : folder_(std::move(folder))
    , plans_(std::move(plans))
{
    std::filesystem::create_directories(folder_);
    for (const auto& plan : plans_)
    {
        auto state = std::make_unique<daemon_state>();
        state->callers = loopback(free_port());
        state->operators = loopback(free_port());
        state->peers = loopback(free_port());
        daemons_[plan.host] = std::move(state);
    }
    for (const auto& from : plans_)
    {
        for (const auto& to : plans_)
        {
            if (from.host != to.host)
            {
                links_[{from.host, to.host}] =
                    std::make_unique<relay>(daemons_.at(to.host)->peers);
            }
        }
    }
    for (const auto& plan : plans_)
    {
        write_settings(plan);
    }
}

deployment::~deployment()
{
    stand_ins_.clear();
    daemons_.clear();
}

std::string deployment::data_folder(const std::string& host) const
{
    return folder_ + "/" + host + "-data";
}

void deployment::write_settings(const daemon_plan& plan)
{
    const auto& own = *daemons_.at(plan.host);
    std::ofstream file(folder_ + "/" + plan.host + ".yaml");
    file << "host: " << plan.host << "\ndata_centre: " << plan.data_centre
         << "\nlisten:\n  callers: " << own.callers
         << "\n  operators: " << own.operators << "\n  peers: " << own.peers
         << "\nvotes: " << yaml_bool(plan.votes) << "\n";
    if (plan.disk)
    {
        file << "data_folder: " << data_folder(plan.host) << "\n";
    }
    file << (plans_.size() > 1 ? "peers:\n" : "peers: []\n");
    for (const auto& other : plans_)
    {
        if (other.host == plan.host)
        {
            continue;
        }
        file << "  - host: " << other.host
             << "\n    data_centre: " << other.data_centre << "\n    address: "
             << links_.at({plan.host, other.host})->address()
             << "\n    disk: " << yaml_bool(other.disk)
             << "\n    votes: " << yaml_bool(other.votes) << "\n";
    }
}

void deployment::launch(const std::string& host, bool found_group)
{
    std::vector<std::string> arguments = {"--settings",
                                          folder_ + "/" + host + ".yaml"};
    if (found_group)
    {
        arguments.emplace_back("--found-group");
    }
    daemons_.at(host)->running =
        std::make_unique<process>(program_folder() + "/limpetstackd", arguments,
                                  folder_ + "/" + host + ".log");
}

void deployment::start()
{
    bool founded = false;
    for (const auto& plan : plans_)
    {
        launch(plan.host, plan.votes && !founded);
        founded = founded || plan.votes;
    }
}

bool deployment::start_with(const std::string& document)
{
    start();
    return wait_until(
        [&]
        {
            return apply(plans_.front().host, 0, document, "first")
                       .value("code", "") == "accepted";
        });
}

void deployment::restart(const std::string& host)
{
    launch(host, false);
}

void deployment::kill(const std::string& host)
{
    daemon(host).kill();
}

void deployment::erase_folder(const std::string& host)
{
    std::filesystem::remove_all(data_folder(host));
}

process& deployment::daemon(const std::string& host)
{
    return *daemons_.at(host)->running;
}

void deployment::add_upstream(const std::string& id, const std::string& service,
                              const std::string& data_centre)
{
    auto state = std::make_unique<stand_in_state>();
    state->address = loopback(free_port());
    std::vector<std::string> arguments = {
        "--id",          id,          "--service", service,
        "--data-centre", data_centre, "--listen",  state->address};
    for (const auto& [host, daemon] : daemons_)
    {
        arguments.insert(arguments.end(), {"--daemon", daemon->callers});
    }
    state->running =
        std::make_unique<process>(program_folder() + "/test/fake-upstream",
                                  arguments, folder_ + "/" + id + ".log");
    stand_ins_[id] = std::move(state);
}

void deployment::add_worker(const std::string& id,
                            const std::string& data_centre,
                            const std::string& rack)
{
    auto state = std::make_unique<stand_in_state>();
    state->address = loopback(free_port());
    std::vector<std::string> arguments = {
        "--id",   id,   "--data-centre", data_centre,
        "--rack", rack, "--listen",      state->address};
    for (const auto& [host, daemon] : daemons_)
    {
        arguments.insert(arguments.end(), {"--daemon", daemon->callers});
    }
    state->running =
        std::make_unique<process>(program_folder() + "/test/fake-worker",
                                  arguments, folder_ + "/" + id + ".log");
    stand_ins_[id] = std::move(state);
}

process& deployment::stand_in(const std::string& id)
{
    return *stand_ins_.at(id)->running;
}

std::string deployment::stand_in_address(const std::string& id) const
{
    return stand_ins_.at(id)->address;
}

std::string deployment::peers(const std::string& host) const
{
    return daemons_.at(host)->peers;
}

std::string deployment::callers(const std::string& host) const
{
    return daemons_.at(host)->callers;
}

std::string deployment::operators(const std::string& host) const
{
    return daemons_.at(host)->operators;
}

std::vector<std::string> deployment::hosts() const
{
    std::vector<std::string> names;
    for (const auto& plan : plans_)
    {
        names.push_back(plan.host);
    }
    return names;
}

void deployment::set_link(const std::string& from, const std::string& to,
                          link_state state)
{
    links_.at({from, to})->set(state, state);
}

void deployment::set_data_centre(const std::string& data_centre,
                                 link_state state)
{
    for (const auto& from : plans_)
    {
        for (const auto& to : plans_)
        {
            const bool inside = from.data_centre == data_centre;
            if (inside != (to.data_centre == data_centre))
            {
                set_link(from.host, to.host, state);
            }
        }
    }
}

nlohmann::json deployment::ask(const std::string& host,
                               const std::string& path) const
{
    const auto answer = get(operators(host), path);
    if (answer.status == 0)
    {
        return nullptr;
    }
    const auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json(nullptr) : parsed;
}

nlohmann::json deployment::apply(const std::string& host,
                                 std::uint64_t base_version,
                                 const std::string& document,
                                 const std::string& request_id,
                                 const std::string& operator_name) const
{
    const auto answer = post(operators(host), "/v1/config",
                             nlohmann::json{{"base_version", base_version},
                                            {"document", document},
                                            {"operator", operator_name},
                                            {"request_id", request_id}}
                                 .dump(),
                             {}, std::chrono::seconds(15));
    auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
    if (!parsed.is_object())
    {
        parsed = {{"code", "no_answer"}};
    }
    parsed["status"] = answer.status;
    return parsed;
}

std::uint64_t deployment::version_at(const std::string& host) const
{
    const auto config = ask(host, "/v1/config");
    return config.is_object() ? config.value("version", 0ULL) : 0;
}

bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string test_folder(const std::string& name)
{
    const auto folder =
        std::filesystem::temp_directory_path() /
        ("limpetstack-" + name + "-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

std::string sample_document(int weight)
{
    return "fleet:\n"
           "  - data_centre: north\n"
           "    racks: 2\n"
           "    workers_per_rack: 6\n"
           "    cores: 32\n"
           "    memory_gib: 128\n"
           "    accelerators: 8\n"
           "client_accounts:\n"
           "  - name: addis\n"
           "    weight: " +
           std::to_string(weight) +
           "\n"
           "    guarantees:\n"
           "      - data_centre: north\n"
           "        count: 1\n"
           "        members: 2\n"
           "        accelerators: 8\n"
           "        cores: 8\n"
           "        memory_gib: 32\n"
           "        adjacency: rack\n"
           "    services:\n"
           "      - name: appraisal\n"
           "        idempotent: false\n"
           "        timeout: 5s\n"
           "        max_attempts: 1\n"
           "      - name: lookup\n"
           "        idempotent: true\n"
           "        timeout: 5s\n"
           "        max_attempts: 3\n";
}

} // namespace limpetstack::test
