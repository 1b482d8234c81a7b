#include "stage.hpp"

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace limpetstack::review
{
namespace
{

using nlohmann::json;

// The command of both roles in the deploy file.
constexpr char host_program[] = "target/limpetstack-fleetd";
constexpr char runner_program[] = "review/build/runner";

constexpr char host_name[] = "desk.example";
constexpr milliseconds operator_timeout{1000};
constexpr milliseconds client_timeout{3000};
constexpr milliseconds step_time{10};

// The end of this program ends all processes that it started, also when it is
// told to stop.
volatile std::sig_atomic_t told_to_stop = 0;

void on_signal(int)
{
    told_to_stop = 1;
}

} // namespace

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string prefix_of(const std::string& route)
{
    return "/" + route + "/";
}

json route(const std::string& name, std::int64_t priority,
           std::int64_t attempts)
{
    return {{"name", name},
            {"host", host_name},
            {"prefix", prefix_of(name)},
            {"kind", "mutating"},
            {"timeout_ms", 3000},
            {"slo_ms", priority == 0 ? 250 : 3000},
            {"priority", priority},
            {"service", "desk"},
            {"attempts", attempts},
            {"stretch", priority == 0 ? 1.5 : 3.0},
            {"public", false}};
}

json config(const std::vector<json>& routes, const std::vector<json>& tenants)
{
    return {{"version", 1},
            {"routes", routes},
            {"services",
             {{{"name", "desk"},
               {"health_path", "/healthz"},
               {"max_conns", 64},
               {"proto", "h1"},
               {"tls", false},
               {"rejects_overload", false},
               {"standby", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", tenants}};
}

stage::stage(std::string record, std::size_t cores, std::size_t entries)
    : record_path_(std::move(record))
    , peer_port_(test::free_port())
    , control_port_(test::free_port())
    , front_port_(test::free_port())
    , ready_port_(test::free_port())
    , runner_port_(test::free_port())
{
    std::ofstream(record_path_, std::ios::trunc).flush();
    record_.open(record_path_, std::ios::app);
    folder_ =
        (std::filesystem::temp_directory_path() / "limpetstack-review-XXXXXX")
            .string();
    if (mkdtemp(folder_.data()) == nullptr)
    {
        throw std::runtime_error("can not make a temporary folder");
    }
    // Two cases that run at once use different addresses.
    constexpr int numbers = 250;
    const auto pid = static_cast<int>(::getpid());
    network_ = "127." + std::to_string(2 + pid / numbers % numbers) + "." +
               std::to_string(pid % numbers) + ".";
    for (std::size_t i = 0; i < cores + entries; ++i)
    {
        host item;
        item.core = i < cores;
        item.name = (item.core ? "core-" : "edge-") + std::to_string(i);
        item.ip = network_ + std::to_string(i + 1);
        item.settings = folder_ + "/" + item.name + ".json";
        hosts_.push_back(std::move(item));
    }
}

stage::~stage()
{
    for (auto& [id, item] : runners_)
    {
        item.process.reset();
    }
    for (auto& item : hosts_)
    {
        item.process.reset();
    }
    if (std::getenv("KEEP_LOGS") != nullptr)
    {
        std::printf("logs: %s\n", folder_.c_str());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void stage::note(const std::string& who, const std::string& what,
                 const std::string& text)
{
    const auto line = std::to_string(wall_clock_ms()) + " " + who + " " + what +
                      " " + text + "\n";
    record_ << line << std::flush;
}

std::string stage::control(std::size_t i) const
{
    return hosts_[i].ip + ":" + std::to_string(control_port_);
}

void stage::write_settings(const host& item)
{
    json listen;
    if (item.core)
    {
        listen["control"] = item.ip + ":" + std::to_string(control_port_);
    }
    else
    {
        listen["front"] = item.ip + ":" + std::to_string(front_port_);
        listen["ready"] = item.ip + ":" + std::to_string(ready_port_);
    }
    json seeds = json::array();
    for (std::size_t k = 0; k < hosts_.size(); ++k)
    {
        if (hosts_[k].core && seeds.size() < 3)
        {
            seeds.push_back(control(k));
        }
    }
    json settings{{"node_name", item.name},
                  {"role", item.core ? "core" : "entry"},
                  {"machine_class", item.core ? "core" : "edge"},
                  {"serves", {item.core ? "control" : "edge"}},
                  {"ip", item.ip},
                  {"zone", "z" + item.name.substr(item.name.size() - 1)},
                  {"region", "r"},
                  {"listen", listen},
                  {"port_range", {peer_port_, peer_port_ + 15}},
                  {"seeds", seeds},
                  {"bootstrap", true},
                  {"counts_as_loss", item.core},
                  {"limits",
                   {{"cpu_share", item.core ? 0.5 : 0.25},
                    {"cores", 1},
                    {"memory_mb", item.core ? 256 : 260},
                    {"max_fds", 4096},
                    {"link_mbps", 1000.0},
                    {"disk_mb", item.core ? 128 : 0}}},
                  {"data_dir", nullptr},
                  {"discovery", "registry"},
                  {"entry", "vip"},
                  {"heartbeat_ms", 1500},
                  {"contracts",
                   {"base", "drain", "config", "cost", "recover", "sched",
                    "tenants", "advice", "upkeep", "sharing"}},
                  {"fault_tolerance",
                   {{"machines", 1}, {"zones", 1}, {"region_losses", 0}}},
                  {"bounds",
                   {{"seed_lag_s", 3},
                    {"contact_ms", 3000},
                    {"ack_ms", 4000},
                    {"catch_up_s", 4},
                    {"drain_ms", 2000},
                    {"grace_s", 6},
                    {"config_apply_ms", 2000},
                    {"max_hold_ms", 6000},
                    {"stop_ms", 400},
                    {"gang_ms", 3000},
                    {"cancel_ms", 3000},
                    {"visible_ms", 3000},
                    {"early_ms", 250},
                    {"finish_s", 14},
                    {"status_s", 120},
                    {"checkpoint_s", 2},
                    {"restore_ms", 100},
                    {"lease_ms", 3000},
                    {"reclaim_ms", 2900}}},
                  {"config_mode", "highest"},
                  {"orders", "push"}};
    if (item.core)
    {
        settings["data_dir"] = folder_ + "/" + item.name;
    }
    std::ofstream(item.settings) << settings.dump();
}

void stage::add_runner(const std::string& id, const std::string& rack,
                       std::int64_t accelerators)
{
    constexpr std::size_t first_number = 101;
    auto& item = runners_[id];
    item.rack = rack;
    item.accelerators = accelerators;
    item.address = network_ + std::to_string(first_number + runners_.size()) +
                   ":" + std::to_string(runner_port_);
}

void stage::start_runner(const std::string& id)
{
    auto& item = runners_.at(id);
    std::vector<std::string> words{id,
                                   item.address,
                                   item.rack,
                                   "z1",
                                   std::to_string(item.accelerators),
                                   record_path_};
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_[i].core)
        {
            words.push_back(control(i));
        }
    }
    item.process = std::make_unique<test::process>(runner_program, words,
                                                   folder_ + "/" + id + ".log");
}

void stage::crash_runner(const std::string& id)
{
    runners_.at(id).process.reset();
    note(id, "crash", "SIGKILL");
}

void stage::start()
{
    for (auto& item : hosts_)
    {
        write_settings(item);
        setenv("LIMPETSTACK_NODE_FILE", item.settings.c_str(), 1);
        item.process = std::make_unique<test::process>(
            host_program, std::vector<std::string>{},
            folder_ + "/" + item.name + ".log");
    }
    for (const auto& [id, item] : runners_)
    {
        start_runner(id);
    }
}

void stage::send(const std::string& address, const std::string& method,
                 const std::string& target, const std::string& key,
                 const std::string& body, milliseconds timeout,
                 http_channel::callback done)
{
    http_channel::headers headers;
    if (!key.empty())
    {
        headers.emplace_back("Host", host_name);
        headers.emplace_back("Authorization", "Bearer " + key);
        headers.emplace_back("X-Limpetstack-Deadline-Ms",
                             std::to_string(timeout.count()));
    }
    auto channel = std::make_shared<http_channel>(io_, address);
    auto* const raw = channel.get();
    // The callback keeps the connection until the answer is there.
    raw->send(method, target, headers, body, timeout,
              [this, channel, done = std::move(done)](
                  const http_channel_answer& answer) mutable
              {
                  done(answer);
                  boost::asio::post(io_, [channel = std::move(channel)] {});
              });
}

bool stage::put_config(const json& config)
{
    bool accepted = false;
    const auto body = config.dump();
    constexpr milliseconds limit{20000};
    const auto end = steady_now() + limit;
    for (std::size_t i = 0; !accepted && steady_now() < end; ++i)
    {
        std::size_t cores = 0;
        for (const auto& item : hosts_)
        {
            cores += item.core ? 1 : 0;
        }
        bool answered = false;
        send(control(i % cores), "PUT", "/-/config", "", body, operator_timeout,
             [&](const http_channel_answer& answer)
             {
                 answered = true;
                 accepted = answer.status == 200;
             });
        run_until(
            [&]
            {
                return answered;
            },
            operator_timeout + operator_timeout);
        if (!accepted)
        {
            run_for(milliseconds(200));
        }
    }
    note("operator", "config", accepted ? "acknowledged" : "not acknowledged");
    return accepted;
}

void stage::run_for(milliseconds time)
{
    run_until(
        []
        {
            return false;
        },
        time);
}

bool stage::run_until(const std::function<bool()>& done, milliseconds limit)
{
    const auto end = steady_now() + limit;
    while (!done())
    {
        if (steady_now() >= end)
        {
            return false;
        }
        if (told_to_stop != 0)
        {
            throw std::runtime_error("told to stop");
        }
        io_.restart();
        io_.run_for(step_time);
    }
    return true;
}

std::string stage::any_front()
{
    std::vector<std::string> fronts;
    for (const auto& item : hosts_)
    {
        if (!item.core)
        {
            fronts.push_back(item.ip + ":" + std::to_string(front_port_));
        }
    }
    return fronts[next_front_++ % fronts.size()];
}

void stage::submit(const std::string& prefix, const std::string& key,
                   const std::string& id, const json& job)
{
    note("client", "submit", prefix + id);
    send(any_front(), "POST", prefix + id, key, job.dump(), client_timeout,
         [this, prefix, key, id, job](const http_channel_answer& answer)
         {
             note("client", "submitted",
                  prefix + id + " " + std::to_string(answer.status));
             constexpr unsigned first_redirect = 300;
             if (answer.status >= 200 && answer.status < first_redirect)
             {
                 accepted_.emplace(prefix + id, wall_clock_ms());
             }
             else if (submitting_ &&
                      (answer.status == 0 || answer.status >= 500))
             {
                 submit(prefix, key, id, job);
             }
         });
}

void stage::ask(const std::string& prefix, const std::string& key,
                const std::string& id)
{
    send(any_front(), "GET", prefix + id, key, "", client_timeout,
         [this, prefix, id](const http_channel_answer& answer)
         {
             const auto root = json::parse(answer.body, nullptr, false);
             const auto state = answer.status == 200 && root.is_object()
                                    ? root.value("state", std::string())
                                    : "status " + std::to_string(answer.status);
             auto& shown = states_[prefix + id];
             if (shown != state)
             {
                 shown = state;
                 note("client", "shown", prefix + id + " " + state);
             }
         });
}

void stage::cancel(const std::string& prefix, const std::string& key,
                   const std::string& id)
{
    send(any_front(), "DELETE", prefix + id, key, "", client_timeout,
         [this, prefix, id](const http_channel_answer& answer)
         {
             note("client", "cancelled",
                  prefix + id + " " + std::to_string(answer.status));
         });
}

void stage::report_as(const std::string& id, const json& report)
{
    note("other", "report", id + " " + report.dump());
    send(control(0), "PUT", "/-/instances/" + id, "", report.dump(),
         operator_timeout,
         [this, id](const http_channel_answer& answer)
         {
             note("other", "reported",
                  id + " " + std::to_string(answer.status));
         });
}

std::string stage::unused_address() const
{
    return network_ + "240:" + std::to_string(runner_port_);
}

std::int64_t stage::accepted(const std::string& prefix,
                             const std::string& id) const
{
    const auto found = accepted_.find(prefix + id);
    return found == accepted_.end() ? 0 : found->second;
}

std::string stage::state_of(const std::string& prefix,
                            const std::string& id) const
{
    const auto found = states_.find(prefix + id);
    return found == states_.end() ? std::string() : found->second;
}

std::vector<event> stage::events() const
{
    std::vector<event> out;
    std::ifstream file(record_path_);
    std::string line;
    while (std::getline(file, line))
    {
        std::istringstream words(line);
        event item;
        words >> item.at_ms >> item.who >> item.what;
        std::string word;
        while (words >> word)
        {
            item.words.push_back(word);
        }
        out.push_back(std::move(item));
    }
    return out;
}

int run_case(int argc, char** argv, const std::function<int(stage&)>& play)
{
    constexpr std::size_t cores = 3;
    constexpr std::size_t entries = 2;
    if (argc != 2)
    {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGHUP, on_signal);
    try
    {
        stage all(argv[1], cores, entries);
        return play(all);
    }
    catch (const std::exception& error)
    {
        std::printf("%s: could not run\n", error.what());
        return could_not_run;
    }
}

} // namespace limpetstack::review
