// Stand-ins of the platform for the cases of the second review: a record of
// what was sent, answered and run, child processes, and a deployment of the
// fleet daemon on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review
{

using std::chrono::milliseconds;

/// Returns the Unix time in milliseconds.
std::int64_t unix_ms();

void sleep_for(milliseconds time);

/// Appends lines to the record of a case. Several processes may share a file.
class recorder
{
public:
    recorder(const std::string& path, std::string who);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    /// Writes the time, the writer and the text as one line.
    void write(const std::string& text) const;

private:
    int file_ = -1;
    std::string who_;
};

/// A child process. Its destruction kills and reaps it.
class child_process
{
public:
    child_process(std::vector<std::string> command,
                  std::vector<std::string> environment, const std::string& log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    bool running();
    void signal(int number);

    /// Kills the process and waits for its end.
    void kill();

private:
    pid_t pid_ = 0;
    bool ended_ = false;
};

/// Status and body of an HTTP answer; status 0 means that none came.
struct answer
{
    int status = 0;
    std::string body;
};

/// Calls `address` (IP:port) on a connection of its own.
answer call(const std::string& address, const std::string& method,
            const std::string& path, const std::string& body,
            const std::map<std::string, std::string>& headers,
            milliseconds timeout);

/// Returns the ticket with which the worker may run the step.
std::string ticket_of(const std::string& step, const std::string& worker);

/// Returns a TCP port that is free on all loopback addresses that a case uses.
int free_port();

/// Returns the value of the variable TROUBLE; true unless it is 0.
bool with_trouble();

/// Three core hosts and one entry host of the fleet daemon, and runners.
class deployment
{
public:
    deployment(std::string record_path, nlohmann::json bounds);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts the hosts for the first time.
    void start_hosts();

    /// Starts the policy service.
    void start_policy(int decision_ms, int period_ms);

    /// Starts or restarts a runner with further arguments.
    void start_runner(int number, const std::vector<std::string>& more);
    bool runner_runs(int number);
    static std::string runner_id(int number);
    static std::string runner_address_ip(int number);

    /// Sends a config to the core hosts in turn until one acknowledges it or
    /// the time is over.
    bool put_config(const nlohmann::json& config, milliseconds limit);

    /// Sends a client's call to the entry host and records it.
    answer client(const std::string& method, const std::string& path,
                  const std::string& body);

    /// Returns the state of a job, or an empty text.
    std::string job_state(const std::string& path);

    /// Repeats the submission of a job until it is accepted.
    bool submit(const std::string& path, const nlohmann::json& job,
                milliseconds limit);

    const recorder& record() const { return record_; }

    /// Returns the lines of the record that contain all of the texts.
    std::vector<std::string>
    lines_with(const std::vector<std::string>& texts) const;

private:
    std::string settings_of(int host) const;
    std::string control_address(int core) const;

    std::string record_path_;
    recorder record_;
    nlohmann::json bounds_;
    std::string folder_;
    int peer_port_;
    int control_port_;
    int front_port_;
    int ready_port_;
    int runner_port_;
    int policy_port_;
    std::map<int, std::unique_ptr<child_process>> hosts_;
    std::map<int, std::unique_ptr<child_process>> runners_;
    std::unique_ptr<child_process> policy_;
};

} // namespace review
