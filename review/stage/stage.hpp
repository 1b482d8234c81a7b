#pragma once

#include "base/clock.hpp"
#include "experiment/process.hpp"
#include "transport/http_channel.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack::review
{

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Returns false when the environment variable TROUBLE is 0: the case then
/// leaves its disruption out.
bool has_trouble();

/// One line of the record: when, who, what, and the words after it.
struct event
{
    std::int64_t at_ms = 0;
    std::string who;
    std::string what;
    std::vector<std::string> words;
};

/// A small deployment of real processes on loopback addresses: hosts of the
/// system with the command of the deploy file, and runners. The program itself
/// stands in for the operator and the clients. All that happens goes to the
/// record. Its end kills all processes.
class stage
{
public:
    stage(std::string record, std::size_t cores, std::size_t entries);
    ~stage();
    stage(const stage&) = delete;
    stage& operator=(const stage&) = delete;

    void add_runner(const std::string& id, const std::string& rack,
                    std::int64_t accelerators);

    /// Starts a runner that was added; also after its crash, under its id and
    /// at its address.
    void start_runner(const std::string& id);

    /// Kills the process of a runner.
    void crash_runner(const std::string& id);

    /// Starts all hosts and runners.
    void start();

    /// Sends the config to one host after the other until one acknowledges it.
    /// Returns false when none does in time.
    bool put_config(const nlohmann::json& config);

    /// Handles events for the time.
    void run_for(milliseconds time);

    /// Handles events until `done` returns true, for `limit` at most. Returns
    /// whether it did.
    bool run_until(const std::function<bool()>& done, milliseconds limit);

    /// Hands a job in, again after no clear response, until it is accepted or
    /// refused.
    void submit(const std::string& prefix, const std::string& key,
                const std::string& id, const nlohmann::json& job);

    /// From now on jobs without a clear response are not handed in again.
    void stop_submitting() { submitting_ = false; }

    /// Asks for the state of a job.
    void ask(const std::string& prefix, const std::string& key,
             const std::string& id);

    /// Cancels a job.
    void cancel(const std::string& prefix, const std::string& key,
                const std::string& id);

    /// Sends one liveness report to a core host, as another writer would.
    void report_as(const std::string& id, const nlohmann::json& report);

    /// Returns an address at which nothing answers.
    std::string unused_address() const;

    /// When the job was accepted, in Unix milliseconds; 0 before.
    std::int64_t accepted(const std::string& prefix,
                          const std::string& id) const;

    /// The last state that a client was shown, or the status of the answer.
    std::string state_of(const std::string& prefix,
                         const std::string& id) const;

    /// Reads what runners, clients and the operator have recorded so far.
    std::vector<event> events() const;

    void note(const std::string& who, const std::string& what,
              const std::string& text);

private:
    struct host
    {
        std::string name;
        std::string ip;
        std::string settings; // Path of its settings file.
        std::unique_ptr<test::process> process;
        bool core = false;
    };
    struct runner
    {
        std::string rack;
        std::string address;
        std::int64_t accelerators = 0;
        std::unique_ptr<test::process> process;
    };

    void write_settings(const host& item);
    std::string control(std::size_t i) const;
    std::string any_front();
    void send(const std::string& address, const std::string& method,
              const std::string& target, const std::string& key,
              const std::string& body, milliseconds timeout,
              http_channel::callback done);

    const std::string record_path_;
    std::string folder_; // Settings, logs and disks of the hosts.
    std::ofstream record_;
    boost::asio::io_context io_;
    std::string network_; // The first three numbers of all addresses.
    int peer_port_ = 0;
    int control_port_ = 0;
    int front_port_ = 0;
    int ready_port_ = 0;
    int runner_port_ = 0;
    std::vector<host> hosts_;
    std::map<std::string, runner> runners_;
    std::size_t next_front_ = 0;
    bool submitting_ = true;
    std::map<std::string, std::int64_t> accepted_; // By prefix and id.
    std::map<std::string, std::string> states_;    // By prefix and id.
};

/// Plays a case on a stage of three core and two entry hosts. The path of the
/// record is the program's only argument. Returns the exit code.
int run_case(int argc, char** argv, const std::function<int(stage&)>& play);

/// Returns a route of the config.
nlohmann::json route(const std::string& name, std::int64_t priority,
                     std::int64_t attempts);

/// Returns a config with these routes and tenants.
nlohmann::json config(const std::vector<nlohmann::json>& routes,
                      const std::vector<nlohmann::json>& tenants);

/// Returns the path's prefix of the route with that name.
std::string prefix_of(const std::string& route);

} // namespace limpetstack::review
