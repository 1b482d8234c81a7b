#pragma once

#include "base/clock.hpp"
#include "support/soak_worker.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// The workers of a soak test. Their links are cut, they crash and restart
/// under their id, and they leave: a worker that leaves drains, announces its
/// departure, and ends when that is acknowledged, or later when the
/// acknowledgement is lost. Another worker then takes its place.
class soak_workers
{
public:
    /// Sends a call to a host; `done` gets the status, 0 without an answer.
    using sender = std::function<void(
        const std::string& method, const std::string& target, std::string body,
        std::function<void(unsigned status)> done)>;

    soak_workers(boost::asio::io_context& io, std::size_t count, unsigned seed,
                 soak_rules& rules, sender send);
    ~soak_workers();
    soak_workers(const soak_workers&) = delete;
    soak_workers& operator=(const soak_workers&) = delete;

    /// Advances all workers, and continues restarts and departures.
    void advance(time_point now);

    /// Sends the reports of all workers that are up.
    void report(time_point now);

    /// Disturbs the link of a random worker, restarts it or lets it leave.
    void disturb(time_point now);

    /// Opens all links. Restarts and departures that have begun go on.
    void open_links();

private:
    struct member
    {
        std::unique_ptr<soak_worker> worker;
        std::size_t place = 0;  // Names the rack and the successors.
        time_point up_at;       // It is down until then.
        time_point reports_at;  // It does not report until then.
        time_point leaves_at;   // Announces its departure then, when draining.
        time_point announce_at; // The announcement is repeated then.
        time_point ends_at;     // Ends then, acknowledged or not.
        bool draining = false;
        bool announced = false;
        bool acknowledged = false;
    };

    bool chance(unsigned percent) { return random_() % 100 < percent; }
    milliseconds between(unsigned low_ms, unsigned high_ms);
    std::unique_ptr<soak_worker> make_worker(std::size_t place);
    void announce_departure(member& item, time_point now);
    void advance_departure(member& item, time_point now);

    boost::asio::io_context& io_;
    std::mt19937 random_;
    soak_rules& rules_;
    sender send_;
    std::vector<std::shared_ptr<member>> members_;
    std::size_t next_worker_ = 0;
};

} // namespace limpetstack::fleet
