#include "stage.hpp"

#include <httplib.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

namespace review
{
namespace
{

constexpr int core_count = 3;
constexpr int entry_host = 3;
constexpr milliseconds client_timeout{3000};

std::string host_ip(int host)
{
    return "127.0.21." + std::to_string(host + 1);
}

std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto& text : texts)
    {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

recorder::recorder(const std::string& path, std::string who)
    : file_(::open(path.c_str(), // NOLINT
                   O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    , who_(std::move(who))
{
}

recorder::~recorder()
{
    ::close(file_);
}

void recorder::write(const std::string& text) const
{
    const auto line =
        std::to_string(unix_ms()) + " " + who_ + " " + text + "\n";
    const auto written = ::write(file_, line.data(), line.size());
    static_cast<void>(written);
}

child_process::child_process(std::vector<std::string> command,
                             std::vector<std::string> environment,
                             const std::string& log)
{
    environment.emplace_back("PATH=/usr/bin:/bin");
    const auto arguments = pointers_to(command);
    const auto variables = pointers_to(environment);
    pid_ = ::fork();
    if (pid_ != 0)
    {
        return;
    }
    const int file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644); // NOLINT
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execve(arguments[0], arguments.data(), variables.data());
    ::_exit(127);
}

child_process::~child_process()
{
    kill();
}

bool child_process::running()
{
    if (!ended_ && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    {
        ended_ = true;
    }
    return !ended_;
}

void child_process::signal(int number)
{
    if (running())
    {
        ::kill(pid_, number);
    }
}

void child_process::kill()
{
    if (running())
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        ended_ = true;
    }
}

answer call(const std::string& address, const std::string& method,
            const std::string& path, const std::string& body,
            const std::map<std::string, std::string>& headers,
            milliseconds timeout)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    for (const auto& [name, value] : headers)
    {
        request.set_header(name, value);
    }
    request.set_header("Content-Type", "application/json");
    const auto result = client.send(request);
    return result ? answer{result->status, result->body} : answer{};
}

std::string ticket_of(const std::string& step, const std::string& worker)
{
    auto ticket = step;
    ticket.append("/").append(worker);
    return ticket;
}

int free_port()
{
    // Below the ephemeral ports, so that no outgoing connection takes it.
    constexpr int first_port = 12000;
    constexpr int port_count = 16000;
    static int next = static_cast<int>(::getpid() * 13);
    for (;;)
    {
        const int port = first_port + next++ % port_count;
        const int test = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_ANY);
        const bool free =
            ::bind(test, reinterpret_cast<sockaddr*>(&address), // NOLINT
                   sizeof address) == 0;
        ::close(test);
        if (free)
        {
            return port;
        }
    }
}

bool with_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

deployment::deployment(std::string record_path, nlohmann::json bounds)
    : record_path_(std::move(record_path))
    , record_((std::filesystem::remove(record_path_), record_path_), "case")
    , bounds_(std::move(bounds))
    , peer_port_(free_port())
    , control_port_(free_port())
    , front_port_(free_port())
    , ready_port_(free_port())
    , runner_port_(free_port())
    , policy_port_(free_port())
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
}

deployment::~deployment()
{
    runners_.clear();
    policy_.reset();
    hosts_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::control_address(int core) const
{
    return host_ip(core) + ":" + std::to_string(control_port_);
}

std::string deployment::settings_of(int host) const
{
    const bool core = host < core_count;
    const auto at = [host](int port)
    {
        return host_ip(host) + ":" + std::to_string(port);
    };
    nlohmann::json settings{
        {"node_name", (core ? "core-" : "edge-") + std::to_string(host)},
        {"role", core ? "core" : "entry"},
        {"machine_class", core ? "core" : "edge"},
        {"ip", host_ip(host)},
        {"zone", "z" + std::to_string(host % core_count)},
        {"region", "r"},
        {"port_range", {peer_port_, peer_port_ + 15}},
        {"seeds", {control_address(0), control_address(1), control_address(2)}},
        {"bootstrap", true},
        {"counts_as_loss", core},
        {"limits",
         {{"memory_mb", core ? 256 : 260},
          {"max_fds", 4096},
          {"disk_mb", core ? 128 : 0}}},
        {"heartbeat_ms", 1500},
        {"contracts",
         {"base", "drain", "config", "cost", "recover", "sched", "tenants",
          "advice", "upkeep", "sharing"}},
        {"fault_tolerance",
         {{"machines", 1}, {"zones", 1}, {"region_losses", 0}}},
        {"bounds", bounds_},
        {"config_mode", "highest"},
        {"orders", "push"},
        {"advice",
         host_ip(entry_host + 1) + ":" + std::to_string(policy_port_)}};
    if (core)
    {
        settings["listen"] = {{"control", at(control_port_)}};
        settings["serves"] = {"control"};
        settings["data_dir"] = folder_ + "/data-" + std::to_string(host);
    }
    else
    {
        settings["listen"] = {{"front", at(front_port_)},
                              {"ready", at(ready_port_)}};
        settings["serves"] = {"edge"};
        settings["data_dir"] = nullptr;
    }
    return settings.dump(2);
}

void deployment::start_hosts()
{
    for (int host = 0; host <= entry_host; ++host)
    {
        const auto name = folder_ + "/host-" + std::to_string(host);
        std::ofstream(name + ".json") << settings_of(host);
        hosts_[host] = std::make_unique<child_process>(
            std::vector<std::string>{"target/limpetstack-fleetd"},
            std::vector<std::string>{"LIMPETSTACK_NODE_FILE=" + name + ".json"},
            name + ".log");
        record_.write("host " + std::to_string(host) + " started");
    }
}

void deployment::start_policy(int decision_ms, int period_ms)
{
    policy_ = std::make_unique<child_process>(
        std::vector<std::string>{
            "review/build-2/policy", host_ip(entry_host + 1),
            std::to_string(policy_port_), std::to_string(decision_ms),
            std::to_string(period_ms), record_path_},
        std::vector<std::string>{}, folder_ + "/policy.log");
}

std::string deployment::runner_id(int number)
{
    return "i-runner" + std::to_string(number);
}

std::string deployment::runner_address_ip(int number)
{
    return "127.0.22." + std::to_string(number);
}

void deployment::start_runner(int number, const std::vector<std::string>& more)
{
    std::vector<std::string> command{
        "review/build-2/runner",
        "id=" + runner_id(number),
        "ip=" + runner_address_ip(number),
        "port=" + std::to_string(runner_port_),
        "record=" + record_path_,
        "control=" + control_address(number % 3) + "," +
            control_address((number + 1) % 3) + "," +
            control_address((number + 2) % 3)};
    command.insert(command.end(), more.begin(), more.end());
    runners_[number] = nullptr;
    runners_[number] = std::make_unique<child_process>(
        command, std::vector<std::string>{},
        folder_ + "/" + runner_id(number) + ".log");
    record_.write("runner " + runner_id(number) + " started");
}

bool deployment::runner_runs(int number)
{
    return runners_.at(number)->running();
}

bool deployment::put_config(const nlohmann::json& config, milliseconds limit)
{
    const auto until = unix_ms() + limit.count();
    const auto version = config.at("version").dump();
    for (int core = 0; unix_ms() < until; core = (core + 1) % core_count)
    {
        const auto got = call(control_address(core), "PUT", "/-/config",
                              config.dump(), {}, milliseconds(1000));
        record_.write("config " + version + " sent to core-" +
                      std::to_string(core) + ": " + std::to_string(got.status));
        if (got.status == 200)
        {
            return true;
        }
        sleep_for(milliseconds(300));
    }
    return false;
}

answer deployment::client(const std::string& method, const std::string& path,
                          const std::string& body)
{
    auto got = call(
        host_ip(entry_host) + ":" + std::to_string(front_port_), method, path,
        body,
        {{"Host", "jobs.example"},
         {"Authorization", "Bearer key-of-tenant"},
         {"X-Limpetstack-Deadline-Ms", std::to_string(client_timeout.count())}},
        client_timeout + milliseconds(200));
    record_.write(method + " " + path + ": " + std::to_string(got.status) +
                  " " + got.body);
    return got;
}

std::string deployment::job_state(const std::string& path)
{
    const auto got = client("GET", path, "");
    const auto parsed = nlohmann::json::parse(got.body, nullptr, false);
    return got.status == 200 && parsed.is_object() ? parsed.value("state", "")
                                                   : "";
}

bool deployment::submit(const std::string& path, const nlohmann::json& job,
                        milliseconds limit)
{
    const auto until = unix_ms() + limit.count();
    while (unix_ms() < until)
    {
        if (client("POST", path, job.dump()).status == 200)
        {
            return true;
        }
        sleep_for(milliseconds(500));
    }
    return false;
}

std::vector<std::string>
deployment::lines_with(const std::vector<std::string>& texts) const
{
    std::ifstream file(record_path_);
    std::vector<std::string> found;
    for (std::string line; std::getline(file, line);)
    {
        bool all = true;
        for (const auto& text : texts)
        {
            all = all && line.find(text) != std::string::npos;
        }
        if (all)
        {
            found.push_back(line);
        }
    }
    return found;
}

} // namespace review
