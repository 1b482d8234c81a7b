#pragma once

#include "base/clock.hpp"
#include "experiment/relay.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// What the workers and callers of a soak test observed, and the rules that
/// were violated. All workers share it.
struct soak_rules
{
    std::map<std::string, int> running;  // Current number of runs by subtask.
    std::set<std::string> recorded_done; // Done, and the fleet recorded it.
    std::set<std::string> submitted;     // Ids of jobs that a caller sent.
    std::set<std::string> refused;       // Ids whose every call was refused.
    std::set<std::string> started;       // Ids of jobs that a worker started.
    // Ids of jobs that are never done: their runs end only when stopped.
    std::set<std::string> endless;
    std::vector<std::string> violations; // One message for each violation.
    std::size_t starts = 0;              // Runs that were started.
};

/// A simulated worker that serves the platform's interface behind a relay, by
/// which its connections can be cut. It handles starts, stops and holds, ends
/// each run after a fixed time, and checks the rules at each start.
class soak_worker
{
public:
    soak_worker(boost::asio::io_context& io, std::string id, std::string rack,
                soak_rules& rules);
    ~soak_worker();
    soak_worker(const soak_worker&) = delete;
    soak_worker& operator=(const soak_worker&) = delete;

    const std::string& id() const { return id_; }
    test::relay& link() { return *relay_; }

    /// Returns the body of the worker's next report.
    std::string report(bool draining);

    /// Returns false between a crash and the next start.
    bool is_up() const { return up_; }

    /// Ends everything that runs. Orders have no effect until the next start.
    void crash();

    /// Starts the next incarnation, which knows nothing of the earlier one.
    void start_again();

    /// Ends runs whose duration or lease is over, and answers holds that have
    /// an end to list or have reached their wait limit.
    void advance();

private:
    struct run
    {
        std::string subtask;
        std::uint64_t number = 0;
        time_point ends_at;  // When it is done, unless it is stopped.
        time_point stops_at; // When it ends after an order to stop.
        bool stopping = false;
    };
    // A hold whose answer is delayed until a run ends, at most until
    // `deadline`.
    struct pending_hold
    {
        http_responder respond;
        time_point deadline;
    };

    void serve(const http_server_request& request, http_responder respond);
    nlohmann::json start(const nlohmann::json& order, unsigned& status);
    void stop(const nlohmann::json& order);
    void hold(const nlohmann::json& order, http_responder respond);
    nlohmann::json lists() const;
    std::int64_t clock_ms() const;
    void finish(std::size_t index, const char* how);
    void extend_lease(const nlohmann::json& order);

    const std::string id_;
    const std::string rack_;
    soak_rules& rules_;
    std::string address_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<test::relay> relay_;
    bool up_ = true;
    time_point started_ = steady_now();
    std::int64_t born_ms_ = wall_clock_ms(); // Identifies the incarnation.
    std::uint64_t sequence_ = 0;
    std::uint64_t epoch_ = 0;       // Highest epoch of any order.
    std::int64_t lease_end_ms_ = 0; // On the worker's steady clock.
    std::vector<run> runs_;
    std::map<std::string, std::uint64_t> highest_ended_; // Run by subtask.
    std::vector<nlohmann::json> ended_; // Rows of ends not yet acknowledged.
    std::uint64_t next_end_ = 1;        // Number of the next end.
    // Ends up to this number came before the last end of the lease.
    std::uint64_t last_end_before_lapse_ = 0;
    std::vector<pending_hold> holds_;
};

} // namespace limpetstack::fleet
