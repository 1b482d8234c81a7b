#pragma once

#include "experiment/process.hpp"
#include "experiment/relay.hpp"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack::test
{

/// One daemon of a deployment under test.
struct daemon_plan
{
    std::string host;
    std::string data_centre;
    bool disk = false;
    bool votes = false;
};

/// A deployment of real processes on 127.0.0.1. Every link between two daemons
/// goes through a relay, so that it can be cut for each direction.
class deployment
{
public:
    /// Files and logs go to `folder`, which must be empty or missing.
    deployment(std::string folder, std::vector<daemon_plan> plans);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts all daemons; the first voter founds the control group.
    void start();

    /// Starts all daemons and applies the first document on the first host.
    /// Returns false when it is not accepted in time.
    bool start_with(const std::string& document);

    /// Starts one daemon again, on the same addresses.
    void restart(const std::string& host);

    void kill(const std::string& host);
    void erase_folder(const std::string& host);
    std::string data_folder(const std::string& host) const;
    process& daemon(const std::string& host);

    /// Starts stand-ins that announce themselves to all daemons.
    void add_upstream(const std::string& id, const std::string& service,
                      const std::string& data_centre);
    void add_worker(const std::string& id, const std::string& data_centre,
                    const std::string& rack);
    process& stand_in(const std::string& id);
    std::string stand_in_address(const std::string& id) const;

    std::string callers(const std::string& host) const;
    std::string operators(const std::string& host) const;
    std::string peers(const std::string& host) const;
    std::vector<std::string> hosts() const;

    /// Sets the state of the link on which `from` calls `to`.
    void set_link(const std::string& from, const std::string& to,
                  link_state state);

    /// Cuts or opens all links between the daemons of a data centre and the
    /// others.
    void set_data_centre(const std::string& data_centre, link_state state);

    /// GET on the operators' listener; null when there is no whole answer.
    nlohmann::json ask(const std::string& host, const std::string& path) const;

    /// Applies a document with a fresh request id, on `host`.
    nlohmann::json apply(const std::string& host, std::uint64_t base_version,
                         const std::string& document,
                         const std::string& request_id,
                         const std::string& operator_name = "test") const;

    /// Version in force at a host, 0 when none or when it does not answer.
    std::uint64_t version_at(const std::string& host) const;

private:
    struct daemon_state;
    struct stand_in_state;

    void write_settings(const daemon_plan& plan);
    void launch(const std::string& host, bool found_group);

    const std::string folder_;
    const std::vector<daemon_plan> plans_;
    std::map<std::string, std::unique_ptr<daemon_state>> daemons_;
    std::map<std::string, std::unique_ptr<stand_in_state>> stand_ins_;
    // By calling host and called host.
    std::map<std::pair<std::string, std::string>, std::unique_ptr<relay>>
        links_;
};

/// Waits until `condition` holds; false after `timeout`. The time-out only
/// ends a failed test, so it is far above the expected time.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Returns a new empty folder for one test, named by the test.
std::string test_folder(const std::string& name);

/// A document with one client account `addis`: service `appraisal`, which is
/// not idempotent, and `lookup`, which is, and a guarantee of one rack gang of
/// two members with 8 accelerators in data centre north.
std::string sample_document(int weight = 4);

} // namespace limpetstack::test
