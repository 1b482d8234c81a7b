#pragma once

#include "record.hpp"

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// A process that the driver started, and the only kind that it ends.
class child
{
public:
    child(const std::vector<std::string>& command,
          const std::vector<std::string>& variables, const std::string& log);
    ~child();
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    bool running();
    void signal(int number);
    void kill();

private:
    pid_t pid_ = 0;
    bool ended_ = false;
};

struct answer
{
    int status = 0; // 0: no whole answer.
    std::string body;
};

/// A deployment of the project's daemon on loopback addresses, with an
/// operator, clients and workers. Processes end with it.
class stage
{
public:
    /// `root` is the repository, `folder` the one for files and logs.
    stage(std::string root, std::string folder, record& record,
          std::size_t cores, std::size_t entries);
    ~stage();
    stage(const stage&) = delete;
    stage& operator=(const stage&) = delete;

    bool start_nodes();

    /// Names the service that the settings call `advice`; before the start.
    void set_advice(const std::string& address) { advice_ = address; }
    std::string advice_ip() const { return network_ip(59); }
    void start_core(std::size_t index);
    void start_entry(std::size_t index);
    void kill_core(std::size_t index);

    /// Sends the config until it is acknowledged, for some seconds.
    bool put_config(const nlohmann::json& config);

    void start_worker(const std::string& id, const nlohmann::json& settings);
    void kill_worker(const std::string& id);
    void signal_worker(const std::string& id, int number);

    answer call(const std::string& address, const std::string& method,
                const std::string& path, const std::string& body,
                const std::string& key, int timeout_ms = 3000);
    /// Calls the front of an entry.
    answer client(std::size_t entry, const std::string& method,
                  const std::string& path, const std::string& body = "",
                  const std::string& key = "key-one");
    /// Returns the state of a job as the entry shows it, or "" and the status.
    std::string job_state(std::size_t entry, const std::string& path);

    std::string core_ip(std::size_t index) const;
    std::string entry_ip(std::size_t index) const;
    std::string front(std::size_t index) const;
    std::string control(std::size_t index) const;
    bool nodes_running();

    /// Returns a config with the queue /desk/ and one tenant.
    static nlohmann::json config(std::uint64_t version);

private:
    std::string network_ip(std::size_t last) const;
    bool network_is_free() const;
    void start_node(const std::string& name, const std::string& ip,
                    const nlohmann::json& listen, bool core);

    const std::string root_;
    const std::string folder_;
    record& record_;
    const std::size_t cores_;
    const std::size_t entries_;
    std::string network_;
    std::string advice_;
    std::map<std::string, std::unique_ptr<child>> nodes_;
    std::map<std::string, std::unique_ptr<child>> workers_;
    std::map<std::string, std::string> worker_addresses_;
    std::map<std::string, bool> started_before_;
};

/// Waits until `condition` holds; returns false when `limit_ms` is over.
template <typename Condition>
bool wait_until(std::int64_t limit_ms, Condition condition);

void sleep_ms(std::int64_t duration);

template <typename Condition>
bool wait_until(std::int64_t limit_ms, Condition condition)
{
    const auto end = steady_ms() + limit_ms;
    while (!condition())
    {
        if (steady_ms() >= end)
        {
            return false;
        }
        sleep_ms(20);
    }
    return true;
}

} // namespace review
