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

/// What all workers of a soak have seen, and the rules that were broken.
struct soak_rules
{
    std::map<std::string, int> running; // Runs of each subtask now.
    std::set<std::string> noted_done;   // Subtasks whose end was noted.
    std::set<std::string> submitted;    // Ids that a caller sent.
    std::vector<std::string> broken;
    std::size_t starts = 0;
};

/// A worker on the platform's interface, behind a relay: takes starts, stops
/// and holds, lets runs take their time, and checks each start.
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

    /// Returns the body of its next report.
    std::string report();

    /// Ends runs whose time or lease is over and answers holds that are due.
    void advance();

private:
    struct run
    {
        std::string subtask;
        std::uint64_t number = 0;
        time_point ends;
        time_point stops;
        bool stopping = false;
    };
    struct waiting_hold
    {
        http_responder respond;
        time_point until;
    };

    void serve(const http_server_request& request, http_responder respond);
    nlohmann::json start(const nlohmann::json& order, unsigned& status);
    void stop(const nlohmann::json& order);
    void hold(const nlohmann::json& order, http_responder respond);
    nlohmann::json lists() const;
    std::int64_t clock_ms() const;
    void finish(std::size_t index, const char* how);
    void extend(const nlohmann::json& order);

    const std::string id_;
    const std::string rack_;
    soak_rules& rules_;
    std::string address_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<test::relay> relay_;
    time_point born_ = steady_now();
    std::int64_t born_ms_ = wall_clock_ms();
    std::uint64_t sequence_ = 0;
    std::uint64_t epoch_ = 0;
    std::int64_t lease_until_ = 0;
    std::vector<run> runs_;
    std::map<std::string, std::uint64_t> highest_ended_;
    std::vector<nlohmann::json> ended_;
    std::uint64_t next_end_ = 1;
    std::uint64_t lapsed_ends_ = 0; // Ends before the last lapse.
    std::vector<waiting_hold> holds_;
};

} // namespace limpetstack::fleet
