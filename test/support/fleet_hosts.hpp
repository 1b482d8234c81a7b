#pragma once

#include "experiment/process.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace limpetstack::test
{

/// The limits in the settings of `fleet_hosts`.
struct host_limits
{
    std::size_t memory_mb = 64;
    std::size_t disk_mb = 32;
    std::size_t max_descriptors = 1024;
};

/// A core process and an entry process of the fleet daemon on loopback
/// addresses of their own. The document has the client accounts `flooding` and
/// `ordinary`, the queue `/q/` for both, and the public queue `/open/`.
class fleet_hosts
{
public:
    /// Files and logs go to a new folder with that name, which is removed
    /// unless the test has failed.
    explicit fleet_hosts(const std::string& name);
    ~fleet_hosts();
    fleet_hosts(const fleet_hosts&) = delete;
    fleet_hosts& operator=(const fleet_hosts&) = delete;

    /// Starts both processes and applies the document with a text of
    /// `padding` bytes that nobody uses. Returns false when an ordinary job is
    /// not accepted.
    bool start(const host_limits& limits, std::size_t padding = 0);

    /// Kills the core process and starts it again with its files.
    void restart_core();

    process& core() { return *core_; }
    process& entry() { return *entry_; }

    // IP:port of the listeners.
    const std::string& callers() const { return callers_; }
    const std::string& control() const { return control_; }
    std::string core_peers() const;

    /// Returns the size of the files of the core process.
    std::size_t disk_bytes() const;

    /// Returns a document of that version.
    static std::string document(int version, std::size_t padding);

    /// Applies a document; returns the status.
    int put_document(const std::string& text) const;

    /// Submits a small job with a new id under the key; returns the status.
    int submit_job(const std::string& key = "ordinary");

    /// Returns a request of a caller with a body.
    static std::string request(const std::string& method,
                               const std::string& target,
                               const std::string& key, const std::string& body);

private:
    std::unique_ptr<process> start_host(const std::string& name,
                                        const std::string& ip,
                                        const nlohmann::json& listen);
    std::unique_ptr<process> start_core();

    const std::string folder_;
    const std::string network_;
    const int peer_port_;
    const std::string control_;
    const std::string callers_;
    const std::string ready_;
    host_limits limits_;
    std::unique_ptr<process> core_;
    std::unique_ptr<process> entry_;
    unsigned last_job_ = 0;
};

} // namespace limpetstack::test
